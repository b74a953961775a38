// What came of a run, on paper: one HTML file with its plots inside, JSON that `replay` takes, and CSV by
// second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "simulator/scenario.h"

namespace shaletray::testbed {

struct Report {
    ScenarioFile file;    // with the seed that was run
    std::string text;     // of the scenario's file
    Figures figures;
    bool live = false;
};

nlohmann::json figures_json(const Figures& f);
nlohmann::json verdicts_json(const ScenarioFile& file, const Figures& f);
nlohmann::json report_json(const Report& r);
// The scenario and seed that a report's JSON was made with, and its digest. Throws std::runtime_error with
// what is wrong.
struct Replayed {
    ScenarioFile file;
    std::string digest;
    bool live = false;
};
Replayed read_report(const std::string& text, const std::string& file);

std::string report_csv(const Figures& f);
// The plots are drawn by gnuplot, which must be installed. Throws std::runtime_error where it is not.
std::string report_html(const Report& r);
// NAME-SEED.html, .json and .csv in that folder, which is made. The path of the first.
std::string write_report(const std::string& folder, const Report& r);

}    // namespace shaletray::testbed
