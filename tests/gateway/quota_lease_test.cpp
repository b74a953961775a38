// Tests that all gateways together stay within a tenant's quota during partitions of any length, and that the
// share of a gateway that never returns is redistributed to the others.
#include <criterion/criterion.h>

#include "gateway/quota_lease_simulation.h"

namespace {

using namespace shaletray;
using namespace shaletray::gateway;
using namespace shaletray::gateway::test;

using Side = std::set<std::string>;

Side gateways_between(int first, int end) {
    Side side;
    for (int i = first; i < end; ++i) side.insert(Network::gateway_address(i));
    return side;
}

std::function<bool(const std::string&, const std::string&)> partition_of(Side side, bool block_outgoing,
                                                                         bool block_incoming) {
    return [=](const std::string& from, const std::string& to) {
        const bool from_inside = side.contains(from), to_inside = side.contains(to);
        return (block_outgoing && from_inside && !to_inside) || (block_incoming && !from_inside && to_inside);
    };
}

void wait_until_stable(Simulation& simulation) {
    simulation.run(8s);
    cr_assert_gt(simulation.granted_per_s("large", 3s), 0.95 * 200.0,
                 "full rate is not reached without faults: %f", simulation.granted_per_s("large", 3s));
}

}    // namespace

// Gateways are partitioned partitioned_count, in groups of different sizes, in one direction only, and with
// or without a majority of the controllers. The longer partitions outlast the failure detector's timeout and
// the time for which it keeps dead members.
Test(quota, holds_during_partitions_of_any_length) {
    for (const Duration length : {25s, 65s, 135s}) {
        for (const int partitioned_count : {1, 2, 3, 4}) {
            for (int direction = 0; direction < 4; ++direction) {
                if (kSanitizerSlowdown > 1 &&
                    (length > 25s || partitioned_count % 3 != 1 || direction % 3 != 0))
                    continue;
                Simulation simulation(3, 6, static_cast<std::uint64_t>(partitioned_count * 10 + direction));
                wait_until_stable(simulation);
                Side side = gateways_between(0, partitioned_count);
                if (direction == 3)
                    side.insert({simulation.controllers()[0],
                                 simulation.controllers()[1]});    // the quorum is on their side
                simulation.is_partitioned = partition_of(side, direction != 1, direction != 2);
                simulation.run(length);
                simulation.is_partitioned = [](const auto&, const auto&) { return false; };
                simulation.run(12s);
                cr_assert_leq(simulation.excess(), 0.0, "%d partitioned, direction %d, for %ld s: %f over",
                              partitioned_count, direction, static_cast<long>(length / 1s),
                              simulation.excess());
                cr_assert_gt(simulation.granted_per_s("large", 5s), 0.95 * 200.0,
                             "%d partitioned, direction %d: full rate again", partitioned_count, direction);
            }
        }
    }
}

// The cluster is so large that contact is estimated from samples.
Test(quota, holds_where_contact_is_sampled) {
    for (const int partitioned_count : {1, 9, 14}) {
        for (int direction = 0; direction < 3; ++direction) {
            if (kSanitizerSlowdown > 1 && (partitioned_count != 9 || direction != 0)) continue;
            Simulation simulation(3, 26, static_cast<std::uint64_t>(partitioned_count * 10 + direction));
            wait_until_stable(simulation);
            cr_assert_not(simulation.network[Network::gateway_address(0)].contacts_every_member());
            simulation.is_partitioned =
                partition_of(gateways_between(0, partitioned_count), direction != 1, direction != 2);
            simulation.run(40s);
            simulation.is_partitioned = [](const auto&, const auto&) { return false; };
            simulation.run(14s);
            cr_assert_leq(simulation.excess(), 0.0, "%d partitioned, direction %d: %f over",
                          partitioned_count, direction, simulation.excess());
            cr_assert_gt(simulation.granted_per_s("large", 4s), 0.95 * 200.0,
                         "%d partitioned, direction %d: full rate again", partitioned_count, direction);
        }
    }
}

