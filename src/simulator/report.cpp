#include "simulator/report.h"

#include <Poco/Exception.h>
#include <Poco/Process.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

std::string escape_html(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '&') out += "&amp;";
        else if (c == '<') out += "&lt;";
        else if (c == '>') out += "&gt;";
        else if (c == '"') out += "&quot;";
        else out += c;
    }
    return out;
}

double quantile_of(const CoarseHistogram& h, double q) { return quantile_in(h, q, std::nan("")); }

// Number of seconds with statistics. The plots leave out those after the scenario's end.
std::size_t scenario_seconds(const RunStatistics& f) { return f.served_by_second.size(); }

template <class T>
double value_or_zero(const std::vector<T>& of, std::size_t i) {
    return i < of.size() ? static_cast<double>(of[i]) : 0.0;
}

struct PlotSeries {
    std::string title;
    std::vector<double> values;
};

std::string format_number(double v) {
    return std::isfinite(v) ? fmt::format("{:.6g}", v) : std::string("NaN");
}

// Draws one plot as SVG, with faults as bands on the time axis.
std::string plot_svg(const RunReport& r, const std::string& label, const std::vector<PlotSeries>& lines,
                     bool logarithmic) {
    namespace fs = std::filesystem;
    const fs::path folder = fs::temp_directory_path() / fmt::format("shaletray-plot-{}", getpid());
    fs::create_directories(folder);
    const fs::path script = folder / "plot.gp", image = folder / "plot.svg";
    {
        std::ofstream out(script);
        out << "set terminal svg size 900,240 dynamic font 'sans-serif,12' background 'white'\n"
            << "set output '" << image.string() << "'\n"
            << "set key outside below horizontal\nset grid lc rgb '#dddddd'\nset xlabel 's'\n"
            << "set ylabel '" << label << "'\n"
            << "set xrange [0:" << format_number(secs(r.scenario_file.scenario.duration)) << "]\n";
        if (logarithmic) out << "set logscale y\n";
        else out << "set yrange [0:*]\n";
        int band = 0;
        for (const Fault& f : r.scenario_file.scenario.with_drawn_faults().faults)
            out << "set object " << ++band << " rect from " << format_number(secs(f.starts_at))
                << ", graph 0 to "
                << format_number(
                       std::min(secs(f.starts_at + f.duration), secs(r.scenario_file.scenario.duration)))
                << ", graph 1 fc rgb '#ffd9c9' fs solid 0.35 noborder behind\n";
        for (std::size_t n = 0; n < lines.size(); ++n) {
            out << "$d" << n << " << EOD\n";
            for (std::size_t i = 0; i < lines[n].values.size(); ++i)
                out << i << ' ' << format_number(lines[n].values[i]) << '\n';
            out << "EOD\n";
        }
        out << "plot ";
        for (std::size_t n = 0; n < lines.size(); ++n)
            out << (n > 0 ? ", " : "") << "$d" << n << " using 1:2 with lines lw 1.6 title '"
                << lines[n].title << "'";
        out << '\n';
    }
    int status = -1;
    try {
        status = Poco::Process::wait(Poco::Process::launch("gnuplot", {script.string()}));
    } catch (const Poco::Exception&) {
        // reported below
    }
    std::ifstream in(image, std::ios::binary);
    std::string svg(std::istreambuf_iterator<char>(in), {});
    std::error_code ignored;
    fs::remove_all(folder, ignored);
    if (status != 0 || svg.empty())
        throw std::runtime_error(
            "the plots cannot be drawn: gnuplot is missing or failed (make deps installs it)");
    const auto begin = svg.find("<svg");
    if (begin == std::string::npos) throw std::runtime_error("gnuplot drew no SVG");
    return svg.substr(begin);
}

template <class T>
std::vector<double> to_doubles(const std::vector<T>& of, std::size_t n, double factor = 1.0) {
    std::vector<double> out(n);
    for (std::size_t i = 0; i < n; ++i) out[i] = value_or_zero(of, i) * factor;
    return out;
}

