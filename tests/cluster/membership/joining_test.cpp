// Joining: seeds, restarted processes, and what a joining process learns.
#include <criterion/criterion.h>

#include <algorithm>

#include "cluster/membership/cluster_helpers.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

Test(membership, processes_started_together_discover_each_other) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Network net(seed);
        net.loss = seed % 2 == 0 ? 0.02 : 0.0;
        net.start_all(3, 11, 300ms);
        net.run_for(300ms);
        cr_assert(net.run_until(1s, [&] { return all_joined(net); }), "seed %lu", seed);
        cr_assert(net.run_until(1500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
    }
}

// If the clock was set back, the restarted process starts with a lower incarnation than the earlier one, and
// must raise it.
Test(membership, restarted_process_takes_over_its_address_despite_a_clock_set_back) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject =
            seed % 2 == 0 ? Network::gateway_address(4) : Network::controller_address(1);
        const std::uint64_t previous_incarnation = net[subject].self().incarnation;
        net.stop_process(subject);
        net.run_for(seed % 3 == 0 ? 4s : 300ms);
        net.start_process(subject, seed_addresses(), previous_incarnation - 5'000'000);
        net[subject].set_quota_divisor(7);
        cr_assert(net.run_until(1s, [&] { return net[subject].joined() && net.all_agree(); }), "seed %lu",
                  seed);
        cr_assert_gt(net[subject].self().incarnation, previous_incarnation);
        net.run_for(5s);
        cr_assert(net.all_agree(), "seed %lu", seed);
    }
}

// A member that all others consider dead for its silence may still run: joining processes learn of it, unlike
// of departed members, without differing digests.
Test(membership, joining_process_learns_of_silent_members_but_not_of_departed_ones) {
    Network net(5);
    start_stable_cluster(net);
    const std::string silent = Network::gateway_address(3);
    net.is_cut = [&](const std::string& from, const std::string& to) {
        return from == silent || to == silent;
    };
    net.depart(Network::gateway_address(4));
    net.run_for(25s);
    const std::string late_joiner = Network::gateway_address(40);
    net.start_process(late_joiner, seed_addresses(), 1);
    net.run_for(2s);
    const auto& known = net[late_joiner].members();
    cr_assert(known.contains(silent) && known.at(silent).state == State::Dead);
    cr_assert(!known.at(silent).departed && known.at(silent).last_heard == TimePoint{});
    cr_assert_not(known.contains(Network::gateway_address(4)));
    cr_assert_gt((known.at(Network::controller_address(1)).last_in_sync - net.now) / 1ms, -4000);
    net.is_cut = nullptr;
    cr_assert(net.run_until(4s, [&] { return net.all_agree(); }));
}

// Guards against controllers on slow links that bring all members to joining gateways while others have
// bandwidth.
Test(membership, joining_gateways_ask_controllers_that_may_vote_first) {
    constexpr int kControllers = 12, kSeeds = 3, kFirstOtherVoter = 9;
    const auto may_vote = [](const std::string& address) {
        for (int i = kSeeds; i < kFirstOtherVoter; ++i)
            if (address == Network::controller_address(i)) return false;
        return true;
    };
    std::size_t by_voters = 0, by_others = 0;    // bytes sent by the controllers that are not seeds
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Network net(seed);
        net.may_vote = may_vote;
        const TimePoint reachable_at = net.now + 800ms;
        net.is_cut = [&](const std::string& from, const std::string&) {    // replies of the seeds are late
            const std::vector<std::string> seeds = seed_addresses();
            return net.now < reachable_at && std::find(seeds.begin(), seeds.end(), from) != seeds.end();
        };
        net.alter_bytes = [&](const std::string& from, std::string bytes) {
            for (int i = kSeeds; i < kControllers; ++i)
                if (from == Network::controller_address(i))
                    (may_vote(from) ? by_voters : by_others) += bytes.size();
            return bytes;
        };
        net.start_all(kControllers, 150, 300ms);
        net.run_for(300ms);
        cr_assert(net.run_until(4s, [&] { return all_joined(net); }), "seed %lu", seed);
    }
    const std::size_t per_voter = by_voters / (kControllers - kFirstOtherVoter);
    const std::size_t per_other = by_others / (kFirstOtherVoter - kSeeds);
    cr_assert(per_other < per_voter / 2, "%zu bytes, a voter %zu", per_other, per_voter);
}

Test(membership, joins_despite_dead_or_wrong_seeds_and_after_seeds_are_replaced) {
    Network net(3);
    start_stable_cluster(net);
    // Seeds: a dead address, a gateway, and a running controller.
    net.start_process(Network::gateway_address(20),
                      {"10.9.9.9:7100", Network::gateway_address(0), Network::controller_address(2)}, 1);
    cr_assert(
        net.run_until(1500ms, [&] { return net[Network::gateway_address(20)].joined() && net.all_agree(); }));
    net.start_process(Network::gateway_address(21), {"10.9.9.9:7100", "10.9.9.8:7100"}, 1);
    const std::uint64_t sent = net[Network::gateway_address(21)].statistics().sent;
    net.run_for(20s);
    cr_assert_not(net[Network::gateway_address(21)].joined());
    cr_expect_lt(net[Network::gateway_address(21)].statistics().sent - sent,
                 40);    // the retry interval grows
    net[Network::gateway_address(21)].set_seeds({"10.9.9.7:7100", Network::controller_address(1)});
    net.reschedule_tick(Network::gateway_address(21));
    cr_assert(
        net.run_until(2s, [&] { return net[Network::gateway_address(21)].joined() && net.all_agree(); }));
    // All initial seeds have ended; a controller that joined later suffices.
    net.start_process(Network::controller_address(10), {Network::controller_address(2), "10.9.9.9:7100"}, 1);
    cr_assert(
        net.run_until(2s, [&] { return net[Network::controller_address(10)].joined() && net.all_agree(); }));
    for (const std::string& seed : seed_addresses()) net.stop_process(seed);
    net.start_process(Network::gateway_address(22),
                      {Network::controller_address(10), Network::controller_address(0)}, 1);
    cr_assert(net.run_until(1500ms, [&] { return net[Network::gateway_address(22)].joined(); }));
    cr_assert(net.run_until(25s, [&] { return net.all_agree(); }));
}