// The partitioned gateways are a majority in contact with each other, so they keep their shares. On the side
// of the controllers' quorum, newcomers start before or after the last gateway that knew the partitioned ones
// has departed.
Test(quota, newcomers_reserve_the_shares_of_gateways_they_never_contacted) {
    for (const Duration after : {5s, 15s, 28s, 60s}) {
        for (const bool before_they_leave : {true, false}) {
            if (kSanitizerSlowdown > 1 && (after != 28s || before_they_leave)) continue;
            Simulation simulation(3, 5, static_cast<std::uint64_t>(after / 1s));
            wait_until_stable(simulation);
            simulation.is_partitioned = partition_of(gateways_between(0, 3), true, true);
            simulation.run(after);
            if (before_they_leave) {
                simulation.start_new();
                simulation.start_new();
                simulation.run(3s);
            }
            simulation.shut_down(Network::gateway_address(3));
            simulation.shut_down(Network::gateway_address(4));
            simulation.run(4s);
            simulation.start_new();
            simulation.start_new();
            simulation.run(40s);
            simulation.is_partitioned = [](const auto&, const auto&) { return false; };
            simulation.run(40s);    // peers of departed gateways count without an address for kDropTimeout
            cr_assert_leq(simulation.excess(), 0.0, "after %ld s, %d: %f over", static_cast<long>(after / 1s),
                          before_they_leave, simulation.excess());
            cr_assert_gt(simulation.granted_per_s("large", 5s), 0.95 * 200.0, "full rate again");
        }
    }
}

// All gateways with a lease are partitioned from the controllers, and in contact with each other. Newcomers
// learn their addresses from the controllers, and must wait.
Test(quota, newcomers_wait_while_all_others_are_partitioned) {
    Simulation simulation(3, 4, 1);
    wait_until_stable(simulation);
    simulation.is_partitioned = partition_of(gateways_between(0, 4), true, true);
    simulation.run(30s);
    for (int i = 0; i < 4; ++i) simulation.start_new();
    simulation.run(60s);
    cr_assert_leq(simulation.excess(), 0.0, "%f over", simulation.excess());
    cr_assert_gt(simulation.granted_per_s("large", 5s), 0.95 * 200.0, "granted by the partitioned gateways");
    simulation.is_partitioned = [](const auto&, const auto&) { return false; };
    simulation.run(40s);
    cr_assert_leq(simulation.excess(), 0.0, "%f over", simulation.excess());
    cr_assert_gt(simulation.granted_per_s("large", 5s), 0.95 * 200.0, "granted by all gateways");
}

