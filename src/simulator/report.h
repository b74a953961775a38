// What came of a run, on paper: one HTML file with its plots inside, JSON that `replay` takes, and CSV by
// second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "simulator/scenario.h"

namespace shaletray::testbed {

struct RunReport {
    ScenarioFile scenario_file;    // with the seed that was run
    std::string scenario_text;     // of the scenario's file
    RunStatistics statistics;
    bool is_live = false;
};

nlohmann::json statistics_to_json(const RunStatistics& f);
nlohmann::json verdicts_to_json(const ScenarioFile& file, const RunStatistics& f);
nlohmann::json report_to_json(const RunReport& r);
// The scenario and seed that a report's JSON was made with, and its digest. Throws std::runtime_error with
// what is wrong.
struct ReplayedRun {
    ScenarioFile scenario_file;
    std::string digest;
    bool is_live = false;
};
ReplayedRun parse_report(const std::string& text, const std::string& file);

std::string report_to_csv(const RunStatistics& f);
// The plots are drawn by gnuplot, which must be installed. Throws std::runtime_error where it is not.
std::string report_to_html(const RunReport& r);
// NAME-SEED.html, .json and .csv in that folder, which is made. The path of the first.
std::string write_report(const std::string& folder, const RunReport& r);

}    // namespace shaletray::testbed
