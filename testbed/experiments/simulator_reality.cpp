// The model against sockets: each scenario of testbed/scenarios/reality once in virtual time and once with
// real gateways, from the same file and seed. Parts served and refused within 0.05 of each other.
//   SEED= and AT_ONCE= (how many run side by side) from the environment. Ends non-zero where a bound breaks,
//   3 where the machine was too slow to tell.
#include <fmt/format.h>

#include <atomic>
#include <filesystem>
#include <thread>

#include "gateway_fixture.h"
#include "live_run.h"
#include "simulator/scenario.h"

namespace shaletray::testbed {
namespace {

constexpr double kWithin = 0.05;

struct Case {
    ScenarioFile file;
    RunStatistics model;
    LiveFigures live;
    std::string error;
};

void play(Case& c, const std::string& programs) {
    // A port that was free may be gone by the time a gateway takes it: once more, then.
    for (int attempt = 0; attempt < 2; ++attempt) {
        try {
            c.error.clear();
            c.live = run_live(c.file.scenario, {programs, {}});
            return;
        } catch (const std::exception& error) {
            c.error = error.what();
        }
    }
}

int experiment(const std::string& programs, std::uint64_t seed) {
    std::vector<Case> cases;
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS "/reality"))
        files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    for (const std::string& path : files) {
        Case c;
        c.file = load_scenario(path);
        c.file.scenario.seed = seed;
        cases.push_back(std::move(c));
    }
    const auto at_once = static_cast<std::size_t>(
        number_from_environment("AT_ONCE", std::max(1.0, std::thread::hardware_concurrency() / 2.0), 1, 64));
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(at_once, cases.size()); ++i)
        threads.emplace_back([&] {
            for (std::size_t n = next++; n < cases.size(); n = next++) play(cases[n], programs);
        });
    for (std::thread& t : threads) t.join();
    bool broken = false, late = false;
    nlohmann::json out = {{"experiment", "lab-reality"}, {"seed", seed}};
    fmt::print("{:<20} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}  {}\n", "scenario", "served",
               "sockets", "refused", "sockets", "p50 ms", "sockets", "p99 ms", "sockets", "");
    for (Case& c : cases) {
        c.model = run_scenario(c.file.scenario, 1);
        const auto of = [](const RunStatistics& f, const char* name) {
            return statistic_of(f, name).value_or(0.0);
        };
        const RunStatistics& live = c.live.figures;
        std::string verdict;
        if (!c.error.empty()) verdict = "BROKEN: " + c.error;
        else if (c.live.ran_late()) verdict = "RAN LATE, not judged";
        for (const char* name : {"served", "refused"})
            if (verdict.empty() && std::abs(of(c.model, name) - of(live, name)) > kWithin)
                verdict = fmt::format("BROKEN: {} apart", name);
        for (const auto& [name, rule] : live.rules)
            if (verdict.empty() && rule.violation_count > 0)
                verdict = fmt::format("BROKEN: {}: {}", name, rule.first_violation);
        broken = broken || verdict.starts_with("BROKEN");
        late = late || c.live.ran_late();
        fmt::print("{:<20} {:>8.4f} {:>8.4f} {:>8.4f} {:>8.4f} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}  {}\n",
                   c.file.scenario.name, of(c.model, "served"), of(live, "served"), of(c.model, "refused"),
                   of(live, "refused"), c.model.p50_ms, live.p50_ms, c.model.p99_ms, live.p99_ms, verdict);
        nlohmann::json one = {{"scenario", c.file.scenario.name}, {"verdict", verdict}};
        for (const std::string& name : statistic_names())
            one[name] = {of(c.model, name.c_str()), of(live, name.c_str())};
        one["cpu_us_per_request"] =
            live.client_attempts == 0 ? 0.0 : 1e6 * c.live.cpu_s / static_cast<double>(live.client_attempts);
        out["scenarios"].push_back(one);
    }
    out["broken"] = broken;
    out["ran_late"] = late;
    fmt::print("{}\n", out.dump());
    return broken ? 1 : late ? 3 : 0;
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 4,
                                               [](const std::string& programs, std::uint64_t seed, double) {
                                                   return shaletray::testbed::experiment(programs, seed);
                                               });
}
