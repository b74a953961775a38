// Second losses: at every moment of a replacement a further loss that the system may bear leaves a majority
// which holds all that was acknowledged.
#include "controller/controller_cluster.h"

namespace shaletray::controller::test {
namespace {

constexpr auto kWait = Core::kCatchUp;

void orders(Core& w, Duration more) {
    for (const TimePoint until = w.now + more; w.now < until;) {
        const std::size_t i = w.below(w.machines.size());
        if (w.up(i) && w.machines[i].leaves == TimePoint{}) w.ask(i, w.chance(0.3));
        w.run(std::min<Duration>(Duration(w.below(400'000)), until - w.now));
    }
}

// Right after an acknowledgement as many machines as may be lost lose their disks, all others lose power.
void closing(Core& w, const char* when) {
    w.must_serve(when);
    std::size_t wiped = 0;
    const std::size_t first = w.below(w.machines.size());
    for (std::size_t k = 0; k < w.machines.size(); ++k) {
        const std::size_t i = (first + k) % w.machines.size();
        if (w.machines[i].lamp) w.lose(i, 1s, true, wiped++ < w.losses);
    }
    w.run(1s + Core::kContact);
    w.must_serve("after the closing fault");
}

enum class Kind { Wiped, Replaced, Planned, Terminated, Power, Killed, Cut, Frozen };

// One loss after the other, each as soon as it may come; several may begin together where the system bears
// that.
void loss(Core& w, Kind kind, std::size_t i) {
    switch (kind) {
        case Kind::Wiped: w.lose(i, 1s, true, true); break;
        case Kind::Power: w.lose(i, Duration(w.below(6'000'000)), true, false); break;
        case Kind::Killed: w.lose(i, 300ms, false, false); break;
        case Kind::Replaced:
            w.machines[i].gone = true;
            w.stop(i, true);
            if (w.chance(0.5)) orders(w, Duration(w.below(8'000'000)));
            w.replace(i);
            break;
        case Kind::Planned:    // the newcomer is there before the old one leaves
        case Kind::Terminated: {
            const bool comes_first = kind == Kind::Planned;
            if (comes_first) {
                w.join();
                w.machines.back().counts = false;
                orders(w, Duration(w.below(5'000'000)));
            }
            w.leave(i);
            orders(w, 2s);
            cr_assert(!w.machines[i].lamp);
            if (comes_first) {
                w.machines[i].gone = true;
                w.machines[i].counts = false;
                w.machines.back().counts = true;
                w.lost(w.machines.size() - 1, 0s);
            } else w.lose(i, 0s, false, false);
            break;
        }
        case Kind::Cut: {
            const bool one_way = w.chance(0.3), outwards = w.chance(0.5);
            for (std::size_t o = 0; o < w.machines.size(); ++o) {
                if (!one_way || outwards) w.cut.insert({i, o});
                if (!one_way || !outwards) w.cut.insert({o, i});
            }
            orders(w, w.chance(0.2) ? 25s : Duration(w.below(6'000'000)));
            w.cut.clear();
            w.lost(i, 0s);
            break;
        }
        case Kind::Frozen: {
            const Duration stands = w.chance(0.2) ? 25s : Duration(w.below(6'000'000));
            w.machines[i].frozen = w.now + stands;
            w.lost(i, stands);
            break;
        }
    }
}

void worst_days(std::uint64_t seed, std::size_t founders, std::size_t size, std::size_t may_lose, int steps) {
    Core w(seed, founders, size, may_lose);
    w.run(kWait);
    w.must_serve("at the start");
    w.must_bear("at the start");
    for (int step = 0; step < steps; ++step) {
        const Kind kind = static_cast<Kind>(w.below(8));
        std::size_t i = w.below(w.machines.size());
        while (!w.up(i)) i = w.below(w.machines.size());
        loss(w, kind, i);
        // The next loss comes when the system may bear it: often at once where it bears two.
        while (w.lost_now() >= w.losses) orders(w, 50ms);
        if (w.lost_now() > 0) continue;
        w.must_bear("once all had their time");
        if (w.chance(0.2)) {    // all of them at once
            const bool power = w.chance(0.5);
            for (std::size_t o = 0; o < w.machines.size(); ++o)
                if (w.machines[o].lamp) w.lose(o, Duration(w.below(1'000'000)), power, false);
            w.run(1s + Core::kContact);
            w.must_serve("after all were killed or lost power");
        }
    }
    while (w.lost_now() > 0) w.run(50ms);
    w.must_bear("at the end");
    closing(w, "at the end");
}

// The users' day: a planned replacement, whose old machine leaves when the new one is there, then another
// loss.
Test(core, bears_a_loss_after_a_planned_replacement) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const Kind second : {Kind::Wiped, Kind::Replaced, Kind::Planned}) {
            Core w(seed, 3, 3, 1);
            w.run(2s);
            w.must_serve("at the start");
            for (const Kind kind : {Kind::Planned, second, Kind::Planned}) {
                std::size_t i = w.below(w.machines.size());
                while (!w.up(i)) i = w.below(w.machines.size());
                loss(w, kind, i);
                while (w.lost_now() > 0) w.run(50ms);
                w.must_bear("once all had their time");
            }
            cr_assert_eq(w.newest().voters.size(), 3);
            closing(w, "at the end");
        }
}

Test(core, grows_to_what_the_system_may_lose_from_three_founders) {
    Duration longest{};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const std::size_t size : {5u, 8u, 9u}) {
            Core w(seed, 3, size, 2);
            const TimePoint begun = w.now;
            while (w.newest().voters.size() < (size < 7 ? size : 7)) {
                w.run(10ms);
                cr_assert(w.now - begun < Core::kCatchUp);
            }
            longest = std::max(longest, w.now - begun);
            w.run(1s);
            w.must_bear("grown");
        }
    printf("two losses are borne %.2f s after the start at the latest\n",
           std::chrono::duration<double>(longest).count());
}

Test(core, one_and_two_machines_serve_and_come_back_and_a_third_is_taken_in) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const std::size_t size : {1u, 2u}) {
            Core w(seed, size, size, 0);
            w.run(2s);
            for (const bool power : {false, true}) {
                w.must_serve("as few as they are");
                for (std::size_t i = 0; i < size; ++i) w.lose(i, Duration(w.below(1'000'000)), power, false);
                w.run(Core::kContact);
                w.must_serve("after all had ended");
            }
            while (w.machines.size() < 3) w.join();
            w.run(kWait);
            w.losses = 1;
            w.must_bear("three");
        }
}

Test(core, without_disks_a_restart_is_another_voter) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Core w(seed, 3, 3, 1);
        w.diskless = true;
        w.run(2s);
        w.must_serve("at the start");
        for (int step = 0; step < 6; ++step) {
            const Kind kinds[] = {Kind::Power, Kind::Killed, Kind::Replaced, Kind::Planned, Kind::Terminated};
            std::size_t i = w.below(w.machines.size());
            while (!w.up(i)) i = w.below(w.machines.size());
            loss(w, kinds[w.below(5)], i);
            while (w.lost_now() > 0) orders(w, 50ms);
            w.must_bear("once all had their time");
        }
    }
}

Test(core, three_machines) {
    for (std::uint64_t seed = 1; seed <= 200 / kLess; ++seed) worst_days(seed, 3, 3, 1, 12);
}
Test(core, five_machines) {
    for (std::uint64_t seed = 1; seed <= 100 / kLess; ++seed) worst_days(seed, 3, 5, 2, 16);
}
Test(core, eight_machines) {
    for (std::uint64_t seed = 1; seed <= 60 / kLess; ++seed) worst_days(seed, 3, 8, 2, 16);
}

}    // namespace
}    // namespace shaletray::controller::test
