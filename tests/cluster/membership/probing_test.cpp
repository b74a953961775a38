// Failure detection under loss, partitions and pauses.
#include <criterion/criterion.h>

#include "cluster/membership/cluster_helpers.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

Test(membership, packet_loss_of_a_few_percent_raises_no_suspicion) {
    for (const int gateway_count : {11, 87}) {
        Network net(static_cast<std::uint64_t>(gateway_count));
        net.loss = 0.03;
        net.start_all(3, gateway_count, 500ms);
        net.run_for(3s);
        StateObserver observer(net);
        double min_fraction = 1.0;
        for (int i = 0; i < (gateway_count < 20 ? 180 : 60); ++i) {
            net.run_for(1s);
            min_fraction =
                std::min(min_fraction, net[Network::gateway_address(3)].heard_fraction(net.now, 3s));
        }
        cr_expect(observer.suspected.empty(), "%zu with %d gateways", observer.suspected.size(),
                  gateway_count);
        cr_expect(observer.dead.empty());
        cr_expect_gt(min_fraction, 0.98);
        cr_expect(net.all_agree());
    }
}

Test(membership, a_partitioned_member_becomes_suspect_then_dead_and_returns) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject =
            seed % 2 == 0 ? Network::gateway_address(7) : Network::controller_address(2);
        const bool inbound_cut = seed % 3 != 1, outbound_cut = seed % 3 != 2;
        net.is_cut = [&](const std::string& from, const std::string& to) {
            return (inbound_cut && to == subject) || (outbound_cut && from == subject);
        };
        const bool long_cut = seed % 4 < 2;
        net.run_for(3500ms);
        // A member whose packets arrive is not suspected, whether it receives any or not.
        cr_expect_eq(net.count_seen_as(subject, State::Suspect), outbound_cut ? 13 : 0, "seed %lu", seed);
        if (inbound_cut) cr_expect_lt(net[subject].heard_fraction(net.now, 2s), 0.1);
        if (!inbound_cut) cr_expect_eq(net[subject].heard_fraction(net.now, 2s), 1.0);
        cr_expect_eq(net[subject].acknowledged_fraction(net.now, 2s), 0.0);
        cr_expect_gt(net[Network::gateway_address(1)].heard_fraction(net.now, 1500ms), 0.85);
        net.run_for(long_cut ? 25s : 2s);
        cr_expect_eq(net.count_seen_as(subject, State::Dead), long_cut && outbound_cut ? 13 : 0, "seed %lu",
                     seed);
        if (outbound_cut && long_cut)
            cr_expect_not(net[Network::gateway_address(1)].members().at(subject).departed);
        net.is_cut = nullptr;
        cr_assert(net.run_until(2500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(1500ms);
        cr_expect_eq(net[subject].heard_fraction(net.now, 1500ms), 1.0);
        cr_expect_eq(net[subject].acknowledged_fraction(net.now, 1s), 1.0);
    }
}

