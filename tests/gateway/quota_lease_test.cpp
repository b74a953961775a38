// All pilots together stay under a tenant's quota however long they are cut off from each other, and the part
// of one that is gone for good comes back to the others.
#include <criterion/criterion.h>

#include "gateway/quota_lease_world.h"

namespace {

using namespace shaletray;
using namespace shaletray::gateway;
using namespace shaletray::gateway::world;

using Side = std::set<std::string>;

Side pilots_of(int first, int end) {
    Side side;
    for (int i = first; i < end; ++i) side.insert(Network::pilot(i));
    return side;
}

std::function<bool(const std::string&, const std::string&)> between(Side side, bool out, bool in) {
    return [=](const std::string& from, const std::string& to) {
        const bool a = side.contains(from), b = side.contains(to);
        return (out && a && !b) || (in && !a && b);
    };
}

void settle(World& w) {
    w.run(8s);
    cr_assert_gt(w.granted_per_s("large", 3s), 0.95 * 200.0, "not all is granted in calm: %f",
                 w.granted_per_s("large", 3s));
}

}    // namespace

// Alone, in groups of unlike sizes, one way, with and without the lighthouses; longer than the failure
// detector holds anybody for alive, and longer than it keeps who is gone.
Test(quota, holds_for_any_length_of_a_cut) {
    for (const Duration length : {25s, 65s, 135s}) {
        for (const int alone : {1, 2, 3, 4}) {
            for (int how = 0; how < 4; ++how) {
                if (kLess > 1 && (length > 25s || alone % 3 != 1 || how % 3 != 0)) continue;
                World w(3, 6, static_cast<std::uint64_t>(alone * 10 + how));
                settle(w);
                Side side = pilots_of(0, alone);
                if (how == 3)
                    side.insert({w.lighthouses()[0], w.lighthouses()[1]});    // they take the quorum
                w.cut = between(side, how != 1, how != 2);
                w.run(length);
                w.cut = [](const auto&, const auto&) { return false; };
                w.run(12s);
                cr_assert_leq(w.excess(), 0.0, "%d cut off, how %d, for %ld s: %f over", alone, how,
                              static_cast<long>(length / 1s), w.excess());
                cr_assert_gt(w.granted_per_s("large", 5s), 0.95 * 200.0, "%d cut off, how %d: whole again",
                             alone, how);
            }
        }
    }
}

// So many that touch is estimated.
Test(quota, holds_where_not_each_is_met) {
    for (const int alone : {1, 9, 14}) {
        for (int how = 0; how < 3; ++how) {
            if (kLess > 1 && (alone != 9 || how != 0)) continue;
            World w(3, 26, static_cast<std::uint64_t>(alone * 10 + how));
            settle(w);
            cr_assert_not(w.net[Network::pilot(0)].meets_each());
            w.cut = between(pilots_of(0, alone), how != 1, how != 2);
            w.run(40s);
            w.cut = [](const auto&, const auto&) { return false; };
            w.run(14s);
            cr_assert_leq(w.excess(), 0.0, "%d cut off, how %d: %f over", alone, how, w.excess());
            cr_assert_gt(w.granted_per_s("large", 4s), 0.95 * 200.0, "%d cut off, how %d: whole again", alone,
                         how);
        }
    }
}

// Those that are cut off hear each other and so hold their parts, and on the side of the lighthouses' quorum
// newcomers come before or after the last one has left that knew them.
Test(quota, newcomers_leave_room_for_those_that_they_never_met) {
    for (const Duration after : {5s, 15s, 28s, 60s}) {
        for (const bool before_they_leave : {true, false}) {
            if (kLess > 1 && (after != 28s || before_they_leave)) continue;
            World w(3, 5, static_cast<std::uint64_t>(after / 1s));
            settle(w);
            w.cut = between(pilots_of(0, 3), true, true);
            w.run(after);
            if (before_they_leave) {
                w.start_new();
                w.start_new();
                w.run(3s);
            }
            w.leave(Network::pilot(3));
            w.leave(Network::pilot(4));
            w.run(4s);
            w.start_new();
            w.start_new();
            w.run(40s);
            w.cut = [](const auto&, const auto&) { return false; };
            w.run(40s);    // what the leavers knew is counted without names for kDropAfter
            cr_assert_leq(w.excess(), 0.0, "after %ld s, %d: %f over", static_cast<long>(after / 1s),
                          before_they_leave, w.excess());
            cr_assert_gt(w.granted_per_s("large", 5s), 0.95 * 200.0, "whole again");
        }
    }
}

// All who hold a part are cut off from the lighthouses and hear each other; newcomers that join there are
// told of them, and wait.
Test(quota, newcomers_wait_where_all_others_are_cut_off) {
    World w(3, 4, 1);
    settle(w);
    w.cut = between(pilots_of(0, 4), true, true);
    w.run(30s);
    for (int i = 0; i < 4; ++i) w.start_new();
    w.run(60s);
    cr_assert_leq(w.excess(), 0.0, "%f over", w.excess());
    cr_assert_gt(w.granted_per_s("large", 5s), 0.95 * 200.0, "by those that are cut off");
    w.cut = [](const auto&, const auto&) { return false; };
    w.run(40s);
    cr_assert_leq(w.excess(), 0.0, "%f over", w.excess());
    cr_assert_gt(w.granted_per_s("large", 5s), 0.95 * 200.0, "by all");
}

