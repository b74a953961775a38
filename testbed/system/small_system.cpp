#include <fmt/format.h>

#include "system/fixture.h"

namespace shaletray::testbed {

using namespace std::chrono_literals;

RoutePlan make_route(const std::string& name, const std::string& service, bool is_repeatable, double rate,
                     Duration latency_target, Duration deadline, std::size_t body_size) {
    RoutePlan route;
    route.name = name;
    route.host = fmt::format("{}.example", name);
    route.prefix = fmt::format("/{}/", name);
    route.service = service;
    route.is_repeatable = is_repeatable;
    route.rate = rate;
    route.latency_target = latency_target;
    route.deadline = deadline;
    route.attempt_timeout = deadline * 2;
    route.body_size = body_size;
    return route;
}

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
    plan.routes = {make_route("read", "lookups", true, 97, 600ms, 2500ms, 0),
                   make_route("approve", "approvals", false, 45, 800ms, 3000ms, 400),
                   make_route("pay", "payouts", false, 36, 500ms, 2000ms, 200),
                   make_route("past", "archive", true, 27, 2500ms, 10000ms, 0)};
    for (int t = 0; t < 8; ++t)
        plan.tenants.push_back({fmt::format("tenant{}", t), fmt::format("key{}{:x}", t, seed * 7919 + 12345),
                                t < 2 ? 4.0 : 1.0, t < 2 ? 150.0 : 60.0, t < 2 ? 150.0 : 60.0, 1});
    return plan;
}

}    // namespace shaletray::testbed
