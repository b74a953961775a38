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

std::string escaped(const std::string& text) {
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

double quantile_of(const Coarse& h, double q) { return quantile_in(h, q, std::nan("")); }

// Of the scenario's own seconds; what follows its end is left out of the plots.
std::size_t seconds_of(const Figures& f) { return f.served_by_second.size(); }

template <class T>
double at(const std::vector<T>& of, std::size_t i) {
    return i < of.size() ? static_cast<double>(of[i]) : 0.0;
}

struct Line {
    std::string title;
    std::vector<double> values;
};

std::string number(double v) { return std::isfinite(v) ? fmt::format("{:.6g}", v) : std::string("NaN"); }

// One plot as SVG, faults as bands on its time axis.
std::string plot(const Report& r, const std::string& label, const std::vector<Line>& lines,
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
            << "set xrange [0:" << number(secs(r.file.scenario.time)) << "]\n";
        if (logarithmic) out << "set logscale y\n";
        else out << "set yrange [0:*]\n";
        int band = 0;
        for (const Fault& f : r.file.scenario.drawn().faults)
            out << "set object " << ++band << " rect from " << number(secs(f.at)) << ", graph 0 to "
                << number(std::min(secs(f.at + f.lasts), secs(r.file.scenario.time)))
                << ", graph 1 fc rgb '#ffd9c9' fs solid 0.35 noborder behind\n";
        for (std::size_t n = 0; n < lines.size(); ++n) {
            out << "$d" << n << " << EOD\n";
            for (std::size_t i = 0; i < lines[n].values.size(); ++i)
                out << i << ' ' << number(lines[n].values[i]) << '\n';
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
        // told below
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
std::vector<double> doubles(const std::vector<T>& of, std::size_t n, double by = 1.0) {
    std::vector<double> out(n);
    for (std::size_t i = 0; i < n; ++i) out[i] = at(of, i) * by;
    return out;
}

// The quota and the ceiling of all customers that can have asked, together.
std::pair<double, double> allowed(const Scenario& s) {
    double quota = 0.0, ceiling = 0.0;
    bool all_ceilings = !s.plans.empty();
    for (const auto& p : s.plans) {
        const double part = static_cast<double>(s.customers) / static_cast<double>(s.plans.size());
        quota += p.rate * part;
        ceiling += p.ceiling_rate * part;
        all_ceilings = all_ceilings && p.ceiling_rate > 0.0;
    }
    return {quota, all_ceilings ? ceiling : 0.0};
}

}    // namespace

Json figures_json(const Figures& f) {
    Json out = {{"requests", f.requests},
                {"tries", f.tries},
                {"served", f.served},
                {"refused", f.refused},
                {"failed", f.failed},
                {"left", f.left},
                {"attempts", f.attempts},
                {"called_off", f.called_off},
                {"messages", f.messages},
                {"events", f.events},
                {"customers_seen", f.customers_seen},
                {"digest", fmt::format("{:016x}", f.digest)}};
    for (const std::string& name : figure_names())
        if (const auto value = figure_of(f, name)) out["figures"][name] = *value;
    for (const auto& [name, rule] : f.rules)
        out["rules"][name] = {{"checked", rule.checked}, {"broken", rule.broken}, {"first", rule.first}};
    out["by_second"] = {{"served", f.served_by_second},
                        {"refused", f.refused_by_second},
                        {"failed", f.failed_by_second},
                        {"units", f.units_by_second},
                        {"messages", f.mail_by_second}};
    return out;
}

Json verdicts_json(const ScenarioFile& file, const Figures& f) {
    Json out = Json::array();
    for (const Bound& bound : file.bounds) {
        const Verdict verdict = judge(bound, f);
        const std::string range = fmt::format("{}{}", bound.least ? fmt::format(" >= {}", *bound.least) : "",
                                              bound.most ? fmt::format(" <= {}", *bound.most) : "");
        const char* const word = verdict == Verdict::Kept     ? "kept"
                                 : verdict == Verdict::Broken ? "BROKEN"
                                                              : "not checked: nothing called for it";
        out.push_back({{"bound", bound.figure + range}, {"verdict", word}});
    }
    return out;
}

Json report_json(const Report& r) {
    Json out = figures_json(r.figures);
    bool kept = r.figures.kept();
    for (const Bound& bound : r.file.bounds) kept = kept && judge(bound, r.figures) != Verdict::Broken;
    out.update({{"scenario", r.file.scenario.name},
                {"seed", r.file.scenario.seed},
                {"live", r.live},
                {"bounds", verdicts_json(r.file, r.figures)},
                {"kept", kept},
                {"file", r.text}});
    return out;
}

Replayed read_report(const std::string& text, const std::string& file) {
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("file") || !json["file"].is_string() || !json.contains("seed") ||
        !json["seed"].is_number_unsigned() || !json.contains("digest") || !json["digest"].is_string())
        throw std::runtime_error(
            fmt::format("{}: no report of this laboratory: expected file, seed and digest", file));
    Replayed out;
    out.file = read_scenario(json["file"].get<std::string>(), file);
    out.file.scenario.seed = json["seed"].get<std::uint64_t>();
    out.digest = json["digest"].get<std::string>();
    out.live = json.value("live", false);
    return out;
}

std::string report_csv(const Figures& f) {
    std::string out = "second,served,refused,failed,p50_ms,p99_ms,work_us,wasted_us,units,messages\n";
    for (std::size_t i = 0; i < seconds_of(f); ++i) {
        const bool known = i < f.latency_by_second.size();
        const double p50 = known ? quantile_of(f.latency_by_second[i], 0.5) : std::nan("");
        const double p99 = known ? quantile_of(f.latency_by_second[i], 0.99) : std::nan("");
        const auto cell = [](double v) {
            return std::isfinite(v) ? fmt::format("{:.3f}", v) : std::string();
        };
        out += fmt::format("{},{},{},{},{},{},{:.0f},{:.0f},{:.3f},{:.0f}\n", i, at(f.served_by_second, i),
                           at(f.refused_by_second, i), at(f.failed_by_second, i), cell(p50), cell(p99),
                           at(f.work_by_second, i), at(f.waste_by_second, i), at(f.units_by_second, i),
                           at(f.mail_by_second, i));
    }
    return out;
}

std::string report_html(const Report& r) {
    const Figures& f = r.figures;
    const Scenario& s = r.file.scenario;
    const auto n = static_cast<std::size_t>(std::ceil(secs(s.time)));
    const auto [quota, ceiling] = allowed(s);
    std::vector<Line> latency{{"p50", {}}, {"p99", {}}};
    for (std::size_t i = 0; i < n && i < f.latency_by_second.size(); ++i) {
        latency[0].values.push_back(quantile_of(f.latency_by_second[i], 0.5));
        latency[1].values.push_back(quantile_of(f.latency_by_second[i], 0.99));
    }
    std::vector<Line> units{{"let in", doubles(f.units_by_second, n)}};
    double most_units = 0.0;
    for (const double u : units[0].values) most_units = std::max(most_units, u);
    // A line far above what is used would only press the rest down.
    if (quota > 0.0 && quota < 20.0 * most_units) units.push_back({"quota", std::vector<double>(n, quota)});
    if (ceiling > 0.0 && ceiling < 20.0 * most_units)
        units.push_back({"ceiling", std::vector<double>(n, ceiling)});
    const double cores = 1e6 * s.model.cores * s.servers;
    struct Part {
        const char* title;
        std::string svg;
    };
    const Part parts[] = {{"How requests ended", plot(r, "a second",
                                                      {{"served", doubles(f.served_by_second, n)},
                                                       {"refused", doubles(f.refused_by_second, n)},
                                                       {"failed", doubles(f.failed_by_second, n)}},
                                                      false)},
                          {"Latency of those served", plot(r, "ms", latency, true)},
                          {"Units against quota and ceiling", plot(r, "units a second", units, false)},
                          {"The servers' load, and what of it was for nobody",
                           plot(r, "part of all cores",
                                {{"work", doubles(f.work_by_second, n, 1.0 / cores)},
                                 {"waste", doubles(f.waste_by_second, n, 1.0 / cores)}},
                                false)},
                          {"Messages between gateways, or with the counter",
                           plot(r, "a second", {{"messages", doubles(f.mail_by_second, n)}}, false)}};
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
        escaped(s.name), s.seed, escaped(r.file.about),
        r.live ? "On sockets, with gateways as processes." : "In virtual time.");
    for (const Part& p : parts)
        out += fmt::format("<h2>{}</h2>\n<div class=\"wide\">{}</div>\n", p.title, p.svg);
    out += "<h2>Figures</h2>\n<div class=\"wide\"><table>\n";
    for (const std::string& name : figure_names())
        if (const auto value = figure_of(f, name))
            out += fmt::format("<tr><td>{}</td><td class=\"n\">{:.4f}</td></tr>\n", name, *value);
    for (const auto& [name, value] : {std::pair{"requests", f.requests},
                                      {"tries", f.tries},
                                      {"attempts", f.attempts},
                                      {"left", f.left},
                                      {"customers seen", f.customers_seen},
                                      {"messages", f.messages}})
        out += fmt::format("<tr><td>{}</td><td class=\"n\">{}</td></tr>\n", name, value);
    out += "</table></div>\n<h2>Rules and bounds</h2>\n<div class=\"wide\"><table>\n";
    for (const auto& [name, rule] : f.rules)
        out +=
            fmt::format("<tr><td>{}</td><td{}>{}</td></tr>\n", name, rule.broken > 0 ? " class=\"bad\"" : "",
                        rule.checked == 0  ? std::string("not checked: nothing called for it")
                        : rule.broken == 0 ? fmt::format("kept, {} times", rule.checked)
                                           : fmt::format("BROKEN {} of {} times, first: {}", rule.broken,
                                                         rule.checked, escaped(rule.first)));
    for (const Json& v : verdicts_json(r.file, f))
        out += fmt::format("<tr><td>{}</td><td{}>{}</td></tr>\n", escaped(v["bound"].get<std::string>()),
                           v["verdict"] == "BROKEN" ? " class=\"bad\"" : "", v["verdict"].get<std::string>());
    out += "</table></div>\n";
    if (!f.course.empty()) {
        out += "<h2>The course of the first request that broke a rule</h2>\n<pre>";
        for (const auto& [at_s, what] : f.course) out += fmt::format("{:12.6f}  {}\n", at_s, escaped(what));
        out += "</pre>\n";
    }
    out += "<h2>Faults, as drawn for this seed</h2>\n<div class=\"wide\"><table>\n";
    for (const Fault& fault : s.drawn().faults)
        out += fmt::format(
            "<tr><td>{}</td><td class=\"n\">{:.2f} s</td><td class=\"n\">for {:.2f} s</td><td>{}"
            "</td></tr>\n",
            name_of(fault.kind), secs(fault.at), secs(fault.lasts),
            fault.gateway >= 0  ? fmt::format("gateway {}", fault.gateway)
            : fault.server >= 0 ? fmt::format("server {}", fault.server)
            : fault.room >= 0   ? fmt::format("room {}", fault.room)
                                : std::string("all"));
    out += fmt::format("</table></div>\n<h2>The scenario</h2>\n<pre>{}</pre>\n</body></html>\n",
                       escaped(r.text));
    return out;
}

std::string write_report(const std::string& folder, const Report& r) {
    std::filesystem::create_directories(folder);
    const std::string name =
        (std::filesystem::path(folder) /
         fmt::format("{}-{}{}", r.file.scenario.name, r.file.scenario.seed, r.live ? "-live" : ""))
            .string();
    const auto write = [](const std::string& path, const std::string& text) {
        std::ofstream out(path, std::ios::binary);
        out << text;
        out.close();
        if (!out) throw std::runtime_error(fmt::format("{} cannot be written", path));
    };
    // What needs nothing else first: without gnuplot these are still there.
    write(name + ".json", report_json(r).dump(1) + "\n");
    write(name + ".csv", report_csv(r.figures));
    write(name + ".html", report_html(r));
    return name + ".html";
}

}    // namespace shaletray::testbed
