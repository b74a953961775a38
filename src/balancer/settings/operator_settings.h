// The operator's settings file as typed values, checked against the schema (schema.cue) with defaults
// applied. docs/operate/settings.md describes each field.
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

// A Redis-compatible store of the shared counter.
struct StoreSettings {
    std::string address, username, password;
    int database = 0;
};

// The shared counter; see QuotaTableSettings and StoreExchangeSettings.
struct CounterSettings {
    std::vector<StoreSettings> stores;    // in order of preference
    std::string key_prefix;
    std::chrono::microseconds lease_duration{}, isolation_timeout{}, demand_window{}, interval{},
        standby_interval{}, timeout{};
    double reserve = 0.0, isolated_share = 0.0;
    std::size_t max_customers = 0, max_rows_per_call = 0;
};

// A plan with its terms; see plans::PlanTerms.
struct PlanTerms {
    std::string plan_name, base_plan;    // the base plan defaults to the plan itself
    double rate = 0.0, burst = 0.0, rate_limit = 0.0, rate_limit_burst = 0.0, rate_limit_slack = 0.0;
};

// Plans that change at runtime.
struct PlansSettings {
    std::vector<PlanTerms> plans;                                  // the desired terms
    std::vector<std::pair<std::string, std::string>> customers;    // sixteen hexadecimal digits, and the plan
    std::string table_path;                                        // of the PlanTableFile
    bool is_owner = false;
    bool table_overrides_request = false;
    std::string control_socket_path;    // empty: none
    int control_mode = 0660;
    std::chrono::microseconds lead_time{};
    double max_reserved_fraction = 0.0;
    bool reject_damaged = true;
};

// The usage log, its collector and the export of batches.
struct UsageSettings {
    std::string journal_directory, store_path, export_directory, export_format, endpoint;
    std::uint32_t segment_records = 0, max_batch_lines = 0;
    std::uint64_t max_segments = 0, max_store_bytes = 0;
    int retained_batches = 0;
    bool reject_on_failure = true;
    std::chrono::microseconds settling_time{}, interval{}, timeout{}, check_interval{};
    std::vector<std::string> plans, classes;    // the platform's names, for exported lines
};

// The log's level and format.
struct LogSettings {
    std::string level;    // empty: as in the environment
    bool use_json = false;
};

// The file as a whole; sections that it lacks are disabled.
struct OperatorSettings {
    std::optional<CounterSettings> counter;
    std::optional<PlansSettings> plans;
    std::optional<UsageSettings> usage;
    std::optional<LogSettings> log;    // applied again at SIGHUP
};

// Both throw SettingsFileError with all problems.
OperatorSettings parse_operator_settings(std::string_view text, const std::string& file);
OperatorSettings load_operator_settings(const std::string& path);

// The effective settings, defaults included, in the language of the file.
std::string explain_settings(std::string_view text, const std::string& file);

}    // namespace shaletray::settings