// What happens while some are cut off: newcomers, goodbyes, ends, new lives, freezes, cuts of other shapes.
Test(quota, holds_through_random_troubles) {
    const char* const more = std::getenv("QUOTA_SEEDS");
    const std::uint64_t seeds = more ? std::strtoull(more, nullptr, 10) : 24 / kLess;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World w(3, 3 + static_cast<int>(seed % 6), seed);
        w.run(8s);
        std::set<std::pair<std::string, std::string>> lost;
        w.cut = [&](const std::string& from, const std::string& to) { return lost.contains({from, to}); };
        for (int episode = 0; episode < 5; ++episode) {
            std::vector<std::string> all = w.lighthouses();
            for (const auto& [address, p] : w.pilots) all.push_back(address);
            Side side;
            const double part = 0.15 + 0.6 * std::uniform_real_distribution<>()(w.random);
            for (const std::string& a : all)
                if (std::uniform_real_distribution<>()(w.random) < part) side.insert(a);
            const std::uint64_t how = w.random() % 5;
            for (const std::string& a : all)
                for (const std::string& b : all) {
                    const bool out = side.contains(a) && !side.contains(b);
                    const bool in = !side.contains(a) && side.contains(b);
                    if ((out && how != 1) || (in && how != 2)) {
                        if (how == 3 && !a.ends_with(":7100") && !b.ends_with(":7100")) continue;
                        if (how == 4 && w.random() % 2 == 0) continue;    // single links
                        lost.insert({a, b});
                    }
                }
            const Duration lengths[] = {6s, 25s, 65s, 135s};
            const TimePoint end = w.net.now + lengths[w.random() % 4];
            while (w.net.now < end) {
                w.run(std::chrono::milliseconds(w.random() % 9000));
                w.greedy = w.random() % 3 != 0;
                switch (w.random() % 6) {
                    case 0:
                        if (w.pilots.size() < 12) w.start_new();
                        break;
                    case 1:
                        if (w.pilots.size() > 2) w.leave(w.any());
                        break;
                    case 2:
                        if (w.pilots.size() > 2) w.kill(w.any());
                        break;
                    case 3: {
                        const std::string frozen = w.any();
                        w.net.freeze(frozen, std::chrono::milliseconds(5000 + w.random() % 55'000));
                        break;
                    }
                    case 4: w.start(w.any()); break;
                    default: break;
                }
            }
            lost.clear();
            w.greedy = true;
            w.run(6s);
        }
        cr_assert_leq(w.excess(), 0.0, "seed %lu: %f over", static_cast<unsigned long>(seed), w.excess());
    }
}

Test(quota, the_part_of_one_that_never_returns_comes_back) {
    for (const int dead : {1, 2, 3}) {
        World w(3, 6, static_cast<std::uint64_t>(dead));
        settle(w);
        for (int i = 0; i < dead; ++i) w.kill(Network::pilot(i));
        w.run(15s);
        cr_assert_lt(w.granted_per_s("large", 3s), (6.0 - dead) / 6.0 * 200.0 * 1.05,
                     "not before they ended");
        w.run(20s);
        cr_assert_gt(w.granted_per_s("large", 3s), 0.95 * 200.0, "%d are gone", dead);
        cr_assert_leq(w.excess(), 0.0);
    }
}

// Without the lighthouses' quorum nobody is taken out, and nobody who hears most of the others stops.
Test(quota, goes_on_without_a_quorum_of_lighthouses) {
    World w(3, 6, 1);
    settle(w);
    w.net.stop(w.lighthouses()[0]);
    w.net.stop(w.lighthouses()[1]);
    w.run(60s);
    cr_assert_gt(w.granted_per_s("large", 5s), 0.95 * 200.0);
    w.kill(Network::pilot(0));
    w.run(60s);
    cr_assert_gt(w.granted_per_s("large", 5s), 5.0 / 6.0 * 0.95 * 200.0);
    cr_assert_lt(w.granted_per_s("large", 5s), 5.0 / 6.0 * 1.05 * 200.0);
}

// All at once, as after a loss of power: each begins as soon as it and a lighthouse know each other.
Test(quota, begins_soon_after_all_were_lost) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        World w(3, 14, seed);
        w.run(1500ms);
        cr_assert_gt(w.granted_per_s("large", 500ms), 0.9 * 200.0, "seed %lu: %f", seed,
                     w.granted_per_s("large", 500ms));
        w.run(1s);
        cr_assert_gt(w.granted_per_s("large", 500ms), 0.95 * 200.0, "seed %lu: %f", seed,
                     w.granted_per_s("large", 500ms));
        cr_assert_leq(w.excess(), 0.0);
    }
}

// A goodbye takes nothing from the others, a new life or machine nothing for long.
Test(quota, planned_work_costs_little) {
    World w(3, 6, 1);
    settle(w);
    for (int i = 0; i < 6; ++i) {
        w.leave(Network::pilot(i));
        w.run(200ms);
        w.start(Network::pilot(i));
        w.run(1s);
    }
    w.run(2s);
    cr_assert_gt(w.granted_per_s("large", 5s), 0.85 * 200.0, "%f", w.granted_per_s("large", 5s));
    w.run(3s);
    cr_assert_gt(w.granted_per_s("large", 2s), 0.95 * 200.0, "%f", w.granted_per_s("large", 2s));
    cr_assert_leq(w.excess(), 0.0);
}
