// Dissemination of changes and departures, and the load of idle members.
#include <criterion/criterion.h>

#include <cstdio>

#include "cluster/membership/cluster_helpers.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

Test(membership, quota_divisors_reach_all_members_within_a_second) {
    Network net(5);
    start_stable_cluster(net);
    net.loss = 0.03;
    for (std::uint32_t divisor = 1; divisor <= 30; ++divisor) {
        for (int i = 0; i < 11; ++i) {
            net[Network::gateway_address(i)].set_quota_divisor(divisor);
            net.reschedule_tick(Network::gateway_address(i));
        }
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }), "divisor %u", divisor);
    }
}

Test(membership, departure_spreads_quickly_and_is_final) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        net.loss = 0.03;
        const std::string subject = Network::gateway_address(6);
        const std::uint64_t incarnation = net[subject].self().incarnation;
        net.depart(subject);
        cr_assert(net.run_until(500ms, [&] { return net.count_seen_as(subject, State::Dead) == 13; }),
                  "seed %lu", seed);
        for (auto& [address, process] : net.processes) {
            if (process.member == nullptr) continue;
            cr_expect(process.member->members().at(subject).departed);
            process.member->record_contact(subject, incarnation, net.now);    // a message that arrives late
        }
        net.run_for(10s);
        cr_expect_eq(net.count_seen_as(subject, State::Dead), 13);
        net.start_process(subject, seed_addresses(), incarnation + 1);
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }));
    }
}

// The load of an idle process does not grow with the number of members.
Test(membership, hundreds_of_members_converge_at_constant_load_per_process) {
    for (const int gateway_count : {10, 97, 297}) {
        Network net(2);
        net.loss = 0.01;
        net.start_all(3, gateway_count, 500ms);
        net.run_for(500ms);
        const auto agreed_after = net.run_until(10s, [&] { return net.all_agree() && all_joined(net); });
        cr_assert(agreed_after, "%d gateways", gateway_count);
        net.run_for(5s);
        const auto total_statistics = [&] {
            Statistics total;
            for (const auto& [address, process] : net.processes) {
                total.sent += process.member->statistics().sent;
                total.sent_bytes += process.member->statistics().sent_bytes;
            }
            return total;
        };
        const Statistics before = total_statistics();
        StateObserver observer(net);
        net.run_for(10s);
        const Statistics after = total_statistics();
        const double process_seconds = 10.0 * (gateway_count + 3);
        const double messages = static_cast<double>(after.sent - before.sent) / process_seconds;
        const double bytes = static_cast<double>(after.sent_bytes - before.sent_bytes) / process_seconds;
        std::printf("%4d processes: agree after %ld ms, %.1f messages and %.0f bytes a second each\n",
                    gateway_count + 3, static_cast<long>(agreed_after->count() / 1000), messages, bytes);
        cr_expect_lt(messages, 14.0);
        cr_expect_lt(bytes, 1500.0);
        cr_expect(observer.suspected.empty());
        cr_expect_gt(net[Network::gateway_address(2)].heard_fraction(net.now, 3s), 0.95);
        // A tenth of the gateways crashes, a tenth departs, and one changes its quota divisor.
        net.on_actions = nullptr;
        for (int i = 0; i < gateway_count / 10; ++i) {
            net.stop_process(Network::gateway_address(3 * i + 1));
            net.depart(Network::gateway_address(3 * i + 2));
        }
        net[Network::gateway_address(0)].set_quota_divisor(9);
        net.reschedule_tick(Network::gateway_address(0));
        net.run_for(1200ms);
        for (const auto& [address, process] : net.processes)
            if (process.member != nullptr && address != Network::gateway_address(0))
                cr_assert_eq(process.member->members().at(Network::gateway_address(0)).info.quota_divisor,
                             9u);
        cr_assert(net.run_until(30s, [&] { return net.all_agree(); }), "%d gateways", gateway_count);
        cr_expect_eq(net.count_seen_as(Network::gateway_address(2), State::Dead),
                     gateway_count + 3 - 2 * (gateway_count / 10));
    }
}
