// Second losses: at every moment of a replacement a further loss that the system may bear leaves a majority
// which holds all that was acknowledged.
#include "controller/controller_cluster.h"

namespace shaletray::controller::test {
namespace {

constexpr auto kWait = ControllerCluster::kCatchUpTime;

void orders(ControllerCluster& cluster, Duration more) {
    for (const TimePoint deadline = cluster.now + more; cluster.now < deadline;) {
        const std::size_t i = cluster.random_below(cluster.machines.size());
        if (cluster.is_up(i) && cluster.machines[i].leaves_at == TimePoint{})
            cluster.submit_request(i, cluster.random_chance(0.3));
        cluster.run(std::min<Duration>(Duration(cluster.random_below(400'000)), deadline - cluster.now));
    }
}

// Right after an acknowledgement as many machines as may be lost lose their disks, all others lose power.
void check_final_state(ControllerCluster& cluster, const char* phase) {
    cluster.check_progress(phase);
    std::size_t wiped = 0;
    const std::size_t first = cluster.random_below(cluster.machines.size());
    for (std::size_t k = 0; k < cluster.machines.size(); ++k) {
        const std::size_t i = (first + k) % cluster.machines.size();
        if (cluster.machines[i].replica) cluster.crash_machine(i, 1s, true, wiped++ < cluster.max_failures);
    }
    cluster.run(1s + ControllerCluster::kContactTimeout);
    cluster.check_progress("after the closing fault");
}

enum class Kind {
    DiskWiped,
    Replaced,
    PlannedReplacement,
    Terminated,
    PowerLoss,
    Killed,
    Partitioned,
    Frozen
};

// One loss after the other, each as soon as it may come; several may begin together where the system bears
// that.
void inject_fault(ControllerCluster& cluster, Kind kind, std::size_t i) {
    switch (kind) {
        case Kind::DiskWiped: cluster.crash_machine(i, 1s, true, true); break;
        case Kind::PowerLoss:
            cluster.crash_machine(i, Duration(cluster.random_below(6'000'000)), true, false);
            break;
        case Kind::Killed: cluster.crash_machine(i, 300ms, false, false); break;
        case Kind::Replaced:
            cluster.machines[i].is_removed = true;
            cluster.stop_machine(i, true);
            if (cluster.random_chance(0.5)) orders(cluster, Duration(cluster.random_below(8'000'000)));
            cluster.replace_machine(i);
            break;
        case Kind::PlannedReplacement:    // the newcomer is there before the old one leaves
        case Kind::Terminated: {
            const bool comes_first = kind == Kind::PlannedReplacement;
            if (comes_first) {
                cluster.add_machine();
                cluster.machines.back().is_counted = false;
                orders(cluster, Duration(cluster.random_below(5'000'000)));
            }
            cluster.start_departure(i);
            orders(cluster, 2s);
            cr_assert(!cluster.machines[i].replica);
            if (comes_first) {
                cluster.machines[i].is_removed = true;
                cluster.machines[i].is_counted = false;
                cluster.machines.back().is_counted = true;
                cluster.mark_unavailable(cluster.machines.size() - 1, 0s);
            } else cluster.crash_machine(i, 0s, false, false);
            break;
        }
        case Kind::Partitioned: {
            const bool one_way = cluster.random_chance(0.3), outwards = cluster.random_chance(0.5);
            for (std::size_t o = 0; o < cluster.machines.size(); ++o) {
                if (!one_way || outwards) cluster.partitioned_links.insert({i, o});
                if (!one_way || !outwards) cluster.partitioned_links.insert({o, i});
            }
            orders(cluster, cluster.random_chance(0.2) ? 25s : Duration(cluster.random_below(6'000'000)));
            cluster.partitioned_links.clear();
            cluster.mark_unavailable(i, 0s);
            break;
        }
        case Kind::Frozen: {
            const Duration duration =
                cluster.random_chance(0.2) ? 25s : Duration(cluster.random_below(6'000'000));
            cluster.machines[i].frozen_until = cluster.now + duration;
            cluster.mark_unavailable(i, duration);
            break;
        }
    }
}

void run_worst_case(std::uint64_t seed, std::size_t founders, std::size_t size, std::size_t may_lose,
                    int steps) {
    ControllerCluster cluster(seed, founders, size, may_lose);
    cluster.run(kWait);
    cluster.check_progress("at the start");
    cluster.check_fault_tolerance("at the start");
    for (int step = 0; step < steps; ++step) {
        const Kind kind = static_cast<Kind>(cluster.random_below(8));
        std::size_t i = cluster.random_below(cluster.machines.size());
        while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
        inject_fault(cluster, kind, i);
        // The next loss comes when the system may bear it: often at once where it bears two.
        while (cluster.unavailable_count() >= cluster.max_failures) orders(cluster, 50ms);
        if (cluster.unavailable_count() > 0) continue;
        cluster.check_fault_tolerance("once all had their time");
        if (cluster.random_chance(0.2)) {    // all of them at once
            const bool power = cluster.random_chance(0.5);
            for (std::size_t o = 0; o < cluster.machines.size(); ++o)
                if (cluster.machines[o].replica)
                    cluster.crash_machine(o, Duration(cluster.random_below(1'000'000)), power, false);
            cluster.run(1s + ControllerCluster::kContactTimeout);
            cluster.check_progress("after all were killed or lost power");
        }
    }
    while (cluster.unavailable_count() > 0) cluster.run(50ms);
    cluster.check_fault_tolerance("at the end");
    check_final_state(cluster, "at the end");
}

// The users' day: a planned replacement, whose old machine leaves when the new one is there, then another
// loss.
Test(core, bears_a_loss_after_a_planned_replacement) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const Kind second : {Kind::DiskWiped, Kind::Replaced, Kind::PlannedReplacement}) {
            ControllerCluster cluster(seed, 3, 3, 1);
            cluster.run(2s);
            cluster.check_progress("at the start");
            for (const Kind kind : {Kind::PlannedReplacement, second, Kind::PlannedReplacement}) {
                std::size_t i = cluster.random_below(cluster.machines.size());
                while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
                inject_fault(cluster, kind, i);
                while (cluster.unavailable_count() > 0) cluster.run(50ms);
                cluster.check_fault_tolerance("once all had their time");
            }
            cr_assert_eq(cluster.newest_entry().voters.size(), 3);
            check_final_state(cluster, "at the end");
        }
}

Test(core, grows_to_what_the_system_may_lose_from_three_founders) {
    Duration max_time{};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const std::size_t size : {5u, 8u, 9u}) {
            ControllerCluster cluster(seed, 3, size, 2);
            const TimePoint started_at = cluster.now;
            while (cluster.newest_entry().voters.size() < (size < 7 ? size : 7)) {
                cluster.run(10ms);
                cr_assert(cluster.now - started_at < ControllerCluster::kCatchUpTime);
            }
            max_time = std::max(max_time, cluster.now - started_at);
            cluster.run(1s);
            cluster.check_fault_tolerance("grown");
        }
    printf("two losses are borne %.2f s after the start at the latest\n",
           std::chrono::duration<double>(max_time).count());
}

Test(core, one_and_two_machines_serve_and_come_back_and_a_third_is_taken_in) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const std::size_t size : {1u, 2u}) {
            ControllerCluster cluster(seed, size, size, 0);
            cluster.run(2s);
            for (const bool power : {false, true}) {
                cluster.check_progress("as few as they are");
                for (std::size_t i = 0; i < size; ++i)
                    cluster.crash_machine(i, Duration(cluster.random_below(1'000'000)), power, false);
                cluster.run(ControllerCluster::kContactTimeout);
                cluster.check_progress("after all had ended");
            }
            while (cluster.machines.size() < 3) cluster.add_machine();
            cluster.run(kWait);
            cluster.max_failures = 1;
            cluster.check_fault_tolerance("three");
        }
}

Test(core, without_disks_a_restart_is_another_voter) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControllerCluster cluster(seed, 3, 3, 1);
        cluster.is_diskless = true;
        cluster.run(2s);
        cluster.check_progress("at the start");
        for (int step = 0; step < 6; ++step) {
            const Kind kinds[] = {Kind::PowerLoss, Kind::Killed, Kind::Replaced, Kind::PlannedReplacement,
                                  Kind::Terminated};
            std::size_t i = cluster.random_below(cluster.machines.size());
            while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
            inject_fault(cluster, kinds[cluster.random_below(5)], i);
            while (cluster.unavailable_count() > 0) orders(cluster, 50ms);
            cluster.check_fault_tolerance("once all had their time");
        }
    }
}

Test(core, three_machines) {
    for (std::uint64_t seed = 1; seed <= 200 / kLess; ++seed) run_worst_case(seed, 3, 3, 1, 12);
}
Test(core, five_machines) {
    for (std::uint64_t seed = 1; seed <= 100 / kLess; ++seed) run_worst_case(seed, 3, 5, 2, 16);
}
Test(core, eight_machines) {
    for (std::uint64_t seed = 1; seed <= 60 / kLess; ++seed) run_worst_case(seed, 3, 8, 2, 16);
}

}    // namespace
}    // namespace shaletray::controller::test
