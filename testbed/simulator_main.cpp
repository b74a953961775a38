// shaletray_lab: the laboratory, a program of its own beside the gateway. `shaletray lab ...` runs it.
#include <Poco/Thread.h>
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

#include "balancer/command/completion.h"
#include "balancer/settings/record.h"
#include "live_run.h"
#include "simulator/load.h"
#include "simulator/report.h"
#include "simulator/scenario.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

struct RunOptions {
    std::vector<std::string> scenario_files;
    std::string scenario_directory = "testbed/scenarios", other;
    std::uint64_t seed = 1;
    int seed_count = 5;
    std::size_t thread_count = 0;    // 0: as many as are worth it
    bool print_json = false, use_live = false;
    std::string report_directory, log_directory, program_directory, traced_request;
    double tolerance = 0.05;
};

void print_trace(const RunStatistics& f) {
    for (const auto& [at, what] : f.request_trace) fmt::print("  {:12.6f}  {}\n", at, what);
}

// Prints what came of one run. False where a rule or a bound broke.
bool print_result(const RunReport& r, double took, bool json) {
    const Json out = report_to_json(r);
    if (json) {
        fmt::print("{}\n", out.dump());
        return out["kept"].get<bool>();
    }
    const RunStatistics& f = r.statistics;
    const Scenario& s = r.scenario_file.scenario;
    if (r.is_live) fmt::print("{} (seed {}), on sockets: {} requests\n", s.name, s.seed, f.requests);
    else
        fmt::print("{} (seed {}): {} requests in {:.1f} s, {} events, digest {:016x}\n", s.name, s.seed,
                   f.requests, took, f.events, f.digest);
    for (const std::string& name : statistic_names())
        if (const auto value = statistic_of(f, name)) fmt::print("  {:<22} {:>12.4f}\n", name, *value);
    for (const auto& [name, rule] : f.rules) {
        if (rule.check_count == 0) fmt::print("  rule {:<19} not checked: nothing called for it\n", name);
        else if (rule.violation_count == 0)
            fmt::print("  rule {:<19} kept, {} times\n", name, rule.check_count);
        else
            fmt::print("  rule {:<19} BROKEN {} of {} times, first: {}\n", name, rule.violation_count,
                       rule.check_count, rule.first_violation);
    }
    for (const Json& v : out["bounds"])
        fmt::print("  bound {}: {}\n", v["bound"].get<std::string>(), v["verdict"].get<std::string>());
    if (!f.request_trace.empty()) fmt::print("the course of the first request that broke a rule:\n");
    print_trace(f);
    return out["kept"].get<bool>();
}

// The request that broke a rule first; 0: none did.
std::uint64_t find_violating_request(const RunStatistics& f) {
    for (const auto& [name, rule] : f.rules)
        if (rule.violation_count > 0 && rule.violating_request != 0) return rule.violating_request;
    return 0;
}

RunStatistics run_with_options(const Scenario& s, const RunOptions& line, std::uint64_t traced = 0) {
    const std::size_t cores = std::clamp<std::size_t>(std::thread::hardware_concurrency(), 1, 16);
    return testbed::run_scenario(s, line.thread_count > 0 ? line.thread_count : useful_thread_count(s, cores),
                                 traced);
}

RunStatistics run_timed(const Scenario& s, const RunOptions& line, double& took) {
    const auto began = std::chrono::steady_clock::now();
    RunStatistics f = run_with_options(s, line);
    took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return f;
}

LiveFigures run_live_scenario(const Scenario& s, const RunOptions& line) {
    const LiveFigures f = run_live(s, {line.program_directory, line.log_directory});
    if (f.ran_late())
        fmt::print(stderr, "RAN LATE: this machine was too slow for {}; its figures are not the gateways'\n",
                   s.name);
    return f;
}

