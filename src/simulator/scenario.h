// Reads scenario files, which use the language of settings files (docs/operate/settings.md) and are validated
// against schema.cue. Also evaluates the expected ranges of a scenario.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

// Bounds of one statistic, inclusive.
struct ExpectedRange {
    std::string statistic_name;
    std::optional<double> min_value, max_value;
};

struct ScenarioFile {
    Scenario scenario;
    std::string description;
    std::vector<ExpectedRange> expected_ranges;
};

// Throw settings::SettingsFileError if the file violates the schema, and std::invalid_argument if the
// scenario contradicts itself.
ScenarioFile parse_scenario(std::string_view text, const std::string& file);
ScenarioFile load_scenario(const std::string& path);

// Returns a statistic by its name in bounds; nothing if the run gave no value for it.
std::optional<double> statistic_of(const RunStatistics& figures, const std::string& name);
const std::vector<std::string>& statistic_names();

// Result of comparing a statistic with its expected range.
enum class Verdict { Satisfied, Violated, NotChecked };
Verdict check_range(const ExpectedRange& bound, const RunStatistics& figures);

// A paired comparison over the same seeds: the mean of b - a, and half the width of its 95% confidence
// interval.
struct PairedDifference {
    double mean = 0.0, half_width = 0.0;
    std::size_t seed_count = 0;
    bool is_significant() const {
        return seed_count > 1 && (mean - half_width > 0.0 || mean + half_width < 0.0);
    }
};
PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b);

}    // namespace shaletray::testbed