// Newcomers, departures, crashes, restarts, frozen processes and further partitions occur during a partition.
Test(quota, holds_under_random_faults) {
    const char* const seeds_text = std::getenv("QUOTA_SEEDS");
    const std::uint64_t seeds = seeds_text ? std::strtoull(seeds_text, nullptr, 10) : 24 / kSanitizerSlowdown;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(3, 3 + static_cast<int>(seed % 6), seed);
        simulation.run(8s);
        std::set<std::pair<std::string, std::string>> blocked;
        simulation.is_partitioned = [&](const std::string& from, const std::string& to) {
            return blocked.contains({from, to});
        };
        for (int episode = 0; episode < 5; ++episode) {
            std::vector<std::string> all = simulation.controllers();
            for (const auto& [address, process] : simulation.gateways) all.push_back(address);
            Side side;
            const double probability = 0.15 + 0.6 * std::uniform_real_distribution<>()(simulation.random);
            for (const std::string& sender : all)
                if (std::uniform_real_distribution<>()(simulation.random) < probability) side.insert(sender);
            const std::uint64_t fault = simulation.random() % 5;
            for (const std::string& sender : all)
                for (const std::string& receiver : all) {
                    const bool block_outgoing = side.contains(sender) && !side.contains(receiver);
                    const bool block_incoming = !side.contains(sender) && side.contains(receiver);
                    if ((block_outgoing && fault != 1) || (block_incoming && fault != 2)) {
                        if (fault == 3 && !sender.ends_with(":7100") && !receiver.ends_with(":7100"))
                            continue;
                        if (fault == 4 && simulation.random() % 2 == 0) continue;    // only some of the links
                        blocked.insert({sender, receiver});
                    }
                }
            const Duration lengths[] = {6s, 25s, 65s, 135s};
            const TimePoint end = simulation.network.now + lengths[simulation.random() % 4];
            while (simulation.network.now < end) {
                simulation.run(std::chrono::milliseconds(simulation.random() % 9000));
                simulation.saturating = simulation.random() % 3 != 0;
                switch (simulation.random() % 6) {
                    case 0:
                        if (simulation.gateways.size() < 12) simulation.start_new();
                        break;
                    case 1:
                        if (simulation.gateways.size() > 2) simulation.shut_down(simulation.random_gateway());
                        break;
                    case 2:
                        if (simulation.gateways.size() > 2) simulation.kill(simulation.random_gateway());
                        break;
                    case 3: {
                        const std::string frozen = simulation.random_gateway();
                        simulation.network.freeze_process(
                            frozen, std::chrono::milliseconds(5000 + simulation.random() % 55'000));
                        break;
                    }
                    case 4: simulation.start(simulation.random_gateway()); break;
                    default: break;
                }
            }
            blocked.clear();
            simulation.saturating = true;
            simulation.run(6s);
        }
        cr_assert_leq(simulation.excess(), 0.0, "seed %lu: %f over", static_cast<unsigned long>(seed),
                      simulation.excess());
    }
}

Test(quota, share_of_a_dead_gateway_is_redistributed) {
    for (const int dead_count : {1, 2, 3}) {
        Simulation simulation(3, 6, static_cast<std::uint64_t>(dead_count));
        wait_until_stable(simulation);
        for (int i = 0; i < dead_count; ++i) simulation.kill(Network::gateway_address(i));
        simulation.run(15s);
        cr_assert_lt(simulation.granted_per_s("large", 3s), (6.0 - dead_count) / 6.0 * 200.0 * 1.05,
                     "not before their leases have ended");
        simulation.run(20s);
        cr_assert_gt(simulation.granted_per_s("large", 3s), 0.95 * 200.0, "%d are dead", dead_count);
        cr_assert_leq(simulation.excess(), 0.0);
    }
}

// Without a quorum of controllers no gateway is dropped, and a gateway in contact with most others keeps its
// lease.
Test(quota, leases_are_renewed_without_a_controller_quorum) {
    Simulation simulation(3, 6, 1);
    wait_until_stable(simulation);
    simulation.network.stop_process(simulation.controllers()[0]);
    simulation.network.stop_process(simulation.controllers()[1]);
    simulation.run(60s);
    cr_assert_gt(simulation.granted_per_s("large", 5s), 0.95 * 200.0);
    simulation.kill(Network::gateway_address(0));
    simulation.run(60s);
    cr_assert_gt(simulation.granted_per_s("large", 5s), 5.0 / 6.0 * 0.95 * 200.0);
    cr_assert_lt(simulation.granted_per_s("large", 5s), 5.0 / 6.0 * 1.05 * 200.0);
}

// After a power loss all gateways start together. Each must get a lease as soon as it and a controller agree
// on the members.
Test(quota, starts_soon_after_all_gateways_restart) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        Simulation simulation(3, 14, seed);
        simulation.run(1500ms);
        cr_assert_gt(simulation.granted_per_s("large", 500ms), 0.9 * 200.0, "seed %lu: %f", seed,
                     simulation.granted_per_s("large", 500ms));
        simulation.run(1s);
        cr_assert_gt(simulation.granted_per_s("large", 500ms), 0.95 * 200.0, "seed %lu: %f", seed,
                     simulation.granted_per_s("large", 500ms));
        cr_assert_leq(simulation.excess(), 0.0);
    }
}

// A graceful departure doesn't reduce the shares of the others, and a restart reduces the total rate only
// briefly.
Test(quota, graceful_restarts_reduce_the_rate_only_briefly) {
    Simulation simulation(3, 6, 1);
    wait_until_stable(simulation);
    for (int i = 0; i < 6; ++i) {
        simulation.shut_down(Network::gateway_address(i));
        simulation.run(200ms);
        simulation.start(Network::gateway_address(i));
        simulation.run(1s);
    }
    simulation.run(2s);
    cr_assert_gt(simulation.granted_per_s("large", 5s), 0.85 * 200.0, "%f",
                 simulation.granted_per_s("large", 5s));
    simulation.run(3s);
    cr_assert_gt(simulation.granted_per_s("large", 2s), 0.95 * 200.0, "%f",
                 simulation.granted_per_s("large", 2s));
    cr_assert_leq(simulation.excess(), 0.0);
}
