// Formats the traffic counters for the log.
#include <fmt/format.h>

#include "cluster/transport/limits.h"

namespace shaletray::transport {

std::string_view name_of(Kind kind) {
    switch (kind) {
        case Kind::Membership: return "membership";
        case Kind::Consensus: return "consensus";
        case Kind::Registry: return "registry";
        case Kind::Subscription: return "subscription";
        case Kind::Quota: return "quota";
    }
    return "unknown";
}

std::string describe_traffic(const ConnectionCounters& counters) {
    std::string text;
    for (const Kind kind :
         {Kind::Membership, Kind::Consensus, Kind::Registry, Kind::Subscription, Kind::Quota}) {
        const KindTraffic& traffic = counters.of(kind);
        if (traffic.sent == 0 && traffic.received == 0) continue;
        text +=
            fmt::format("{0}sent_{1}={2}/{3} received_{1}={4}/{5}", text.empty() ? "" : " ", name_of(kind),
                        traffic.sent, traffic.sent_bytes, traffic.received, traffic.received_bytes);
    }
    return text;
}

}    // namespace shaletray::transport
