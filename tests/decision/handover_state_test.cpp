// Tests of the state that a process hands over to its successor: nothing is granted twice, and nothing is
// lost.
#include <gtest/gtest.h>

#include <random>

#include "balancer/service/gateway_script.h"

namespace shaletray::decision::test {
namespace {

Settings single_gateway_settings() {
    Settings s = small_site();
    s.gateways = 1;
    s.may_tell = false;
    return s;
}

// Handing over in the middle of a random history does not change what is granted in all.
TEST(HandoverState, TwoProcessesGrantAsMuchAsOne) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        Script single(single_gateway_settings()), before(single_gateway_settings()),
            after(single_gateway_settings(), seed);
        for (Script* s : {&single, &before}) s->hosts(8);
        double granted_by_one = 0.0, granted_by_two = 0.0;
        const auto spend = [&](Script& s, double& sum) {
            std::mt19937 same(seed);
            for (int i = 0; i < 6; ++i) {
                s.pass(std::chrono::milliseconds(same() % 900));
                const int plan = same() % 2 == 0 ? kPlain : kCeiling;
                sum += s.drain(7 + static_cast<std::uint64_t>(plan), plan, 1.0, static_cast<int>(same() % 40),
                               1);
            }
        };
        spend(single, granted_by_one);
        spend(before, granted_by_two);
        ASSERT_EQ(granted_by_one, granted_by_two);
        after.now = before.now;
        after.feed(TimerFired{0});
        after.gateway().take_over(before.gateway().hand_over(before.now), after.now);
        after.hosts(8);
        spend(single, granted_by_one);
        spend(after, granted_by_two);
        EXPECT_NEAR(granted_by_one, granted_by_two, 1.0) << "seed " << seed;
    }
}

TEST(HandoverState, QueuedRequestsKeepTheirUnitsAndMalformedStateIsRejected) {
    Script before(single_gateway_settings()), after(single_gateway_settings());
    before.hosts(8);
    before.drain(7, kPlain, 1.0, 500, 1);
    before.pass(20ms);    // refills a part of a unit
    const RequestId held = before.ask(kSafe, 1.0, 7, kPlain, 2s, 1);
    const std::string text = before.gateway().hand_over(before.now);
    after.now = before.now;
    after.feed(TimerFired{0});
    after.gateway().take_over(text, after.now);
    after.hosts(8);
    EXPECT_EQ(after.drain(7, kPlain, 1.0, 50, 1), 0.0);
    before.clear();
    before.pass(2s);
    ASSERT_TRUE(before.last<Refuse>());
    EXPECT_EQ(before.last<Refuse>()->request, held);
    for (const std::string& bad :
         {std::string(), std::string("module 2 1\n"), text.substr(0, text.size() - 3),
          std::string("module 1 1 1 nan 1 1 1\n"), std::string("module 1 1\n")}) {
        Script s(single_gateway_settings());
        s.feed(TimerFired{0});
        EXPECT_THROW(s.gateway().take_over(bad, s.now), std::invalid_argument) << bad;
    }
}

}    // namespace
}    // namespace shaletray::decision::test