// Returns the sums of all customers' quota rates and hard limit rates; the latter is 0 if a plan has none.
std::pair<double, double> total_limit_rates(const Scenario& s) {
    double quota_rate = 0.0, hard_limit_rate = 0.0;
    bool all_have_hard_limit = !s.plans.empty();
    for (const auto& p : s.plans) {
        const double part = static_cast<double>(s.customer_count) / static_cast<double>(s.plans.size());
        quota_rate += p.rate * part;
        hard_limit_rate += p.ceiling_rate * part;
        all_have_hard_limit = all_have_hard_limit && p.ceiling_rate > 0.0;
    }
    return {quota_rate, all_have_hard_limit ? hard_limit_rate : 0.0};
}

}    // namespace

Json statistics_to_json(const RunStatistics& f) {
    Json out = {{"requests", f.requests},
                {"tries", f.client_attempts},
                {"served", f.served},
                {"refused", f.rejected},
                {"failed", f.failed},
                {"left", f.abandoned},
                {"attempts", f.attempts},
                {"called_off", f.cancelled_attempts},
                {"messages", f.messages},
                {"events", f.events},
                {"customers_seen", f.distinct_customers},
                {"digest", fmt::format("{:016x}", f.digest)}};
    for (const std::string& name : statistic_names())
        if (const auto value = statistic_of(f, name)) out["figures"][name] = *value;
    for (const auto& [name, rule] : f.rules)
        out["rules"][name] = {
            {"checked", rule.check_count}, {"broken", rule.violation_count}, {"first", rule.first_violation}};
    out["by_second"] = {{"served", f.served_by_second},
                        {"refused", f.rejected_by_second},
                        {"failed", f.failed_by_second},
                        {"units", f.admitted_units_by_second},
                        {"messages", f.peer_messages_by_second}};
    return out;
}

Json verdicts_to_json(const ScenarioFile& file, const RunStatistics& f) {
    Json out = Json::array();
    for (const ExpectedRange& bound : file.expected_ranges) {
        const Verdict verdict = check_range(bound, f);
        const std::string range =
            fmt::format("{}{}", bound.min_value ? fmt::format(" >= {}", *bound.min_value) : "",
                        bound.max_value ? fmt::format(" <= {}", *bound.max_value) : "");
        const char* const verdict_text = verdict == Verdict::Satisfied ? "kept"
                                         : verdict == Verdict::Violated
                                             ? "BROKEN"
                                             : "not checked: nothing called for it";
        out.push_back({{"bound", bound.statistic_name + range}, {"verdict", verdict_text}});
    }
    return out;
}

Json report_to_json(const RunReport& r) {
    Json out = statistics_to_json(r.statistics);
    bool all_satisfied = r.statistics.all_rules_hold();
    for (const ExpectedRange& bound : r.scenario_file.expected_ranges)
        all_satisfied = all_satisfied && check_range(bound, r.statistics) != Verdict::Violated;
    out.update({{"scenario", r.scenario_file.scenario.name},
                {"seed", r.scenario_file.scenario.seed},
                {"live", r.is_live},
                {"bounds", verdicts_to_json(r.scenario_file, r.statistics)},
                {"kept", all_satisfied},
                {"file", r.scenario_text}});
    return out;
}

ReplayedRun parse_report(const std::string& text, const std::string& file) {
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("file") || !json["file"].is_string() || !json.contains("seed") ||
        !json["seed"].is_number_unsigned() || !json.contains("digest") || !json["digest"].is_string())
        throw std::runtime_error(
            fmt::format("{}: not a report of the simulator: expected file, seed and digest", file));
    ReplayedRun out;
    out.scenario_file = parse_scenario(json["file"].get<std::string>(), file);
    out.scenario_file.scenario.seed = json["seed"].get<std::uint64_t>();
    out.digest = json["digest"].get<std::string>();
    out.is_live = json.value("live", false);
    return out;
}