int run_files(const RunOptions& line) {
    bool kept = true, late = false;
    for (const std::string& path : line.scenario_files) {
        RunReport r;
        r.scenario_text = settings::read_file(path);
        r.scenario_file = parse_scenario(r.scenario_text, path);
        r.scenario_file.scenario.seed = line.seed;
        r.is_live = line.use_live;
        double took = 0.0;
        if (line.use_live) {
            const LiveFigures f = run_live_scenario(r.scenario_file.scenario, line);
            late = late || f.ran_late();
            r.statistics = f.figures;
        } else {
            r.statistics = run_timed(r.scenario_file.scenario, line, took);
            // The same once more, to see that request's whole course.
            if (const std::uint64_t request = find_violating_request(r.statistics))
                r.statistics.request_trace =
                    run_with_options(r.scenario_file.scenario, line, request).request_trace;
        }
        kept = print_result(r, took, line.print_json) && kept;
        if (!line.report_directory.empty()) {
            const std::string where = write_report(line.report_directory, r);
            if (!line.print_json) fmt::print("report: {}\n", where);
        }
    }
    return late ? 3 : kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

// A report's run once more: the same to the byte, and the course of one of its requests.
int replay_reports(const RunOptions& line) {
    const ReplayedRun r = parse_report(settings::read_file(line.other), line.other);
    if (r.is_live) throw std::runtime_error("a run on sockets cannot be played again");
    const std::uint64_t request =
        line.traced_request.empty() ? 0 : std::stoull(line.traced_request, nullptr, 16);
    const RunStatistics f = run_with_options(r.scenario_file.scenario, line, request);
    const bool same = fmt::format("{:016x}", f.digest) == r.digest;
    fmt::print("{} (seed {}): digest {:016x}, {}\n", r.scenario_file.scenario.name,
               r.scenario_file.scenario.seed, f.digest,
               same ? "the same as in the report" : "NOT that of the report: another program made it");
    if (request != 0 && f.request_trace.empty()) fmt::print("there was no request {:x}\n", request);
    print_trace(f);
    return same ? EXIT_SUCCESS : EXIT_FAILURE;
}

// A whole installation on this machine for a while, with its figures on the terminal.
int run_demo(const RunOptions& line) {
    ScenarioFile file = load_scenario(line.other);
    file.scenario.seed = line.seed;
    fmt::print(
        "{}\n{} gateways, {} servers, {:.0f} requests a second, {:.0f} s\n\n{:>4} {:>8} {:>8} {:>8} {:>8}\n",
        file.description, file.scenario.gateway_count, file.scenario.server_count, file.scenario.request_rate,
        std::chrono::duration<double>(file.scenario.duration).count(), "s", "served/s", "refused", "failed",
        "tries");
    RunStatistics last;
    const std::vector<Fault> faults = file.scenario.with_drawn_faults().faults;
    const auto show = [&](double at, const RunStatistics& f) {
        std::string now;
        for (const Fault& fault : faults) {
            const double from = std::chrono::duration<double>(fault.starts_at).count();
            const double to = from + std::chrono::duration<double>(fault.duration).count();
            if (at >= from && at < to + 1.0)
                now += fmt::format("{}{}", now.empty() ? "" : ", ", fault_name(fault.kind));
        }
        fmt::print("{:>4.0f} {:>8} {:>8} {:>8} {:>8}  {}\n", at, f.served - last.served,
                   f.rejected - last.rejected, f.failed - last.failed,
                   f.client_attempts - last.client_attempts, now);
        std::fflush(stdout);
        last = f;
    };
    const LiveFigures f = run_live(file.scenario, {line.program_directory, line.log_directory, show});
    fmt::print("\n");
    return print_result({file, {}, f.figures, true}, 0.0, false) ? EXIT_SUCCESS : EXIT_FAILURE;
}

// The model and the sockets, from the same file.
int compare_with_live(const RunOptions& line) {
    bool close = true, late = false;
    Json all = Json::array();
    for (const std::string& path : line.scenario_files) {
        ScenarioFile file = load_scenario(path);
        file.scenario.seed = line.seed;
        const RunStatistics model = run_with_options(file.scenario, line);
        const LiveFigures sockets = run_live_scenario(file.scenario, line);
        late = late || sockets.ran_late();
        Json one = {{"scenario", file.scenario.name}, {"ran_late", sockets.ran_late()}};
        fmt::print("{} (seed {})\n  {:<22} {:>12} {:>12} {:>12}\n", file.scenario.name, line.seed, "figure",
                   "model", "sockets", "difference");
        for (const std::string& name : statistic_names()) {
            const auto a = statistic_of(model, name), b = statistic_of(sockets.figures, name);
            if (!a || !b) continue;
            const bool bound = name == "served" || name == "refused";
            const bool wide = bound && std::abs(*b - *a) > line.tolerance;
            fmt::print("  {:<22} {:>12.4f} {:>12.4f} {:>+12.4f}{}\n", name, *a, *b, *b - *a,
                       wide ? "  APART" : "");
            one[name] = {{"model", *a}, {"sockets", *b}};
            close = close && !wide;
        }
        for (const auto& [name, rule] : sockets.figures.rules) {
            if (rule.violation_count == 0) continue;
            fmt::print("  rule {} BROKEN {} of {} times on sockets, first: {}\n", name, rule.violation_count,
                       rule.check_count, rule.first_violation);
            close = false;
        }
        all.push_back(one);
    }
    if (line.print_json) fmt::print("{}\n", all.dump());
    return late ? 3 : close ? EXIT_SUCCESS : EXIT_FAILURE;
}

// One scenario over many seeds: each figure's spread.
int run_sweep(const RunOptions& line) {
    bool kept = true;
    for (const std::string& path : line.scenario_files) {
        ScenarioFile file = load_scenario(path);
        std::map<std::string, std::vector<double>> all;
        for (int i = 0; i < line.seed_count; ++i) {
            file.scenario.seed = line.seed + static_cast<std::uint64_t>(i);
            const RunStatistics f = run_with_options(file.scenario, line);
            for (const std::string& name : statistic_names())
                if (const auto value = statistic_of(f, name)) all[name].push_back(*value);
            bool good = f.all_rules_hold();
            for (const ExpectedRange& bound : file.expected_ranges)
                good = good && check_range(bound, f) != Verdict::Violated;
            if (!good)
                fmt::print("{}: seed {} breaks a rule or a bound; see it with `run --seed {}`\n", path,
                           file.scenario.seed, file.scenario.seed);
            kept = kept && good;
        }
        fmt::print("{} over {} seeds\n  {:<22} {:>12} {:>12} {:>12}\n", file.scenario.name, line.seed_count,
                   "figure", "least", "median", "most");
        for (auto& [name, values] : all) {
            std::sort(values.begin(), values.end());
            fmt::print("  {:<22} {:>12.4f} {:>12.4f} {:>12.4f}\n", name, values.front(),
                       values[values.size() / 2], values.back());
        }
    }
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Two scenarios on the same seeds.
int compare_scenarios(const RunOptions& line) {
    if (line.scenario_files.size() != 2) throw std::runtime_error("compare takes two scenarios");
    std::map<std::string, std::vector<double>> values[2];
    for (int side = 0; side < 2; ++side) {
        ScenarioFile file = load_scenario(line.scenario_files[static_cast<std::size_t>(side)]);
        for (int i = 0; i < line.seed_count; ++i) {
            file.scenario.seed = line.seed + static_cast<std::uint64_t>(i);
            const RunStatistics f = run_with_options(file.scenario, line);
            for (const std::string& name : statistic_names())
                values[side][name].push_back(statistic_of(f, name).value_or(std::nan("")));
        }
    }
    fmt::print("{:<22} {:>12} {:>12} {:>12} {:>12}\n", "figure", "first", "second", "difference", "+- (95%)");
    Json out = Json::object();
    for (const std::string& name : statistic_names()) {
        std::vector<double> a, b;    // of the seeds in which both have it
        for (std::size_t i = 0; i < values[0][name].size(); ++i) {
            if (std::isnan(values[0][name][i]) || std::isnan(values[1][name][i])) continue;
            a.push_back(values[0][name][i]);
            b.push_back(values[1][name][i]);
        }
        if (a.empty()) {
            fmt::print("{:<22} not checked: nothing called for it\n", name);
            continue;
        }
        const PairedDifference d = paired_difference(a, b);
        const auto mean = [](const std::vector<double>& of) {
            return std::accumulate(of.begin(), of.end(), 0.0) / static_cast<double>(of.size());
        };
        fmt::print("{:<22} {:>12.4f} {:>12.4f} {:>+12.4f} {:>12.4f}  {}\n", name, mean(a), mean(b), d.mean,
                   d.half_width,
                   d.seed_count < 2     ? "one seed tells nothing"
                   : d.is_significant() ? ""
                                        : "no difference that shows");
        out[name] = {{"difference", d.mean}, {"half_width", d.half_width}, {"clear", d.is_significant()}};
    }
    if (line.print_json) fmt::print("{}\n", out.dump());
    return EXIT_SUCCESS;
}

int list_scenarios(const RunOptions& line) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(line.scenario_directory))
        if (entry.path().extension() == ".cue") files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    for (const std::string& path : files) fmt::print("{:<40} {}\n", path, load_scenario(path).description);
    return EXIT_SUCCESS;
}

