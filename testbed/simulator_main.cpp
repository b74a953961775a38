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

struct Line {
    std::vector<std::string> files;
    std::string folder = "testbed/scenarios", other;
    std::uint64_t seed = 1;
    int seeds = 5;
    std::size_t threads = 0;    // 0: as many as are worth it
    bool json = false, live = false;
    std::string out, logs, programs, request;
    double within = 0.05;
};

void print_course(const Figures& f) {
    for (const auto& [at, what] : f.course) fmt::print("  {:12.6f}  {}\n", at, what);
}

// Prints what came of one run. False where a rule or a bound broke.
bool told(const Report& r, double took, bool json) {
    const Json out = report_json(r);
    if (json) {
        fmt::print("{}\n", out.dump());
        return out["kept"].get<bool>();
    }
    const Figures& f = r.figures;
    const Scenario& s = r.file.scenario;
    if (r.live) fmt::print("{} (seed {}), on sockets: {} requests\n", s.name, s.seed, f.requests);
    else
        fmt::print("{} (seed {}): {} requests in {:.1f} s, {} events, digest {:016x}\n", s.name, s.seed,
                   f.requests, took, f.events, f.digest);
    for (const std::string& name : figure_names())
        if (const auto value = figure_of(f, name)) fmt::print("  {:<22} {:>12.4f}\n", name, *value);
    for (const auto& [name, rule] : f.rules) {
        if (rule.checked == 0) fmt::print("  rule {:<19} not checked: nothing called for it\n", name);
        else if (rule.broken == 0) fmt::print("  rule {:<19} kept, {} times\n", name, rule.checked);
        else
            fmt::print("  rule {:<19} BROKEN {} of {} times, first: {}\n", name, rule.broken, rule.checked,
                       rule.first);
    }
    for (const Json& v : out["bounds"])
        fmt::print("  bound {}: {}\n", v["bound"].get<std::string>(), v["verdict"].get<std::string>());
    if (!f.course.empty()) fmt::print("the course of the first request that broke a rule:\n");
    print_course(f);
    return out["kept"].get<bool>();
}

// The request that broke a rule first; 0: none did.
std::uint64_t offender(const Figures& f) {
    for (const auto& [name, rule] : f.rules)
        if (rule.broken > 0 && rule.request != 0) return rule.request;
    return 0;
}

Figures run(const Scenario& s, const Line& line, std::uint64_t traced = 0) {
    const std::size_t cores = std::clamp<std::size_t>(std::thread::hardware_concurrency(), 1, 16);
    return testbed::run(s, line.threads > 0 ? line.threads : fitting_threads(s, cores), traced);
}

Figures timed(const Scenario& s, const Line& line, double& took) {
    const auto began = std::chrono::steady_clock::now();
    Figures f = run(s, line);
    took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return f;
}

LiveFigures live(const Scenario& s, const Line& line) {
    const LiveFigures f = run_live(s, {line.programs, line.logs});
    if (f.ran_late())
        fmt::print(stderr, "RAN LATE: this machine was too slow for {}; its figures are not the gateways'\n",
                   s.name);
    return f;
}