std::string report_to_csv(const RunStatistics& f) {
    std::string out = "second,served,refused,failed,p50_ms,p99_ms,work_us,wasted_us,units,messages\n";
    for (std::size_t i = 0; i < scenario_seconds(f); ++i) {
        const bool has_latency = i < f.latency_by_second.size();
        const double p50 = has_latency ? quantile_of(f.latency_by_second[i], 0.5) : std::nan("");
        const double p99 = has_latency ? quantile_of(f.latency_by_second[i], 0.99) : std::nan("");
        const auto format_cell = [](double v) {
            return std::isfinite(v) ? fmt::format("{:.3f}", v) : std::string();
        };
        out += fmt::format(
            "{},{},{},{},{},{},{:.0f},{:.0f},{:.3f},{:.0f}\n", i, value_or_zero(f.served_by_second, i),
            value_or_zero(f.rejected_by_second, i), value_or_zero(f.failed_by_second, i), format_cell(p50),
            format_cell(p99), value_or_zero(f.work_by_second, i), value_or_zero(f.wasted_work_by_second, i),
            value_or_zero(f.admitted_units_by_second, i), value_or_zero(f.peer_messages_by_second, i));
    }
    return out;
}

std::string report_to_html(const RunReport& r) {
    const RunStatistics& f = r.statistics;
    const Scenario& s = r.scenario_file.scenario;
    const auto n = static_cast<std::size_t>(std::ceil(secs(s.duration)));
    const auto [quota_rate, hard_limit_rate] = total_limit_rates(s);
    std::vector<PlotSeries> latency{{"p50", {}}, {"p99", {}}};
    for (std::size_t i = 0; i < n && i < f.latency_by_second.size(); ++i) {
        latency[0].values.push_back(quantile_of(f.latency_by_second[i], 0.5));
        latency[1].values.push_back(quantile_of(f.latency_by_second[i], 0.99));
    }
    std::vector<PlotSeries> units{{"let in", to_doubles(f.admitted_units_by_second, n)}};
    double max_units = 0.0;
    for (const double u : units[0].values) max_units = std::max(max_units, u);
    // Omits lines far above the actual use, as they would flatten the others.
    if (quota_rate > 0.0 && quota_rate < 20.0 * max_units)
        units.push_back({"quota", std::vector<double>(n, quota_rate)});
    if (hard_limit_rate > 0.0 && hard_limit_rate < 20.0 * max_units)
        units.push_back({"ceiling", std::vector<double>(n, hard_limit_rate)});
    const double cores = 1e6 * s.server_model.cores * s.server_count;
    struct Section {
        const char* title;
        std::string svg;
    };
    const Section sections[] = {
        {"How requests ended", plot_svg(r, "a second",
                                        {{"served", to_doubles(f.served_by_second, n)},
                                         {"refused", to_doubles(f.rejected_by_second, n)},
                                         {"failed", to_doubles(f.failed_by_second, n)}},
                                        false)},
        {"Latency of served requests", plot_svg(r, "ms", latency, true)},
        {"Units against quota and ceiling", plot_svg(r, "units a second", units, false)},
        {"Server load, and the part of it that was wasted",
         plot_svg(r, "part of all cores",
                  {{"work", to_doubles(f.work_by_second, n, 1.0 / cores)},
                   {"waste", to_doubles(f.wasted_work_by_second, n, 1.0 / cores)}},
                  false)},
        {"Messages between gateways, or with the counter",
         plot_svg(r, "a second", {{"messages", to_doubles(f.peer_messages_by_second, n)}}, false)}};
    std::string out = fmt::format(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
        "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>{0}, seed "
        "{1}</title>\n<style>\n"
        "body{{font:15px/1.45 sans-serif;margin:0 auto;max-width:60rem;padding:1rem;color:#222}}\n"
        "h1{{font-size:1.4rem}}h2{{font-size:1.1rem;margin:1.6rem 0 .3rem}}\n"
        "svg{{width:100%;min-width:34rem;height:auto;display:block}}\n"
        ".wide{{overflow-x:auto}}table{{border-collapse:collapse}}\n"
        "td,th{{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:left;vertical-align:top}}\n"
        "td.n{{text-align:right;font-variant-numeric:tabular-nums}}.bad{{color:#b00020;font-weight:bold}}\n"
        "pre{{overflow-x:auto;background:#f6f6f6;padding:.6rem}}\n</style></head><body>\n"
        "<h1>{0}, seed {1}</h1>\n<p>{2} {3}</p>\n",
        escape_html(s.name), s.seed, escape_html(r.scenario_file.description),
        r.is_live ? "On sockets, with gateways as processes." : "In virtual time.");
    for (const Section& section : sections)
        out += fmt::format("<h2>{}</h2>\n<div class=\"wide\">{}</div>\n", section.title, section.svg);
    out += "<h2>Figures</h2>\n<div class=\"wide\"><table>\n";
    for (const std::string& name : statistic_names())
        if (const auto value = statistic_of(f, name))
            out += fmt::format("<tr><td>{}</td><td class=\"n\">{:.4f}</td></tr>\n", name, *value);
    for (const auto& [name, value] : {std::pair{"requests", f.requests},
                                      {"tries", f.client_attempts},
                                      {"attempts", f.attempts},
                                      {"left", f.abandoned},
                                      {"customers seen", f.distinct_customers},
                                      {"messages", f.messages}})
        out += fmt::format("<tr><td>{}</td><td class=\"n\">{}</td></tr>\n", name, value);
    out += "</table></div>\n<h2>Rules and bounds</h2>\n<div class=\"wide\"><table>\n";
    for (const auto& [name, rule] : f.rules)
        out += fmt::format("<tr><td>{}</td><td{}>{}</td></tr>\n", name,
                           rule.violation_count > 0 ? " class=\"bad\"" : "",
                           rule.check_count == 0 ? std::string("not checked: nothing called for it")
                           : rule.violation_count == 0
                               ? fmt::format("kept, {} times", rule.check_count)
                               : fmt::format("BROKEN {} of {} times, first: {}", rule.violation_count,
                                             rule.check_count, escape_html(rule.first_violation)));
    for (const Json& v : verdicts_to_json(r.scenario_file, f))
        out += fmt::format("<tr><td>{}</td><td{}>{}</td></tr>\n", escape_html(v["bound"].get<std::string>()),
                           v["verdict"] == "BROKEN" ? " class=\"bad\"" : "", v["verdict"].get<std::string>());
    out += "</table></div>\n";
    if (!f.request_trace.empty()) {
        out += "<h2>Trace of the first request that broke a rule</h2>\n<pre>";
        for (const auto& [at_s, what] : f.request_trace)
            out += fmt::format("{:12.6f}  {}\n", at_s, escape_html(what));
        out += "</pre>\n";
    }
    out += "<h2>Faults, as drawn for this seed</h2>\n<div class=\"wide\"><table>\n";
    for (const Fault& fault : s.with_drawn_faults().faults)
        out += fmt::format(
            "<tr><td>{}</td><td class=\"n\">{:.2f} s</td><td class=\"n\">for {:.2f} s</td><td>{}"
            "</td></tr>\n",
            fault_name(fault.kind), secs(fault.starts_at), secs(fault.duration),
            fault.gateway_index >= 0  ? fmt::format("gateway {}", fault.gateway_index)
            : fault.server_index >= 0 ? fmt::format("server {}", fault.server_index)
            : fault.room_index >= 0   ? fmt::format("room {}", fault.room_index)
                                      : std::string("all"));
    out += fmt::format("</table></div>\n<h2>The scenario</h2>\n<pre>{}</pre>\n</body></html>\n",
                       escape_html(r.scenario_text));
    return out;
}

std::string write_report(const std::string& folder, const RunReport& r) {
    std::filesystem::create_directories(folder);
    const std::string name =
        (std::filesystem::path(folder) / fmt::format("{}-{}{}", r.scenario_file.scenario.name,
                                                     r.scenario_file.scenario.seed, r.is_live ? "-live" : ""))
            .string();
    const auto write = [](const std::string& path, const std::string& text) {
        std::ofstream out(path, std::ios::binary);
        out << text;
        out.close();
        if (!out) throw std::runtime_error(fmt::format("{} cannot be written", path));
    };
    // JSON and CSV first: they are written even if gnuplot is missing.
    write(name + ".json", report_to_json(r).dump(1) + "\n");
    write(name + ".csv", report_to_csv(r.statistics));
    write(name + ".html", report_to_html(r));
    return name + ".html";
}

}    // namespace shaletray::testbed
