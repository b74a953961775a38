// The settings file of a process (SHALETRAY_BOOT): lines a.b=value; unknown fields are left alone.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::runtime {

// What the file leaves out is as these say.
struct Bounds {
    Duration seed_lag = std::chrono::seconds(3), address_reuse = std::chrono::seconds(2),
             contact = std::chrono::seconds(3), ack = std::chrono::seconds(4),
             catch_up = std::chrono::seconds(4), drain = std::chrono::seconds(2),
             grace = std::chrono::seconds(6), loss_slack = std::chrono::milliseconds(200),
             config_apply = std::chrono::seconds(2), revert_slack = std::chrono::milliseconds(250),
             max_stretch = std::chrono::seconds(5), revoke = std::chrono::seconds(5),
             retry_window = std::chrono::seconds(10), quota_window = std::chrono::seconds(5),
             recovery = std::chrono::seconds(15);
    bool revocation_global = false;
    double retry_budget_ratio = 0.2, retry_slack = 0.0, quota_overshoot = 0.1, quota_slack = 0.0;
};
struct NodeSettings {
    std::string node_name, role, ip, zone, region;
    std::map<std::string, std::string> region_by_zone;                   // zone: region
    std::string frontend_address, readiness_address, control_address;    // bind addresses; empty: not served
    std::uint16_t first_port = 0, last_port = 0;                         // internal
    std::vector<std::string> seed_addresses;                             // control addresses
    bool bootstrap = false, quorum_member = false;
    double cpu_share = 1.0, memory_mb = 256.0;
    std::size_t max_open_files = 1024, disk_mb = 0;
    std::string data_directory;    // empty: no disk
    Duration heartbeat = std::chrono::milliseconds(1500);
    int tolerated_machines = 0, tolerated_zones = 0, tolerated_regions = 0;    // fault_tolerance
    Bounds bounds;
};
struct SettingsError {
    std::string message;    // one line: the field and what is wrong with it
};
// "1500ms", "2.5s"; nothing below 0, nothing over 10^9 seconds. Errors: BadSettings.
boost::leaf::result<Duration> parse_duration(std::string_view text);
// Of a field that comes twice, the later line counts. `ip` and `internal_port_range` have to be there.
// Errors: BadSettings.
boost::leaf::result<NodeSettings> parse_node_settings(std::string_view text);

// Internal addresses: a lighthouse's is its machine's first internal port, a pilot's the second.
std::string controller_address(const std::string& ip, const NodeSettings& settings);
std::vector<std::string> controller_seeds(const NodeSettings& settings);    // of its seeds' machines
std::string gateway_address(const std::string& ip, const NodeSettings& settings);
std::string ip_of(const std::string& address);

}    // namespace shaletray::runtime
