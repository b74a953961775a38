// The operator's own file, as the rest of the program reads it: typed, checked against the schema, with
// defaults.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/settings/value.h"

namespace shaletray::settings {

struct StoreSettings {
    std::string address, username, password;
    int database = 0;
};

struct CounterSettings {
    std::vector<StoreSettings> stores;    // in the order of preference
    std::string key_prefix;
    std::chrono::microseconds lease_duration{}, isolation_timeout{}, demand_window{}, interval{},
        standby_interval{}, timeout{};
    double reserve = 0.0, isolated_share = 0.0;
    std::size_t max_customers = 0, max_rows_per_call = 0;
};

struct PlanTerms {
    std::string plan_name, base_plan;    // like: the plan itself where the file names none
    double rate = 0.0, burst = 0.0, rate_limit = 0.0, rate_limit_burst = 0.0, rate_limit_slack = 0.0;
};

struct PlansSettings {
    std::vector<PlanTerms> plans;                                  // as they should be
    std::vector<std::pair<std::string, std::string>> customers;    // sixteen hexadecimal digits, and the plan
    std::string table_path;                                        // file
    bool is_owner = false;
    bool table_overrides_request = false;
    std::string control_socket_path;    // path of the socket; empty: none
    int control_mode = 0660;
    std::chrono::microseconds lead_time{};
    double max_reserved_fraction = 0.0;
    bool reject_damaged = true;
};

struct UsageSettings {
    std::string journal_directory, store_path, export_directory, export_format, endpoint;
    std::uint32_t segment_records = 0, max_batch_lines = 0;
    std::uint64_t max_segments = 0, max_store_bytes = 0;
    int retained_batches = 0;
    bool reject_on_failure = true;
    std::chrono::microseconds settling_time{}, interval{}, timeout{}, check_interval{};
    std::vector<std::string> plans, classes;    // names of the platform's, for the lines
};

struct LogSettings {
    std::string level;    // empty: as the environment has it
    bool use_json = false;
};

struct OperatorSettings {
    std::optional<CounterSettings> counter;
    std::optional<PlansSettings> plans;
    std::optional<UsageSettings> usage;
    std::optional<LogSettings> log;    // taken again at SIGHUP
};

// Both throw BadSettingsFile with all that is wrong.
OperatorSettings parse_operator_settings(std::string_view text, const std::string& file);
OperatorSettings load_operator_settings(const std::string& path);

// The whole file as it holds, defaults included, in the settings' own language.
std::string explain_settings(std::string_view text, const std::string& file);

}    // namespace shaletray::settings
