// Scenarios as typed records in the settings' language (docs/operate/settings.md), checked against
// schema.cue.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

struct ExpectedRange {
    std::string statistic_name;
    std::optional<double> min_value, max_value;
};

struct ScenarioFile {
    Scenario scenario;
    std::string description;
    std::vector<ExpectedRange> expected_ranges;
};

// Throw settings::BadSettingsFile, or std::invalid_argument where the scenario contradicts itself.
ScenarioFile parse_scenario(std::string_view text, const std::string& file);
ScenarioFile load_scenario(const std::string& path);

// One figure by the name that bounds give it; nothing where nothing called for it.
std::optional<double> statistic_of(const RunStatistics& figures, const std::string& name);
const std::vector<std::string>& statistic_names();

// What a bound says of the figures.
enum class Verdict { Satisfied, Violated, NotChecked };
Verdict check_range(const ExpectedRange& bound, const RunStatistics& figures);

// Paired over the same seeds: the mean of b - a, and half the width of its 95% confidence interval.
struct PairedDifference {
    double mean = 0.0, half_width = 0.0;
    std::size_t seed_count = 0;
    bool is_significant() const {
        return seed_count > 1 && (mean - half_width > 0.0 || mean + half_width < 0.0);
    }
};
PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b);

}    // namespace shaletray::testbed
