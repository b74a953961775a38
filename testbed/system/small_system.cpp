#include <fmt/format.h>

#include "system/fixture.h"

namespace shaletray::testbed {

using namespace std::chrono_literals;

SystemPlan make_small_system(const std::string& name, const std::string& program_directory,
                             std::uint64_t seed, int machine_count, int controller_count) {
    SystemPlan plan{.name = name,
                    .program_directory = program_directory,
                    .seed = seed,
                    .machines = {},
                    .services = {},
                    .routes = {},
                    .tenants = {}};
    const std::vector<std::string> zones = {"north", "south", "west"};
    for (int m = 0; m < machine_count; ++m)
        plan.machines.push_back({zones[static_cast<std::size_t>(m) % zones.size()], true,
                                 m < controller_count, m < controller_count});
    plan.services = {{"lookups", 8, 6, 130, 220ms},
                     {"approvals", 6, 6, 130, 290ms},
                     {"payouts", 6, 6, 130, 150ms},
                     {"archive", 9, 6, 130, 880ms}};
    const auto route = [](const char* of, const char* service, bool repeatable, double rate, Duration aim,
                          Duration deadline, std::size_t body) {
        RoutePlan r;
        r.name = of;
        r.host = fmt::format("{}.example", of);
        r.prefix = fmt::format("/{}/", of);
        r.service = service;
        r.is_repeatable = repeatable;
        r.rate = rate;
        r.latency_target = aim;
        r.deadline = deadline;
        r.attempt_timeout = deadline * 2;
        r.body_size = body;
        return r;
    };
    plan.routes = {route("read", "lookups", true, 97, 600ms, 2500ms, 0),
                   route("approve", "approvals", false, 45, 800ms, 3000ms, 400),
                   route("pay", "payouts", false, 36, 500ms, 2000ms, 200),
                   route("past", "archive", true, 27, 2500ms, 10000ms, 0)};
    for (int t = 0; t < 8; ++t)
        plan.tenants.push_back({fmt::format("tenant{}", t), fmt::format("key{}{:x}", t, seed * 7919 + 12345),
                                t < 2 ? 4.0 : 1.0, t < 2 ? 150.0 : 60.0, t < 2 ? 150.0 : 60.0, 1});
    return plan;
}

}    // namespace shaletray::testbed
