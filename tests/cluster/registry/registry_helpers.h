// Helpers of the registry tests: build heartbeats and registries, and read the state of servers.
#pragma once

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <string>

#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

// Returns a time by its offset from the start of the test.
inline TimePoint time_at(Duration offset) { return TimePoint(std::chrono::seconds(1'000'000) + offset); }

// Returns a heartbeat of a server on the host with this number.
inline Heartbeat make_heartbeat(const std::string& id, std::uint64_t call_count,
                                State state = State::InService, int host = 1) {
    Heartbeat heartbeat;
    heartbeat.server.id = id;
    heartbeat.server.service = "recibos";
    heartbeat.server.address = "10.128.0." + std::to_string(host) + ":8080";
    heartbeat.server.zone = "santander-a";
    heartbeat.server.revision = "v1";
    heartbeat.server.capacity = 6;
    heartbeat.server.state = state;
    heartbeat.server.call_count = call_count;
    return heartbeat;
}

// Returns the registry of the controller on the host with this number.
inline ServiceRegistry make_registry(int host, std::uint64_t incarnation = 1) {
    return ServiceRegistry(
        {"10.0.0." + std::to_string(host) + ":7100", incarnation, std::chrono::milliseconds(1500), 4});
}
inline std::string controller_address(int host) { return "10.0.0." + std::to_string(host) + ":7100"; }

// Fails the test where the server is unknown.
inline State state_of(const std::map<std::string, Server>& servers, const std::string& id) {
    const auto it = servers.find(id);
    cr_assert(it != servers.end(), "%s is unknown", id.c_str());
    return it->second.state;
}
// Returns false also where the server is unknown.
inline bool has_state(const std::map<std::string, Server>& servers, const std::string& id, State expected) {
    const auto it = servers.find(id);
    return it != servers.end() && it->second.state == expected;
}

}    // namespace shaletray::registry
