// All gateways together stay within a tenant's quota however long they are partitioned, and the share of one
// that never returns comes back to the others.
#include <criterion/criterion.h>

#include "gateway/quota_lease_world.h"

namespace {

using namespace shaletray;
using namespace shaletray::gateway;
using namespace shaletray::gateway::world;

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

void wait_until_stable(World& world) {
    world.run(8s);
    cr_assert_gt(world.granted_per_s("large", 3s), 0.95 * 200.0, "not all is granted in calm: %f",
                 world.granted_per_s("large", 3s));
}

}    // namespace

// Partitioned alone, in groups of different sizes, in one direction, with and without the controllers; for
// longer than the failure detector takes anybody for alive, and longer than it keeps dead members.
Test(quota, holds_for_any_length_of_a_cut) {
    for (const Duration length : {25s, 65s, 135s}) {
        for (const int alone : {1, 2, 3, 4}) {
            for (int direction = 0; direction < 4; ++direction) {
                if (kSanitizerReduction > 1 && (length > 25s || alone % 3 != 1 || direction % 3 != 0))
                    continue;
                World world(3, 6, static_cast<std::uint64_t>(alone * 10 + direction));
                wait_until_stable(world);
                Side side = gateways_between(0, alone);
                if (direction == 3)
                    side.insert({world.controllers()[0],
                                 world.controllers()[1]});    // they take the quorum with them
                world.is_partitioned = partition_of(side, direction != 1, direction != 2);
                world.run(length);
                world.is_partitioned = [](const auto&, const auto&) { return false; };
                world.run(12s);
                cr_assert_leq(world.excess(), 0.0, "%d partitioned, direction %d, for %ld s: %f over", alone,
                              direction, static_cast<long>(length / 1s), world.excess());
                cr_assert_gt(world.granted_per_s("large", 5s), 0.95 * 200.0,
                             "%d partitioned, direction %d: full rate again", alone, direction);
            }
        }
    }
}

// A cluster so large that contact is estimated from samples.
Test(quota, holds_where_not_each_is_met) {
    for (const int alone : {1, 9, 14}) {
        for (int direction = 0; direction < 3; ++direction) {
            if (kSanitizerReduction > 1 && (alone != 9 || direction != 0)) continue;
            World world(3, 26, static_cast<std::uint64_t>(alone * 10 + direction));
            wait_until_stable(world);
            cr_assert_not(world.network[Network::gateway_address(0)].contacts_every_member());
            world.is_partitioned = partition_of(gateways_between(0, alone), direction != 1, direction != 2);
            world.run(40s);
            world.is_partitioned = [](const auto&, const auto&) { return false; };
            world.run(14s);
            cr_assert_leq(world.excess(), 0.0, "%d partitioned, direction %d: %f over", alone, direction,
                          world.excess());
            cr_assert_gt(world.granted_per_s("large", 4s), 0.95 * 200.0,
                         "%d partitioned, direction %d: full rate again", alone, direction);
        }
    }
}

// The partitioned gateways hear each other and so keep their shares, and on the side of the controllers'
// quorum newcomers arrive before or after the last gateway that knew them has departed.
Test(quota, newcomers_leave_room_for_those_that_they_never_met) {
    for (const Duration after : {5s, 15s, 28s, 60s}) {
        for (const bool before_they_leave : {true, false}) {
            if (kSanitizerReduction > 1 && (after != 28s || before_they_leave)) continue;
            World world(3, 5, static_cast<std::uint64_t>(after / 1s));
            wait_until_stable(world);
            world.is_partitioned = partition_of(gateways_between(0, 3), true, true);
            world.run(after);
            if (before_they_leave) {
                world.start_new();
                world.start_new();
                world.run(3s);
            }
            world.shut_down(Network::gateway_address(3));
            world.shut_down(Network::gateway_address(4));
            world.run(4s);
            world.start_new();
            world.start_new();
            world.run(40s);
            world.is_partitioned = [](const auto&, const auto&) { return false; };
            world.run(40s);    // what the departed knew is counted without addresses for kDropTimeout
            cr_assert_leq(world.excess(), 0.0, "after %ld s, %d: %f over", static_cast<long>(after / 1s),
                          before_they_leave, world.excess());
            cr_assert_gt(world.granted_per_s("large", 5s), 0.95 * 200.0, "full rate again");
        }
    }
}

// All gateways with a lease are partitioned from the controllers and hear each other; newcomers that join the
// controllers are told of them, and wait.
Test(quota, newcomers_wait_where_all_others_are_cut_off) {
    World world(3, 4, 1);
    wait_until_stable(world);
    world.is_partitioned = partition_of(gateways_between(0, 4), true, true);
    world.run(30s);
    for (int i = 0; i < 4; ++i) world.start_new();
    world.run(60s);
    cr_assert_leq(world.excess(), 0.0, "%f over", world.excess());
    cr_assert_gt(world.granted_per_s("large", 5s), 0.95 * 200.0, "by those that are cut off");
    world.is_partitioned = [](const auto&, const auto&) { return false; };
    world.run(40s);
    cr_assert_leq(world.excess(), 0.0, "%f over", world.excess());
    cr_assert_gt(world.granted_per_s("large", 5s), 0.95 * 200.0, "by all");
}

