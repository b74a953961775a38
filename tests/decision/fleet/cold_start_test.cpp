// Tests of slow start in a fleet of gateways: cold servers are neither overloaded nor left idle.
#include "decision/fleet/cold_start.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <random>

#include "balancer/service/gateway_script.h"

namespace shaletray::decision::test {
namespace {

Settings fleet_site(int gateways) {
    Settings s = wide_open();
    s.gateways = gateways;
    s.cold = 17s;
    s.start_capacity = 0.17;
    s.fall_multiple = 4.0;
    s.fall = 1500ms;
    return s;
}

// One gateway of a hundred, with six requests per second; five of nine servers have just started. Its own
// attempts in flight say little about a server's load, so that a cold server cost more than any warm one and
// was not selected (join+vast, seed 1049668931579: of 3,100 attempts between the 9th and the 18th second 32
// went to the 36 cold servers of 60, while warm ones took 700 ms).
TEST(ColdStart, SparseFleetSendsToColdServers) {
    int cold = 0, all = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Script s(fleet_site(100), seed);
        s.hosts(4);
        for (int i = 0; i < 30; ++i) {
            s.clear();
            s.ask();
            if (const auto send = s.last<Send>()) s.served(*send);
            s.pass(160ms);
        }
        for (std::uint32_t h = 5; h <= 9; ++h) s.host_state(h, HostState::Healthy, s.now);
        for (int i = 0; i < 60; ++i) {
            s.clear();
            s.ask();
            const auto send = s.last<Send>();
            ASSERT_TRUE(send);
            cold += static_cast<int>(send->host) > 4;
            ++all;
            s.served(*send);
            s.pass(160ms);
        }
    }
    EXPECT_GT(cold, all / 8);
    EXPECT_LT(cold, all * 3 / 4);
}

// All gateways, each with its own budget and random draws, in virtual time. They do not know the capacity,
// some of them have no traffic, the rest has uneven traffic, and each sends whenever it may, so that the
// budgets alone must limit it. No window may hold more than N + 3 sqrt(N) + 3 attempts.
TEST(ColdStart, AllGatewaysTogetherKeepTheColdServerRule) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        const auto uniform = [&](double from, double to) {
            return from + (to - from) * static_cast<double>(random() >> 11) * 0x1p-53;
        };
        const int gateways = 100 + static_cast<int>(random() % 201);
        const Settings s = fleet_site(gateways);
        const double work = uniform(0.08, 0.25), capacity = 2.0 / work;    // of a warm one, a second
        const double alive = uniform(0.3, 1.0), load = uniform(0.3, 1.0);
        std::vector<double> traffic, each, budgets;
        double sum = 0.0;
        for (int g = 0; g < gateways; ++g)
            sum += traffic.emplace_back(uniform(0, 1) < alive ? uniform(0.2, 3) : 0);
        // What each gateway sends to a warm server, in all up to its capacity.
        for (double& t : traffic) {
            t *= load * capacity / sum;
            each.push_back(t * work);
            budgets.push_back(-work * uniform(0, 1));
        }
        std::deque<double> window;
        const double dt = 0.02;
        for (double at = 0.0; at < 17.0; at += dt) {
            const double share = fleet::capacity_share(
                s, TimePoint(1s), TimePoint(1s) + Duration(static_cast<std::int64_t>(at * 1e6)));
            for (int g = 0; g < gateways; ++g) {
                auto& budget = budgets[static_cast<std::size_t>(g)];
                budget =
                    fleet::slow_start_budget(s, budget, share, each[static_cast<std::size_t>(g)], true, dt);
                if (budget <= 0.0 || !fleet::draw_cold(s, share, random())) continue;
                budget -= work;
                window.push_back(at);
            }
            while (!window.empty() && window.front() < at - 1.5) window.pop_front();
            const double n = s.fall_multiple * share * capacity * 1.5;
            ASSERT_LE(static_cast<double>(window.size()), n + 3.0 * std::sqrt(n) + 3.0)
                << "seed " << seed << " at " << at << " s, N " << n;
        }
    }
}

TEST(ColdStart, WorksWithOneGatewayAndWithoutSlowStart) {
    Settings s = fleet_site(1);
    EXPECT_FALSE(fleet::is_sparse(s));
    s = fleet_site(1000);
    s.cold = Duration(0);
    EXPECT_TRUE(fleet::is_sparse(s));
    EXPECT_EQ(fleet::capacity_share(s, TimePoint(1s), TimePoint(1s)), 1.0);
    EXPECT_TRUE(fleet::draw_cold(s, 1.0, ~0ULL));
    EXPECT_FALSE(fleet::draw_cold(s, 0.2, ~0ULL));
}

}    // namespace
}    // namespace shaletray::decision::test
