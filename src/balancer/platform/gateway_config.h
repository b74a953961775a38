// What a gateway is told when it starts: the configuration file and the settings in it.
#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/platform/host_directory.h"
#include "base/common/clock.h"
#include "decision/control.h"

namespace shaletray {

// What is wrong, in one plain line.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

constexpr std::size_t kMinSockets = 64;

struct GatewayConfig {
    std::string name, listen_address, discovery_address, peer_listen_address, all_peer_addresses;
    std::string admin_address;         // the second address; empty: none
    std::vector<std::string> peers;    // by their numbers, our own included
    std::uint64_t seed = 0;
    std::size_t max_sockets = 1024;
    double max_memory_mb = 32.0;
    decision::Settings settings;
    // What the settings say beyond what the module reads.
    LocationNames locations;
    std::vector<bool> streams_by_class;       // by class, as the settings list them
    std::vector<int> engine_class_indexes;    // the engine's, likewise
    bool reservations_enabled = false;        // requests may name one; set where plans change in service
    Duration connection_idle_timeout{0}, dial_timeout{0};
    HostMemberList known_hosts;
    // Every field that the file holds, as a path; of a list's entries those that all have.
    std::set<std::string> present_fields;

    Duration max_deadline() const;
};

GatewayConfig parse_config(const std::string& text);
// A file that lacks what the running one holds was cut, or belongs to something else: throws BadConfig.
void check_reloadable(const GatewayConfig& next, const GatewayConfig& running);
// Reads the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what it says.
GatewayConfig config_from_environment();
// The same file once more, for a reload: what it says now is newer than the environment, and goes before it.
GatewayConfig config_from_file();

}    // namespace shaletray