// Events during a partition: newcomers, departures, crashes, restarts, freezes, and other partitions.
Test(quota, holds_through_random_troubles) {
    const char* const more = std::getenv("QUOTA_SEEDS");
    const std::uint64_t seeds = more ? std::strtoull(more, nullptr, 10) : 24 / kSanitizerReduction;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world(3, 3 + static_cast<int>(seed % 6), seed);
        world.run(8s);
        std::set<std::pair<std::string, std::string>> blocked;
        world.is_partitioned = [&](const std::string& from, const std::string& to) {
            return blocked.contains({from, to});
        };
        for (int episode = 0; episode < 5; ++episode) {
            std::vector<std::string> all = world.controllers();
            for (const auto& [address, p] : world.gateways) all.push_back(address);
            Side side;
            const double part = 0.15 + 0.6 * std::uniform_real_distribution<>()(world.random);
            for (const std::string& sender : all)
                if (std::uniform_real_distribution<>()(world.random) < part) side.insert(sender);
            const std::uint64_t fault = world.random() % 5;
            for (const std::string& sender : all)
                for (const std::string& receiver : all) {
                    const bool block_outgoing = side.contains(sender) && !side.contains(receiver);
                    const bool block_incoming = !side.contains(sender) && side.contains(receiver);
                    if ((block_outgoing && fault != 1) || (block_incoming && fault != 2)) {
                        if (fault == 3 && !sender.ends_with(":7100") && !receiver.ends_with(":7100"))
                            continue;
                        if (fault == 4 && world.random() % 2 == 0) continue;    // single links
                        blocked.insert({sender, receiver});
                    }
                }
            const Duration lengths[] = {6s, 25s, 65s, 135s};
            const TimePoint end = world.network.now + lengths[world.random() % 4];
            while (world.network.now < end) {
                world.run(std::chrono::milliseconds(world.random() % 9000));
                world.saturating = world.random() % 3 != 0;
                switch (world.random() % 6) {
                    case 0:
                        if (world.gateways.size() < 12) world.start_new();
                        break;
                    case 1:
                        if (world.gateways.size() > 2) world.shut_down(world.random_gateway());
                        break;
                    case 2:
                        if (world.gateways.size() > 2) world.kill(world.random_gateway());
                        break;
                    case 3: {
                        const std::string frozen = world.random_gateway();
                        world.network.freeze_process(
                            frozen, std::chrono::milliseconds(5000 + world.random() % 55'000));
                        break;
                    }
                    case 4: world.start(world.random_gateway()); break;
                    default: break;
                }
            }
            blocked.clear();
            world.saturating = true;
            world.run(6s);
        }
        cr_assert_leq(world.excess(), 0.0, "seed %lu: %f over", static_cast<unsigned long>(seed),
                      world.excess());
    }
}

Test(quota, the_part_of_one_that_never_returns_comes_back) {
    for (const int dead : {1, 2, 3}) {
        World world(3, 6, static_cast<std::uint64_t>(dead));
        wait_until_stable(world);
        for (int i = 0; i < dead; ++i) world.kill(Network::gateway_address(i));
        world.run(15s);
        cr_assert_lt(world.granted_per_s("large", 3s), (6.0 - dead) / 6.0 * 200.0 * 1.05,
                     "not before they ended");
        world.run(20s);
        cr_assert_gt(world.granted_per_s("large", 3s), 0.95 * 200.0, "%d are dead", dead);
        cr_assert_leq(world.excess(), 0.0);
    }
}

// Without the controllers' quorum nobody is dropped, and nobody that hears most of the others stops.
Test(quota, goes_on_without_a_quorum_of_lighthouses) {
    World world(3, 6, 1);
    wait_until_stable(world);
    world.network.stop_process(world.controllers()[0]);
    world.network.stop_process(world.controllers()[1]);
    world.run(60s);
    cr_assert_gt(world.granted_per_s("large", 5s), 0.95 * 200.0);
    world.kill(Network::gateway_address(0));
    world.run(60s);
    cr_assert_gt(world.granted_per_s("large", 5s), 5.0 / 6.0 * 0.95 * 200.0);
    cr_assert_lt(world.granted_per_s("large", 5s), 5.0 / 6.0 * 1.05 * 200.0);
}

// All at once, as after a loss of power: each starts as soon as it and a controller know each other.
Test(quota, begins_soon_after_all_were_lost) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        World world(3, 14, seed);
        world.run(1500ms);
        cr_assert_gt(world.granted_per_s("large", 500ms), 0.9 * 200.0, "seed %lu: %f", seed,
                     world.granted_per_s("large", 500ms));
        world.run(1s);
        cr_assert_gt(world.granted_per_s("large", 500ms), 0.95 * 200.0, "seed %lu: %f", seed,
                     world.granted_per_s("large", 500ms));
        cr_assert_leq(world.excess(), 0.0);
    }
}

// A departure takes nothing from the others, a restart or a replaced machine nothing for long.
Test(quota, planned_work_costs_little) {
    World world(3, 6, 1);
    wait_until_stable(world);
    for (int i = 0; i < 6; ++i) {
        world.shut_down(Network::gateway_address(i));
        world.run(200ms);
        world.start(Network::gateway_address(i));
        world.run(1s);
    }
    world.run(2s);
    cr_assert_gt(world.granted_per_s("large", 5s), 0.85 * 200.0, "%f", world.granted_per_s("large", 5s));
    world.run(3s);
    cr_assert_gt(world.granted_per_s("large", 2s), 0.95 * 200.0, "%f", world.granted_per_s("large", 2s));
    cr_assert_leq(world.excess(), 0.0);
}
