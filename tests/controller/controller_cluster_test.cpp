// Consecutive failures: at any moment of a replacement, a further failure within the tolerated number must
// leave a majority that has everything that was acknowledged.
#include "controller/controller_cluster.h"

namespace shaletray::controller::test {
namespace {

constexpr auto kCatchUpTime = ControllerCluster::kCatchUpTime;

void submit_requests(ControllerCluster& cluster, Duration duration) {
    for (const TimePoint deadline = cluster.now + duration; cluster.now < deadline;) {
        const std::size_t i = cluster.random_below(cluster.machines.size());
        if (cluster.is_up(i) && cluster.machines[i].leaves_at == TimePoint{})
            cluster.submit_request(i, cluster.random_chance(0.3));
        cluster.run(std::min<Duration>(Duration(cluster.random_below(400'000)), deadline - cluster.now));
    }
}

// Right after an acknowledgement the tolerated number of machines lose their disks, all others lose power.
void check_final_state(ControllerCluster& cluster, const char* phase) {
    cluster.check_progress(phase);
    std::size_t wiped = 0;
    const std::size_t first = cluster.random_below(cluster.machines.size());
    for (std::size_t offset = 0; offset < cluster.machines.size(); ++offset) {
        const std::size_t i = (first + offset) % cluster.machines.size();
        if (cluster.machines[i].replica) cluster.crash_machine(i, 1s, true, wiped++ < cluster.max_failures);
    }
    cluster.run(1s + ControllerCluster::kContactTimeout);
    cluster.check_progress("after the final fault");
}

enum class FaultKind {
    DiskWiped,
    Replaced,
    PlannedReplacement,
    Terminated,
    PowerLoss,
    Killed,
    Partitioned,
    Frozen
};

// Injects one failure. The caller injects the next as soon as the system must tolerate it; several may
// overlap if the system tolerates that many.
void inject_fault(ControllerCluster& cluster, FaultKind kind, std::size_t i) {
    switch (kind) {
        case FaultKind::DiskWiped: cluster.crash_machine(i, 1s, true, true); break;
        case FaultKind::PowerLoss:
            cluster.crash_machine(i, Duration(cluster.random_below(6'000'000)), true, false);
            break;
        case FaultKind::Killed: cluster.crash_machine(i, 300ms, false, false); break;
        case FaultKind::Replaced:
            cluster.machines[i].is_removed = true;
            cluster.stop_machine(i, true);
            if (cluster.random_chance(0.5))
                submit_requests(cluster, Duration(cluster.random_below(8'000'000)));
            cluster.replace_machine(i);
            break;
        case FaultKind::PlannedReplacement:    // the successor joins before the old machine leaves
        case FaultKind::Terminated: {
            const bool is_planned = kind == FaultKind::PlannedReplacement;
            if (is_planned) {
                cluster.add_machine();
                cluster.machines.back().is_counted = false;
                submit_requests(cluster, Duration(cluster.random_below(5'000'000)));
            }
            cluster.start_departure(i);
            submit_requests(cluster, 2s);
            cr_assert(!cluster.machines[i].replica);
            if (is_planned) {
                cluster.machines[i].is_removed = true;
                cluster.machines[i].is_counted = false;
                cluster.machines.back().is_counted = true;
                cluster.mark_unavailable(cluster.machines.size() - 1, 0s);
            } else cluster.crash_machine(i, 0s, false, false);
            break;
        }
        case FaultKind::Partitioned: {
            const bool is_one_way = cluster.random_chance(0.3), is_outbound = cluster.random_chance(0.5);
            for (std::size_t other = 0; other < cluster.machines.size(); ++other) {
                if (!is_one_way || is_outbound) cluster.partitioned_links.insert({i, other});
                if (!is_one_way || !is_outbound) cluster.partitioned_links.insert({other, i});
            }
            submit_requests(cluster,
                            cluster.random_chance(0.2) ? 25s : Duration(cluster.random_below(6'000'000)));
            cluster.partitioned_links.clear();
            cluster.mark_unavailable(i, 0s);
            break;
        }
        case FaultKind::Frozen: {
            const Duration duration =
                cluster.random_chance(0.2) ? 25s : Duration(cluster.random_below(6'000'000));
            cluster.machines[i].frozen_until = cluster.now + duration;
            cluster.mark_unavailable(i, duration);
            break;
        }
    }
}

void run_worst_case(std::uint64_t seed, std::size_t founders, std::size_t size, std::size_t max_failures,
                    int steps) {
    ControllerCluster cluster(seed, founders, size, max_failures);
    cluster.run(kCatchUpTime);
    cluster.check_progress("at the start");
    cluster.check_fault_tolerance("at the start");
    for (int step = 0; step < steps; ++step) {
        const FaultKind kind = static_cast<FaultKind>(cluster.random_below(8));
        std::size_t i = cluster.random_below(cluster.machines.size());
        while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
        inject_fault(cluster, kind, i);
        // The next failure follows as soon as it is tolerated: often immediately if two are.
        while (cluster.unavailable_count() >= cluster.max_failures) submit_requests(cluster, 50ms);
        if (cluster.unavailable_count() > 0) continue;
        cluster.check_fault_tolerance("once all have caught up");
        if (cluster.random_chance(0.2)) {    // all machines at once
            const bool power_loss = cluster.random_chance(0.5);
            for (std::size_t other = 0; other < cluster.machines.size(); ++other)
                if (cluster.machines[other].replica)
                    cluster.crash_machine(other, Duration(cluster.random_below(1'000'000)), power_loss,
                                          false);
            cluster.run(1s + ControllerCluster::kContactTimeout);
            cluster.check_progress("after all were killed or lost power");
        }
    }
    while (cluster.unavailable_count() > 0) cluster.run(50ms);
    cluster.check_fault_tolerance("at the end");
    check_final_state(cluster, "at the end");
}

// Typical maintenance: a planned replacement, where the old machine leaves after the new one has joined, and
// then another failure. Guards against a voter set that is enlarged without dropping the departed voter.
Test(controller_cluster, tolerates_a_failure_after_a_planned_replacement) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const FaultKind second :
             {FaultKind::DiskWiped, FaultKind::Replaced, FaultKind::PlannedReplacement}) {
            ControllerCluster cluster(seed, 3, 3, 1);
            cluster.run(2s);
            cluster.check_progress("at the start");
            for (const FaultKind kind :
                 {FaultKind::PlannedReplacement, second, FaultKind::PlannedReplacement}) {
                std::size_t i = cluster.random_below(cluster.machines.size());
                while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
                inject_fault(cluster, kind, i);
                while (cluster.unavailable_count() > 0) cluster.run(50ms);
                cluster.check_fault_tolerance("once all have caught up");
            }
            cr_assert_eq(cluster.newest_entry().voters.size(), 3);
            check_final_state(cluster, "at the end");
        }
}

Test(controller_cluster, grows_from_three_founders_to_the_tolerated_failures) {
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
    printf("two failures are tolerated %.2f s after the start at the latest\n",
           std::chrono::duration<double>(max_time).count());
}

Test(controller_cluster, one_or_two_machines_serve_and_restart_and_accept_a_third) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (const std::size_t size : {1u, 2u}) {
            ControllerCluster cluster(seed, size, size, 0);
            cluster.run(2s);
            for (const bool power_loss : {false, true}) {
                cluster.check_progress("with fewer than three");
                for (std::size_t i = 0; i < size; ++i)
                    cluster.crash_machine(i, Duration(cluster.random_below(1'000'000)), power_loss, false);
                cluster.run(ControllerCluster::kContactTimeout);
                cluster.check_progress("after all were restarted");
            }
            while (cluster.machines.size() < 3) cluster.add_machine();
            cluster.run(kCatchUpTime);
            cluster.max_failures = 1;
            cluster.check_fault_tolerance("three");
        }
}

Test(controller_cluster, diskless_restart_joins_as_a_new_voter) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControllerCluster cluster(seed, 3, 3, 1);
        cluster.is_diskless = true;
        cluster.run(2s);
        cluster.check_progress("at the start");
        for (int step = 0; step < 6; ++step) {
            const FaultKind kinds[] = {FaultKind::PowerLoss, FaultKind::Killed, FaultKind::Replaced,
                                       FaultKind::PlannedReplacement, FaultKind::Terminated};
            std::size_t i = cluster.random_below(cluster.machines.size());
            while (!cluster.is_up(i)) i = cluster.random_below(cluster.machines.size());
            inject_fault(cluster, kinds[cluster.random_below(5)], i);
            while (cluster.unavailable_count() > 0) submit_requests(cluster, 50ms);
            cluster.check_fault_tolerance("once all have caught up");
        }
    }
}

Test(controller_cluster, three_machines) {
    for (std::uint64_t seed = 1; seed <= 200 / kSanitizerDivisor; ++seed) run_worst_case(seed, 3, 3, 1, 12);
}
Test(controller_cluster, five_machines) {
    for (std::uint64_t seed = 1; seed <= 100 / kSanitizerDivisor; ++seed) run_worst_case(seed, 3, 5, 2, 16);
}
Test(controller_cluster, eight_machines) {
    for (std::uint64_t seed = 1; seed <= 60 / kSanitizerDivisor; ++seed) run_worst_case(seed, 3, 8, 2, 16);
}

}    // namespace
}    // namespace shaletray::controller::test
