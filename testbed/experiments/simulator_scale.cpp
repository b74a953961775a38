// What the laboratory itself costs, at three sizes: simulated requests and events a second and core, memory a
// customer, and that the result does not depend on the number of threads.
//   SEED= SIM_SECONDS= from the environment. Ends non-zero where a bound breaks.
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

#include "gateway_fixture.h"
#include "simulator/world.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

struct Size {
    const char* name;
    int gateways, servers;
    std::uint64_t customers;
    double rate;
    bool calm = false;
};
constexpr Size kSizes[] = {{"small", 3, 10, 10'000, 1'000.0},
                           {"middle", 10, 100, 100'000, 10'000.0},
                           {"large", 100, 1000, 1'000'000, 100'000.0},
                           // Within their quotas and what the servers can do.
                           {"large, calm", 100, 1000, 1'000'000, 100'000.0, true}};

int experiment(std::uint64_t seed) {
    const double simulated = number_from_environment("SIM_SECONDS", 2.0, 1.0, 3600.0);
    const std::size_t cores = std::clamp<std::size_t>(std::thread::hardware_concurrency(), 1, 4);
    nlohmann::json out = {{"experiment", "lab-scale"}, {"seed", seed}, {"threads", cores}};
    std::vector<std::string> broken;
    double first_cost = 0.0, last_cost = 0.0, best = 0.0;
    fmt::print("{:<8} {:>8} {:>8} {:>10} {:>10} {:>12} {:>12} {:>10} {:>8} {:>7}\n", "size", "gateways",
               "servers", "customers", "requests", "requests/s", "events/s", "us/request", "served", "MB");
    for (const Size& size : kSizes) {
        Scenario s;
        s.name = size.name;
        s.seed = seed;
        s.gateway_count = size.gateways;
        s.server_count = size.servers;
        s.customer_count = size.customers;
        s.request_rate = size.rate;
        s.frontend_count = std::max(4, size.gateways);
        s.room_count = 3;
        s.server_model.cores = 8;
        s.plans = {{"equipo", 20.0, 80.0, 0, 0.0, 0.0, 0.0, 1.0, 0.5, 0.2},
                   {"empresa", 60.0, 240.0, 0, 90.0, 360.0, 36.0, 3.0, 0.0, 0.0}};
        if (size.calm) s.plans.clear();
        s.zipf_exponent = 0.6;
        // About the same number of requests in each: what they cost is compared.
        s.duration =
            Duration(static_cast<std::int64_t>(std::max(2.0, simulated * 50'000.0 / size.rate) * 1e6));
        if (size.rate >= 100'000.0)
            s.duration = std::max<Duration>(Duration(static_cast<std::int64_t>(simulated * 1e6 / 2)), 1s);
        s.faults = {{Fault::Kind::Crash, 500ms, 800ms, 2, -1, 1.0},
                    {Fault::Kind::Slowdown, 500ms, 1s, 1, -1, 4.0}};
        const std::size_t before = mallinfo2().uordblks;
        const auto began = std::chrono::steady_clock::now();
        const std::size_t threads = useful_thread_count(s, cores);
        const RunStatistics f = run_scenario(s, threads);
        const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        const double mb = static_cast<double>(mallinfo2().arena + mallinfo2().hblkhd - before) / 1e6;
        const double cost =
            1e6 * took * static_cast<double>(threads) / static_cast<double>(f.client_attempts);
        if (first_cost == 0.0) first_cost = cost;
        if (!size.calm) last_cost = cost;
        best = std::max(best, static_cast<double>(f.client_attempts) / took);
        fmt::print("{:<8} {:>8} {:>8} {:>10} {:>10} {:>12.0f} {:>12.0f} {:>10.2f} {:>8.3f} {:>7.0f}\n",
                   size.name, size.gateways, size.servers, size.customers, f.client_attempts,
                   static_cast<double>(f.client_attempts) / took, static_cast<double>(f.events) / took, cost,
                   static_cast<double>(f.served) / static_cast<double>(f.requests), mb);
        for (const auto& [name, rule] : f.rules) {
            if (rule.violation_count > 0)
                broken.push_back(fmt::format("{}: {} of {} broke: {}", name, rule.violation_count,
                                             rule.check_count, rule.first_violation));
            else if (rule.check_count == 0) fmt::print("  {}: not checked, as nothing called for it\n", name);
        }
        out["sizes"].push_back({{"name", size.name},
                                {"requests", f.client_attempts},
                                {"requests_per_s", static_cast<double>(f.client_attempts) / took},
                                {"requests_per_s_per_core", static_cast<double>(f.client_attempts) / took /
                                                                static_cast<double>(threads)},
                                {"events_per_s", static_cast<double>(f.events) / took},
                                {"core_us_per_request", cost},
                                {"customers_seen", f.distinct_customers},
                                {"megabytes", mb}});
        if (size.gateways == 3) {
            s.duration = std::min<Duration>(s.duration, 3s);
            if (run_scenario(s, 1).digest != run_scenario(s, 4).digest)
                broken.push_back("one thread and four give another result");
        }
    }
    out["cost_growth_10_to_1000_servers"] = last_cost / first_cost;
    out["best_requests_per_s"] = best;
    out["broken"] = broken;
    fmt::print(
        "\na request costs {:.2f} times as much with 1,000 servers as with 10; at best {:.0f} requests a "
        "second "
        "on {} cores\n",
        last_cost / first_cost, best, cores);
    for (const std::string& what : broken) fmt::print("BROKEN: {}\n", what);
    fmt::print("{}\n", out.dump());
    return broken.empty() ? 0 : 1;
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 4, [](const std::string&, std::uint64_t seed, double) {
        return shaletray::testbed::experiment(seed);
    });
}