struct LoadOptions {
    LoadSettings settings;
    std::string arrivals = "poisson", file;
    double rate = 100.0, seconds = 10.0, time_left_ms = 2000.0;
};

int run_load(const LoadOptions& line, bool json) {
    signal(SIGPIPE, SIG_IGN);
    LoadSettings s = line.settings;
    s.duration = Duration(static_cast<std::int64_t>(line.seconds * 1e6));
    s.time_budget = Duration(static_cast<std::int64_t>(line.time_left_ms * 1e3));
    if (s.class_name != "claim-read") s.method = "POST";
    std::unique_ptr<Arrivals> arrivals;
    if (line.arrivals == "constant") arrivals = constant_arrivals(line.rate);
    else if (line.arrivals == "poisson") arrivals = poisson_arrivals(line.rate, s.seed);
    else if (line.arrivals == "on-off") arrivals = on_off_arrivals(line.rate, Duration(2'000'000), s.seed);
    else {
        RecordedArrivals recorded = parse_recorded_arrivals(settings::read_file(line.file));
        if (recorded.is_truncated)
            fmt::print(stderr, "{}: its last line has no end and is not replayed\n", line.file);
        if (recorded.out_of_order_count > 0)
            fmt::print(stderr, "{}: {} lines go back in time\n", line.file, recorded.out_of_order_count);
        arrivals = recorded_arrivals(std::move(recorded));
    }
    SystemClock clock;
    Timers timers;
    Reactor reactor(clock, timers);
    LoadGenerator load(reactor, s, std::move(arrivals), [&] { reactor.stop(); });
    const bool shows = isatty(STDERR_FILENO) != 0;
    std::function<void()> progress = [&] {
        const LoadStatistics& f = load.statistics();
        fmt::print(stderr, "\r{} due, {} sent, {} answered 200 ", f.due_count, f.sent_count,
                   f.by_status.contains(200) ? f.by_status.at(200) : 0);
        reactor.schedule_after(Duration(500'000), progress);
    };
    if (shows) reactor.schedule_after(Duration(500'000), progress);
    // POCO lets a reactor without sockets sleep on threads of its own only.
    Poco::Thread thread;
    thread.startFunc([&] {
        load.start_load();
        reactor.run();
    });
    thread.join();
    if (shows) fmt::print(stderr, "\n");
    const LoadStatistics& f = load.statistics();
    Json out = {{"due", f.due_count},       {"sent", f.sent_count},
                {"broken", f.broken_count}, {"unanswered", f.unanswered_count},
                {"resent", f.resent_count}, {"connections", f.connections_opened},
                {"seconds", f.seconds},     {"ran_late", f.ran_late()}};
    for (const auto& [status, n] : f.by_status) out["by_status"][std::to_string(status)] = n;
    for (const double q : {0.5, 0.9, 0.99, 0.999}) {
        out["latency_ms"][fmt::format("{}", q)] = histogram_quantile(f.latency, q);
        out["own_lag_ms"][fmt::format("{}", q)] = histogram_quantile(f.scheduling_lag, q);
    }
    if (json) {
        fmt::print("{}\n", out.dump());
    } else {
        fmt::print("{} due, {} sent over {} connections, {} broken, {} unanswered\n", f.due_count,
                   f.sent_count, f.connections_opened, f.broken_count, f.unanswered_count);
        for (const auto& [status, n] : f.by_status) fmt::print("  {}  {}\n", status, n);
        for (const double q : {0.5, 0.9, 0.99, 0.999})
            fmt::print("  p{:<5} {:>10.3f} ms   own lag {:>8.3f} ms\n", 100.0 * q,
                       histogram_quantile(f.latency, q), histogram_quantile(f.scheduling_lag, q));
    }
    if (f.ran_late())
        fmt::print(stderr,
                   "RAN LATE: this machine was too slow for the load; the figures are not the server's\n");
    return f.ran_late() ? 3 : f.broken_count + f.unanswered_count > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int run_command(int argc, char** argv) {
    CLI::App app{"The laboratory: the program's own engine and decisions in a world of virtual time."};
    app.require_subcommand(1);
    RunOptions line;
    std::string demo_file = "testbed/scenarios/demo/demo.cue";
    const auto common = [&](CLI::App* sub) {
        sub->add_option("scenario", line.scenario_files, "Files of scenarios")->required();
        sub->add_option("--seed", line.seed, "The first seed");
        sub->add_option("--threads", line.thread_count, "The result does not depend on it")
            ->check(CLI::Range(1, 64));
        sub->add_flag("--json", line.print_json);
    };
    CLI::App* const running = app.add_subcommand("run", "Run scenarios once");
    common(running);
    CLI::App* const sweeping = app.add_subcommand("sweep", "Run scenarios over many seeds");
    common(sweeping);
    CLI::App* const comparing = app.add_subcommand("compare", "Two scenarios, paired over the same seeds");
    common(comparing);
    for (CLI::App* sub : {sweeping, comparing})
        sub->add_option("--seeds", line.seed_count, "How many")->check(CLI::Range(1, 10000));
    running->add_flag("--live", line.use_live, "On sockets, with gateways as processes");
    running->add_option("--out", line.report_directory, "Write HTML, JSON and CSV into this folder");
    CLI::App* const opposing = app.add_subcommand("against", "Model against sockets, from the same file");
    common(opposing);
    opposing->add_option("--within", line.tolerance, "Of each other: parts served and refused")
        ->check(CLI::Range(0.0, 1.0));
    for (CLI::App* sub : {running, opposing})
        sub->add_option("--logs", line.log_directory, "Keep the gateways' files and logs in this folder");
    CLI::App* const replaying = app.add_subcommand("replay", "The run of a report's JSON once more");
    replaying->add_option("report", line.other, "A report's JSON")->required();
    replaying->add_option("--request", line.traced_request,
                          "Show this request's course (its number, in hex)");
    replaying->add_option("--threads", line.thread_count)->check(CLI::Range(1, 64));
    CLI::App* const showing = app.add_subcommand("demo", "A whole installation on this machine for a while");
    showing->add_option("scenario", demo_file, "A scenario");
    showing->add_option("--seed", line.seed);
    showing->add_option("--logs", line.log_directory, "Keep the gateways' files and logs in this folder");
    CLI::App* const listing = app.add_subcommand("list", "The scenarios of a folder");
    listing->add_option("folder", line.scenario_directory);
    LoadOptions l;
    CLI::App* const loading = app.add_subcommand("load", "Open-loop load on a gateway or server");
    loading->add_option("address", l.settings.address, "Numeric address and port")->required();
    loading->add_option("--rate", l.rate, "Requests a second")->check(CLI::Range(0.01, 1e6));
    loading->add_option("--seconds", l.seconds)->check(CLI::Range(0.1, 86400.0));
    loading->add_option("--arrivals", l.arrivals)
        ->check(CLI::IsMember({"constant", "poisson", "on-off", "recorded"}));
    loading->add_option("--file", l.file, "Of recorded arrivals: microseconds since the start, a line each");
    loading->add_option("--connections", l.settings.max_connections, "At most")->check(CLI::Range(1, 60000));
    loading->add_flag("--ahead", l.settings.open_in_advance,
                      "Open all connections first, and use them in turn");
    loading->add_option("--class", l.settings.class_name);
    loading->add_option("--plan", l.settings.plan_name);
    loading->add_option("--customers", l.settings.customer_count);
    loading->add_option("--units", l.settings.units);
    loading->add_option("--spread", l.settings.unit_spread, "Gateways of a customer's set");
    loading->add_option("--time-left", l.time_left_ms, "Milliseconds that each request is given");
    loading->add_option("--seed", l.settings.seed);
    loading->add_flag("--json", line.print_json);
    if (command::run_completion(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    if (loading->parsed()) return run_load(l, line.print_json);
    line.program_directory = std::filesystem::canonical("/proc/self/exe").parent_path().string();
    if (running->parsed()) return run_files(line);
    if (opposing->parsed()) return compare_with_live(line);
    if (replaying->parsed()) return replay_reports(line);
    if (showing->parsed()) {
        line.other = demo_file;
        return run_demo(line);
    }
    if (sweeping->parsed()) return run_sweep(line);
    if (comparing->parsed()) return compare_scenarios(line);
    return list_scenarios(line);
}

}    // namespace
}    // namespace shaletray::testbed

int main(int argc, char** argv) {
    try {
        return shaletray::testbed::run_command(argc, argv);
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