int run_files(const Line& line) {
    bool kept = true, late = false;
    for (const std::string& path : line.files) {
        Report r;
        r.text = settings::read_file(path);
        r.file = read_scenario(r.text, path);
        r.file.scenario.seed = line.seed;
        r.live = line.live;
        double took = 0.0;
        if (line.live) {
            const LiveFigures f = live(r.file.scenario, line);
            late = late || f.ran_late();
            r.figures = f.figures;
        } else {
            r.figures = timed(r.file.scenario, line, took);
            // The same once more, to see that request's whole course.
            if (const std::uint64_t request = offender(r.figures))
                r.figures.course = run(r.file.scenario, line, request).course;
        }
        kept = told(r, took, line.json) && kept;
        if (!line.out.empty()) {
            const std::string where = write_report(line.out, r);
            if (!line.json) fmt::print("report: {}\n", where);
        }
    }
    return late ? 3 : kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

// A report's run once more: the same to the byte, and the course of one of its requests.
int replay(const Line& line) {
    const Replayed r = read_report(settings::read_file(line.other), line.other);
    if (r.live) throw std::runtime_error("a run on sockets cannot be played again");
    const std::uint64_t request = line.request.empty() ? 0 : std::stoull(line.request, nullptr, 16);
    const Figures f = run(r.file.scenario, line, request);
    const bool same = fmt::format("{:016x}", f.digest) == r.digest;
    fmt::print("{} (seed {}): digest {:016x}, {}\n", r.file.scenario.name, r.file.scenario.seed, f.digest,
               same ? "the same as in the report" : "NOT that of the report: another program made it");
    if (request != 0 && f.course.empty()) fmt::print("there was no request {:x}\n", request);
    print_course(f);
    return same ? EXIT_SUCCESS : EXIT_FAILURE;
}

// A whole installation on this machine for a while, with its figures on the terminal.
int demo(const Line& line) {
    ScenarioFile file = load_scenario(line.other);
    file.scenario.seed = line.seed;
    fmt::print(
        "{}\n{} gateways, {} servers, {:.0f} requests a second, {:.0f} s\n\n{:>4} {:>8} {:>8} {:>8} {:>8}\n",
        file.about, file.scenario.gateways, file.scenario.servers, file.scenario.rate,
        std::chrono::duration<double>(file.scenario.time).count(), "s", "served/s", "refused", "failed",
        "tries");
    Figures last;
    const std::vector<Fault> faults = file.scenario.drawn().faults;
    const auto show = [&](double at, const Figures& f) {
        std::string now;
        for (const Fault& fault : faults) {
            const double from = std::chrono::duration<double>(fault.at).count();
            const double to = from + std::chrono::duration<double>(fault.lasts).count();
            if (at >= from && at < to + 1.0)
                now += fmt::format("{}{}", now.empty() ? "" : ", ", name_of(fault.kind));
        }
        fmt::print("{:>4.0f} {:>8} {:>8} {:>8} {:>8}  {}\n", at, f.served - last.served,
                   f.refused - last.refused, f.failed - last.failed, f.tries - last.tries, now);
        std::fflush(stdout);
        last = f;
    };
    const LiveFigures f = run_live(file.scenario, {line.programs, line.logs, show});
    fmt::print("\n");
    return told({file, {}, f.figures, true}, 0.0, false) ? EXIT_SUCCESS : EXIT_FAILURE;
}

// The model and the sockets, from the same file.
int against(const Line& line) {
    bool close = true, late = false;
    Json all = Json::array();
    for (const std::string& path : line.files) {
        ScenarioFile file = load_scenario(path);
        file.scenario.seed = line.seed;
        const Figures model = run(file.scenario, line);
        const LiveFigures sockets = live(file.scenario, line);
        late = late || sockets.ran_late();
        Json one = {{"scenario", file.scenario.name}, {"ran_late", sockets.ran_late()}};
        fmt::print("{} (seed {})\n  {:<22} {:>12} {:>12} {:>12}\n", file.scenario.name, line.seed, "figure",
                   "model", "sockets", "difference");
        for (const std::string& name : figure_names()) {
            const auto a = figure_of(model, name), b = figure_of(sockets.figures, name);
            if (!a || !b) continue;
            const bool bound = name == "served" || name == "refused";
            const bool wide = bound && std::abs(*b - *a) > line.within;
            fmt::print("  {:<22} {:>12.4f} {:>12.4f} {:>+12.4f}{}\n", name, *a, *b, *b - *a,
                       wide ? "  APART" : "");
            one[name] = {{"model", *a}, {"sockets", *b}};
            close = close && !wide;
        }
        for (const auto& [name, rule] : sockets.figures.rules) {
            if (rule.broken == 0) continue;
            fmt::print("  rule {} BROKEN {} of {} times on sockets, first: {}\n", name, rule.broken,
                       rule.checked, rule.first);
            close = false;
        }
        all.push_back(one);
    }
    if (line.json) fmt::print("{}\n", all.dump());
    return late ? 3 : close ? EXIT_SUCCESS : EXIT_FAILURE;
}

// One scenario over many seeds: each figure's spread.
int sweep(const Line& line) {
    bool kept = true;
    for (const std::string& path : line.files) {
        ScenarioFile file = load_scenario(path);
        std::map<std::string, std::vector<double>> all;
        for (int i = 0; i < line.seeds; ++i) {
            file.scenario.seed = line.seed + static_cast<std::uint64_t>(i);
            const Figures f = run(file.scenario, line);
            for (const std::string& name : figure_names())
                if (const auto value = figure_of(f, name)) all[name].push_back(*value);
            bool good = f.kept();
            for (const Bound& bound : file.bounds) good = good && judge(bound, f) != Verdict::Broken;
            if (!good)
                fmt::print("{}: seed {} breaks a rule or a bound; see it with `run --seed {}`\n", path,
                           file.scenario.seed, file.scenario.seed);
            kept = kept && good;
        }
        fmt::print("{} over {} seeds\n  {:<22} {:>12} {:>12} {:>12}\n", file.scenario.name, line.seeds,
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
int compare(const Line& line) {
    if (line.files.size() != 2) throw std::runtime_error("compare takes two scenarios");
    std::map<std::string, std::vector<double>> values[2];
    for (int side = 0; side < 2; ++side) {
        ScenarioFile file = load_scenario(line.files[static_cast<std::size_t>(side)]);
        for (int i = 0; i < line.seeds; ++i) {
            file.scenario.seed = line.seed + static_cast<std::uint64_t>(i);
            const Figures f = run(file.scenario, line);
            for (const std::string& name : figure_names())
                values[side][name].push_back(figure_of(f, name).value_or(std::nan("")));
        }
    }
    fmt::print("{:<22} {:>12} {:>12} {:>12} {:>12}\n", "figure", "first", "second", "difference", "+- (95%)");
    Json out = Json::object();
    for (const std::string& name : figure_names()) {
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
        const Difference d = paired(a, b);
        const auto mean = [](const std::vector<double>& of) {
            return std::accumulate(of.begin(), of.end(), 0.0) / static_cast<double>(of.size());
        };
        fmt::print("{:<22} {:>12.4f} {:>12.4f} {:>+12.4f} {:>12.4f}  {}\n", name, mean(a), mean(b), d.mean,
                   d.half_width,
                   d.seeds < 2 ? "one seed tells nothing"
                   : d.clear() ? ""
                               : "no difference that shows");
        out[name] = {{"difference", d.mean}, {"half_width", d.half_width}, {"clear", d.clear()}};
    }
    if (line.json) fmt::print("{}\n", out.dump());
    return EXIT_SUCCESS;
}

int list(const Line& line) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(line.folder))
        if (entry.path().extension() == ".cue") files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    for (const std::string& path : files) fmt::print("{:<40} {}\n", path, load_scenario(path).about);
    return EXIT_SUCCESS;
}

struct LoadLine {
    LoadSettings settings;
    std::string arrivals = "poisson", file;
    double rate = 100.0, seconds = 10.0, time_left_ms = 2000.0;
};

int load(const LoadLine& line, bool json) {
    signal(SIGPIPE, SIG_IGN);
    LoadSettings s = line.settings;
    s.time = Duration(static_cast<std::int64_t>(line.seconds * 1e6));
    s.time_left = Duration(static_cast<std::int64_t>(line.time_left_ms * 1e3));
    if (s.cls != "claim-read") s.method = "POST";
    std::unique_ptr<Arrivals> arrivals;
    if (line.arrivals == "constant") arrivals = constant_arrivals(line.rate);
    else if (line.arrivals == "poisson") arrivals = poisson_arrivals(line.rate, s.seed);
    else if (line.arrivals == "on-off") arrivals = on_off_arrivals(line.rate, Duration(2'000'000), s.seed);
    else {
        Recorded recorded = read_recorded(settings::read_file(line.file));
        if (recorded.cut_short)
            fmt::print(stderr, "{}: its last line has no end and is not replayed\n", line.file);
        if (recorded.late > 0) fmt::print(stderr, "{}: {} lines go back in time\n", line.file, recorded.late);
        arrivals = recorded_arrivals(std::move(recorded));
    }
    SystemClock clock;
    Timers timers;
    Reactor reactor(clock, timers);
    Load load(reactor, s, std::move(arrivals), [&] { reactor.stop(); });
    const bool shows = isatty(STDERR_FILENO) != 0;
    std::function<void()> progress = [&] {
        const LoadFigures& f = load.figures();
        fmt::print(stderr, "\r{} due, {} sent, {} answered 200 ", f.due, f.sent,
                   f.by_status.contains(200) ? f.by_status.at(200) : 0);
        reactor.after(Duration(500'000), progress);
    };
    if (shows) reactor.after(Duration(500'000), progress);
    // POCO lets a reactor without sockets sleep on threads of its own only.
    Poco::Thread thread;
    thread.startFunc([&] {
        load.start();
        reactor.run();
    });
    thread.join();
    if (shows) fmt::print(stderr, "\n");
    const LoadFigures& f = load.figures();
    Json out = {
        {"due", f.due},       {"sent", f.sent},          {"broken", f.broken},   {"unanswered", f.unanswered},
        {"resent", f.resent}, {"connections", f.opened}, {"seconds", f.seconds}, {"ran_late", f.ran_late()}};
    for (const auto& [status, n] : f.by_status) out["by_status"][std::to_string(status)] = n;
    for (const double q : {0.5, 0.9, 0.99, 0.999}) {
        out["latency_ms"][fmt::format("{}", q)] = quantile_of(f.latency, q);
        out["own_lag_ms"][fmt::format("{}", q)] = quantile_of(f.lag, q);
    }
    if (json) {
        fmt::print("{}\n", out.dump());
    } else {
        fmt::print("{} due, {} sent over {} connections, {} broken, {} unanswered\n", f.due, f.sent, f.opened,
                   f.broken, f.unanswered);
        for (const auto& [status, n] : f.by_status) fmt::print("  {}  {}\n", status, n);
        for (const double q : {0.5, 0.9, 0.99, 0.999})
            fmt::print("  p{:<5} {:>10.3f} ms   own lag {:>8.3f} ms\n", 100.0 * q, quantile_of(f.latency, q),
                       quantile_of(f.lag, q));
    }
    if (f.ran_late())
        fmt::print(stderr,
                   "RAN LATE: this machine was too slow for the load; the figures are not the server's\n");
    return f.ran_late() ? 3 : f.broken + f.unanswered > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main_of(int argc, char** argv) {
    CLI::App app{"The laboratory: the program's own engine and decisions in a world of virtual time."};
    app.require_subcommand(1);
    Line line;
    std::string demo_file = "testbed/scenarios/demo/demo.cue";
    const auto common = [&](CLI::App* sub) {
        sub->add_option("scenario", line.files, "Files of scenarios")->required();
        sub->add_option("--seed", line.seed, "The first seed");
        sub->add_option("--threads", line.threads, "The result does not depend on it")
            ->check(CLI::Range(1, 64));
        sub->add_flag("--json", line.json);
    };
    CLI::App* const running = app.add_subcommand("run", "Run scenarios once");
    common(running);
    CLI::App* const sweeping = app.add_subcommand("sweep", "Run scenarios over many seeds");
    common(sweeping);
    CLI::App* const comparing = app.add_subcommand("compare", "Two scenarios, paired over the same seeds");
    common(comparing);
    for (CLI::App* sub : {sweeping, comparing})
        sub->add_option("--seeds", line.seeds, "How many")->check(CLI::Range(1, 10000));
    running->add_flag("--live", line.live, "On sockets, with gateways as processes");
    running->add_option("--out", line.out, "Write HTML, JSON and CSV into this folder");
    CLI::App* const opposing = app.add_subcommand("against", "Model against sockets, from the same file");
    common(opposing);
    opposing->add_option("--within", line.within, "Of each other: parts served and refused")
        ->check(CLI::Range(0.0, 1.0));
    for (CLI::App* sub : {running, opposing})
        sub->add_option("--logs", line.logs, "Keep the gateways' files and logs in this folder");
    CLI::App* const replaying = app.add_subcommand("replay", "The run of a report's JSON once more");
    replaying->add_option("report", line.other, "A report's JSON")->required();
    replaying->add_option("--request", line.request, "Show this request's course (its number, in hex)");
    replaying->add_option("--threads", line.threads)->check(CLI::Range(1, 64));
    CLI::App* const showing = app.add_subcommand("demo", "A whole installation on this machine for a while");
    showing->add_option("scenario", demo_file, "A scenario");
    showing->add_option("--seed", line.seed);
    showing->add_option("--logs", line.logs, "Keep the gateways' files and logs in this folder");
    CLI::App* const listing = app.add_subcommand("list", "The scenarios of a folder");
    listing->add_option("folder", line.folder);
    LoadLine l;
    CLI::App* const loading = app.add_subcommand("load", "Open-loop load on a gateway or server");
    loading->add_option("address", l.settings.address, "Numeric address and port")->required();
    loading->add_option("--rate", l.rate, "Requests a second")->check(CLI::Range(0.01, 1e6));
    loading->add_option("--seconds", l.seconds)->check(CLI::Range(0.1, 86400.0));
    loading->add_option("--arrivals", l.arrivals)
        ->check(CLI::IsMember({"constant", "poisson", "on-off", "recorded"}));
    loading->add_option("--file", l.file, "Of recorded arrivals: microseconds since the start, a line each");
    loading->add_option("--connections", l.settings.connections, "At most")->check(CLI::Range(1, 60000));
    loading->add_flag("--ahead", l.settings.ahead, "Open all connections first, and use them in turn");
    loading->add_option("--class", l.settings.cls);
    loading->add_option("--plan", l.settings.plan);
    loading->add_option("--customers", l.settings.customers);
    loading->add_option("--units", l.settings.units);
    loading->add_option("--spread", l.settings.spread, "Gateways of a customer's set");
    loading->add_option("--time-left", l.time_left_ms, "Milliseconds that each request is given");
    loading->add_option("--seed", l.settings.seed);
    loading->add_flag("--json", line.json);
    if (command::completes(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    if (loading->parsed()) return load(l, line.json);
    line.programs = std::filesystem::canonical("/proc/self/exe").parent_path().string();
    if (running->parsed()) return run_files(line);
    if (opposing->parsed()) return against(line);
    if (replaying->parsed()) return replay(line);
    if (showing->parsed()) {
        line.other = demo_file;
        return demo(line);
    }
    if (sweeping->parsed()) return sweep(line);
    if (comparing->parsed()) return compare(line);
    return list(line);
}

}    // namespace
}    // namespace shaletray::testbed

int main(int argc, char** argv) {
    try {
        return shaletray::testbed::main_of(argc, argv);
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