// last_acknowledged of every member is renewed continually, and stops when only the direction to that member
// fails.
Test(membership, last_acknowledged_is_renewed_until_the_direction_to_the_member_fails) {
    for (const int gateway_count : {2, 11, 18}) {
        Network net(static_cast<std::uint64_t>(gateway_count));
        net.start_all(3, gateway_count, 300ms);
        net.run_for(8s);
        net.loss = 0.02;
        const auto acknowledgement_age = [&](const std::string& address, const std::string& peer) {
            const Member& member = net[address].members().at(peer);
            cr_assert(net[address].contacts_every_member() && member.last_acknowledged <= net.now);
            return net.now - member.last_acknowledged;
        };
        for (int check = 0; check < 200; ++check) {
            net.run_for(100ms);
            for (const auto& [address, process] : net.processes)
                for (const auto& [peer, unused_member] : net[address].members())
                    cr_assert_leq(acknowledgement_age(address, peer) / 1ms, 4000, "%d gateways",
                                  gateway_count);
        }
        const std::string unreachable = Network::gateway_address(0), reachable = Network::gateway_address(1);
        net.is_cut = [&](const std::string&, const std::string& to) { return to == unreachable; };
        const TimePoint since = net.now;
        net.run_for(15s);
        cr_assert_leq((net[reachable].members().at(unreachable).last_acknowledged - since) / 1ms, 1000,
                      "acknowledged although nothing reached the member");
        cr_assert_gt((net[reachable].members().at(unreachable).last_heard - since) / 1ms, 12'000);
        cr_assert_gt((net[unreachable].members().at(reachable).last_acknowledged - since) / 1ms, -4000);
        cr_assert_leq((net[unreachable].members().at(reachable).last_heard - since) / 1ms, 1000);
    }
}

// In a large cluster, suspicions are disseminated by gossip, but not those of an isolated process.
Test(membership, an_isolated_process_does_not_spread_its_suspicions) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Network net(seed);
        net.start_all(3, 150, 500ms);
        net.run_for(6s);
        cr_assert(net.all_agree());
        StateObserver observer(net);
        const std::string subject = Network::gateway_address(5);
        net.is_cut = [&](const std::string& from, const std::string& to) {
            return from == subject || to == subject;
        };
        net.run_for(seed % 2 == 0 ? 3s : 8s);
        cr_expect_eq(net.count_seen_as(subject, State::Suspect), 152);
        cr_expect_lt(net[subject].heard_fraction(net.now, 2s), 0.2);
        net.is_cut = nullptr;
        cr_assert(net.run_until(1500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        for (const auto& [observer_address, suspect] : observer.suspected)
            cr_expect(observer_address == subject || suspect == subject);
    }
}

// If the link between two members fails in one direction or both, they learn from the others that both run.
Test(membership, failed_link_between_two_members_raises_no_suspicion) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        StateObserver observer(net);
        const std::string first = Network::gateway_address(1), second = Network::gateway_address(2);
        net.is_cut = [&, both = seed % 2 == 0](const std::string& from, const std::string& to) {
            return (from == first && to == second) || (both && from == second && to == first);
        };
        net.run_for(40s);
        cr_expect(observer.suspected.empty() && observer.dead.empty(), "seed %lu", seed);
        cr_expect_eq(net[first].heard_fraction(net.now, 2s), 1.0);
    }
}

// What a process receives right after a pause is old: it must neither suspect others for it nor cause
// suspicions.
Test(membership, paused_process_does_not_suspect_the_others_when_it_resumes) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject = Network::gateway_address(3);
        // Partitioned first, so that it suspects all others when it freezes.
        const bool cut_before_freeze = seed % 2 == 0;
        if (cut_before_freeze) {
            net.is_cut = [&](const std::string& from, const std::string& to) {
                return from == subject || to == subject;
            };
            net.run_for(4s);
            net.is_cut = nullptr;
        }
        net.freeze_process(subject, seed % 3 == 0 ? 30s : 5s);
        net.run_for(4900ms);
        cr_expect_eq(net.count_seen_as(subject, State::Alive), 0);
        if (seed % 3 == 0) net.run_for(25s);
        StateObserver observer(net);
        cr_assert(net.run_until(2500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(5s);
        for (const auto& [observer_address, suspect] : observer.suspected)
            cr_expect(suspect == subject || (cut_before_freeze && observer_address == subject),
                      "seed %lu: %s suspected %s", seed, observer_address.c_str(), suspect.c_str());
        cr_expect(net.all_agree());
    }
}

// Guards against members that stay suspect since the pings of all others fill their links: the load that a
// suspect member gets must not grow with the cluster.
Test(membership, a_suspect_member_gets_a_bounded_number_of_pings) {
    constexpr std::size_t kMaxBytesPerSecond = 24 * 1024;    // for all control traffic of a gateway
    constexpr std::size_t kSeconds = 4;
    for (const int gateway_count : {30, 100, 297}) {
        Network net(11);
        net.start_all(3, gateway_count, 300ms);
        net.run_for(6s);
        cr_assert(net.all_agree());
        const std::string subject = Network::gateway_address(5);
        std::string recipient;
        std::size_t received = 0;
        net.is_cut = [&](const std::string& from, const std::string& to) {
            recipient = to;
            return from == subject;
        };
        net.alter_bytes = [&](const std::string&, std::string bytes) {
            if (recipient == subject) received += bytes.size();
            return bytes;
        };
        net.run_for(6s);
        cr_assert_eq(net.count_seen_as(subject, State::Suspect), gateway_count + 2);
        received = 0;
        net.run_for(Duration(std::chrono::seconds(kSeconds)));
        cr_assert(received < kSeconds * kMaxBytesPerSecond, "%zu bytes a second with %d gateways",
                  received / kSeconds, gateway_count);
        net.is_cut = nullptr;
        cr_assert(net.run_until(4s, [&] { return net.all_agree(); }), "with %d gateways", gateway_count);
    }
}
