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
    std::string prefix;
    std::chrono::microseconds lease{}, alone_after{}, demand_window{}, every{}, standby_every{}, timeout{};
    double reserve = 0.0, alone_share = 0.0;
    std::size_t most_customers = 0, most_rows = 0;
};

struct PlanFigures {
    std::string plan, like;    // like: the plan itself where the file names none
    double rate = 0.0, burst = 0.0, ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0;
};

struct PlansSettings {
    std::vector<PlanFigures> plans;                                // as they should be
    std::vector<std::pair<std::string, std::string>> customers;    // sixteen hexadecimal digits, and the plan
    std::string book;                                              // file
    bool keeper = false;
    bool book_wins = false;
    std::string control;    // path of the socket; empty: none
    int control_mode = 0660;
    std::chrono::microseconds lead{};
    double most_carved = 0.0;
    bool refuse_damage = true;
};

struct UsageSettings {
    std::string journal, store, files, form, endpoint;
    std::uint32_t segment_rows = 0, lines = 0;
    std::uint64_t most_segments = 0, most_store = 0;
    int keep_batches = 0;
    bool refuse_trouble = true;
    std::chrono::microseconds settle{}, every{}, timeout{}, check_every{};
    std::vector<std::string> plans, classes;    // names of the platform's, for the lines
};

struct LogSettings {
    std::string level;    // empty: as the environment has it
    bool json = false;
};

struct OperatorSettings {
    std::optional<CounterSettings> counter;
    std::optional<PlansSettings> plans;
    std::optional<UsageSettings> usage;
    std::optional<LogSettings> log;    // taken again at SIGHUP
};

// Both throw BadSettingsFile with all that is wrong.
OperatorSettings read_operator_settings(std::string_view text, const std::string& file);
OperatorSettings load_operator_settings(const std::string& path);

// The whole file as it holds, defaults included, in the settings' own language.
std::string explained(std::string_view text, const std::string& file);

}    // namespace shaletray::settings
