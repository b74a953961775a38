// Reports of a run: a self-contained HTML file with plots, JSON that `replay` reads, and CSV with a row for
// each second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "simulator/scenario.h"

namespace shaletray::testbed {

struct RunReport {
    ScenarioFile scenario_file;    // with the seed that was run
    std::string scenario_text;     // text of the scenario's file
    RunStatistics statistics;
    bool is_live = false;
};

nlohmann::json statistics_to_json(const RunStatistics& f);
nlohmann::json verdicts_to_json(const ScenarioFile& file, const RunStatistics& f);
nlohmann::json report_to_json(const RunReport& r);
// Reads a JSON report: the scenario, seed and digest of the run. Throws std::runtime_error if it is no valid
// report.
struct ReplayedRun {
    ScenarioFile scenario_file;
    std::string digest;
    bool is_live = false;
};
ReplayedRun parse_report(const std::string& text, const std::string& file);

std::string report_to_csv(const RunStatistics& f);
// The plots are drawn by gnuplot. Throws std::runtime_error if it is not installed or fails.
std::string report_to_html(const RunReport& r);
// Writes NAME-SEED.html, .json and .csv to the folder, which is created if missing. Returns the path of the
// HTML file.
std::string write_report(const std::string& folder, const RunReport& r);

}    // namespace shaletray::testbed
