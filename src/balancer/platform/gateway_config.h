// The platform's configuration file of a gateway, with the decision module's settings in it.
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

// An invalid configuration, with the reason in one line.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// The smallest accepted `max_sockets`.
constexpr std::size_t kMinSockets = 64;

// A parsed configuration, checked for consistency.
struct GatewayConfig {
    std::string name, listen_address, discovery_address, peer_listen_address, all_peer_addresses;
    std::string admin_address;         // of the admin API; empty: none
    std::vector<std::string> peers;    // addresses by gateway index, our own included
    std::uint64_t seed = 0;
    std::size_t max_sockets = 1024;
    double max_memory_mb = 32.0;
    decision::Settings settings;
    // Values of the settings that the decision module does not use.
    LocationNames locations;
    std::vector<bool> streams_by_class;       // by class, in the order of the settings
    std::vector<int> engine_class_indexes;    // the engine's index of each class, likewise
    bool reservations_enabled = false;        // requests may name a reservation; needs a plan service
    Duration connection_idle_timeout{0}, dial_timeout{0};
    HostMemberList known_hosts;
    // Paths of all fields in the file; of a list's entries, the fields that all of them have.
    std::set<std::string> present_fields;

    // The longest deadline of any class.
    Duration max_deadline() const;
};

// Throws ConfigError.
GatewayConfig parse_config(const std::string& text);
// Throws ConfigError if the new file lacks fields of the running one: it was truncated, or is another file.
void check_reloadable(const GatewayConfig& next, const GatewayConfig& running);
// Reads the file named by EDGE_CONFIG; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override its values.
GatewayConfig config_from_environment();
// Reads the same file for a reload, without these overrides: its content is newer than the environment.
GatewayConfig config_from_file();

}    // namespace shaletray
