// Scenarios as typed records in the settings' language (docs/operate/settings.md), checked against
// schema.cue.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

struct Bound {
    std::string figure;
    std::optional<double> least, most;
};

struct ScenarioFile {
    Scenario scenario;
    std::string about;
    std::vector<Bound> bounds;
};

// Throw settings::BadSettingsFile, or std::invalid_argument where the scenario contradicts itself.
ScenarioFile read_scenario(std::string_view text, const std::string& file);
ScenarioFile load_scenario(const std::string& path);

// One figure by the name that bounds give it; nothing where nothing called for it.
std::optional<double> figure_of(const Figures& figures, const std::string& name);
const std::vector<std::string>& figure_names();

// What a bound says of the figures.
enum class Verdict { Kept, Broken, NotChecked };
Verdict judge(const Bound& bound, const Figures& figures);

// Paired over the same seeds: the mean of b - a, and half the width of its 95% confidence interval.
struct Difference {
    double mean = 0.0, half_width = 0.0;
    std::size_t seeds = 0;
    bool clear() const { return seeds > 1 && (mean - half_width > 0.0 || mean + half_width < 0.0); }
};
Difference paired(const std::vector<double>& a, const std::vector<double>& b);

}    // namespace shaletray::testbed
