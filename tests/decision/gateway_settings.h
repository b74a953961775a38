// Settings of a small site in the format of a gateway's configuration, and builders of whole configurations.
#pragma once

#include <string>

namespace shaletray::test {

inline const std::string kSettings =
    R"({"me":0,"replicasOfMe":1,"zone":0,"zones":["room-a","room-b"],"kinds":["small","large"],
"classes":[{"name":"read","idempotency":"safe","slo":1000000,"hardLimit":2000000,"gain":1},
 {"name":"pay","idempotency":"unsafe","slo":1000000,"hardLimit":2000000,"gain":1},
 {"name":"submit","idempotency":"keyed","group":"all","window":3000000,"slo":1000000,"hardLimit":2000000}],
"tiersOfService":[{"name":"open","unitsPerS":100000,"peakUnits":100000,"pays":1},
 {"name":"capped","unitsPerS":100000,"peakUnits":100000,"ceilingRate":4,"hardBurst":8,"hardSlack":1},
 {"name":"metered","unitsPerS":0.001,"peakUnits":6,"pays":1}],
"limits":{"sendCap":5,"maxOpen":1000,"mayCancel":true,"mayProbe":true,"mayTell":true,"retryAfter":true,
 "maxRetryAfter":1000000,"dialTimeout":250000,"connIdle":15000000},
"rules":{"answerSlack":8000,"cold":17000000,"drainGrace":250000,"fall":1500000,"fallMultiple":4.0,
 "startCapacity":0.17},"membershipMode":"push","loadInfo":{"via":"inline"},
"specifics":{"mailPerS":40,"mostUnits":4}})";

// The settings with actual units reported by responses.
inline std::string settled(std::string settings) {
    const std::string units = R"("mostUnits":4)";
    return settings.replace(settings.find(units), units.size(), units + R"(,"settles":true)");
}

inline std::string config_text(const std::string& discovery, const std::string& members = "",
                               const std::string& settings = kSettings) {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
           R"(","seed":"8c1f","limits":{"memory_mb":192,"sockets":256},"peer_listen":"127.0.0.1:0",)" +
           R"("admin_addr":"127.0.0.1:0","peers":["127.0.0.1:9"],"known":{"revision":1,"complete":true,"members":[)" +
           members + R"(]},"settings":)" + settings + "}";
}

inline std::string member(const std::string& id, const std::string& address,
                          const std::string& phase = "in_service", long up_since_ms = 0) {
    return R"({"id":")" + id + R"(","host_port":")" + address +
           R"(","locality":"room-b","flavor":"large","cell":3,"phase":")" + phase +
           R"(","size":1.0,"up_since_ms":)" + std::to_string(up_since_ms) + "}";
}

}    // namespace shaletray::test
