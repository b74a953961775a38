// The settings file of a process (SHALETRAY_BOOT): lines `a.b=value`; unknown fields are ignored.
#pragma once

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::runtime {

// Bounds on how soon and how far the system reacts; the `bounds.` fields. The values here are the defaults.
struct Bounds {
    Duration seed_lag = std::chrono::seconds(3);
    Duration address_reuse = std::chrono::seconds(2);
    Duration contact = std::chrono::seconds(3);
    Duration ack = std::chrono::seconds(4);
    Duration catch_up = std::chrono::seconds(4);
    Duration drain = std::chrono::seconds(2);
    Duration grace = std::chrono::seconds(6);
    Duration loss_slack = std::chrono::milliseconds(200);
    Duration config_apply = std::chrono::seconds(2);
    Duration revert_slack = std::chrono::milliseconds(250);
    Duration max_stretch = std::chrono::seconds(5);
    Duration revoke = std::chrono::seconds(5);
    Duration retry_window = std::chrono::seconds(10);
    Duration quota_window = std::chrono::seconds(5);
    Duration recovery = std::chrono::seconds(15);
    Duration max_hold = std::chrono::seconds(10);
    bool revocation_global = false;
    double retry_budget_ratio = 0.2;
    double retry_slack = 0.0;
    double quota_overshoot = 0.1;
    double quota_slack = 0.0;
};

// The settings of one process. Addresses are numeric, with their ports.
struct NodeSettings {
    std::string node_name, role, ip, zone, region;
    std::map<std::string, std::string> region_by_zone;
    std::string frontend_address, readiness_address, control_address;    // to listen on; empty: not served
    std::string metrics_address;    // to listen on, by the command line's --metrics_port; empty: not served
    std::uint16_t first_port = 0, last_port = 0;    // range of internal ports
    std::vector<std::string> seed_addresses;        // control addresses of machines that run controllers
    bool bootstrap = false, quorum_member = false;
    double cpu_share = 1.0, memory_mb = 256.0;
    std::size_t max_open_files = 1024, disk_mb = 0;
    std::string data_directory;    // empty: nothing is kept on disk
    Duration heartbeat = std::chrono::milliseconds(1500);
    // Number of simultaneous failures that the system must survive; the `fault_tolerance.` fields.
    int tolerated_machines = 0, tolerated_zones = 0, tolerated_regions = 0;
    Bounds bounds;
};

// Why a settings file is rejected.
struct SettingsError {
    std::string message;    // one line: the field, and what is wrong with it
};

// Parses a duration such as "1500ms" or "2.5s", from 0 to 10^9 seconds. Errors: SettingsError.
boost::leaf::result<Duration> parse_duration(std::string_view text);
// Parses the text of a settings file. If a field has several lines, the last one applies. `ip` and
// `internal_port_range` are required. Errors: SettingsError.
boost::leaf::result<NodeSettings> parse_node_settings(std::string_view text);

// The internal address of the controller on the machine `ip`: its first internal port.
std::string controller_address(const std::string& ip, const NodeSettings& settings);
// The internal addresses of the controllers on the seeds' machines.
std::vector<std::string> controller_seeds(const NodeSettings& settings);
// The internal address of the gateway on the machine `ip`: its second internal port.
std::string gateway_address(const std::string& ip, const NodeSettings& settings);
// An address without its port.
std::string ip_of(const std::string& address);

}    // namespace shaletray::runtime
