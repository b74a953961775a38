// A controller without contact with a majority, in virtual time: it reports nothing as current, acknowledges
// and rejects nothing, and regains its quorum within the contact timeout after its links are restored.
#include "controller/quorum_tracker.h"

#include "cluster/consensus/register_cluster.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using consensus::Outcome;
using consensus::RequestId;

enum class ConnectivityFault {
    Partitioned,
    InboundBlocked,     // the controller receives nothing
    OutboundBlocked,    // none of its messages are received
    Frozen,
};

struct QuorumFixture {
    consensus::test::Cluster cluster;
    Duration contact_timeout;
    std::vector<QuorumTracker> trackers;
    std::vector<TimePoint> next_read_at;
    std::map<RequestId, Outcome> outcomes;
    std::vector<std::size_t> loss_counts, gain_counts;
    Duration max_time_without_quorum{};

    QuorumFixture(std::uint64_t seed, Duration timeout)
        : cluster(seed, 0), contact_timeout(timeout), next_read_at(3), loss_counts(3), gain_counts(3) {
        cluster.on_completion = [this](RequestId request_id, Outcome outcome, const consensus::LogEntry&) {
            outcomes[request_id] = outcome;
        };
        cluster.max_retry_interval = QuorumTracker(contact_timeout, cluster.now).max_retry_interval();
        const std::vector<std::string> addresses{cluster.name(0), cluster.name(1), cluster.name(2)};
        for (std::size_t i = 0; i < 3; ++i) {
            cluster.nodes.push_back({cluster.name(i), {}, {}, {}, 0, {}});
            cluster.start(i, addresses);
            trackers.emplace_back(contact_timeout, cluster.now);
        }
        run(1s);
    }
    // Updates the trackers after each turn of the register, as ConsensusDriver does; here every 10 ms.
    void run(Duration duration) {
        const TimePoint deadline = cluster.now + duration;
        while (cluster.now < deadline) {
            for (std::size_t i = 0; i < 3; ++i) {
                if (!cluster.is_up(i)) continue;
                if (cluster.now >= next_read_at[i]) {
                    next_read_at[i] = cluster.now + trackers[i].read_interval();
                    cluster.quorum_read(i, 900ms);
                }
                const auto change =
                    trackers[i].update(cluster.nodes[i].replica->quorum_confirmed_at(), cluster.now);
                if (!change) continue;
                ++(change->held ? gain_counts : loss_counts)[i];
                if (change->held)
                    max_time_without_quorum = std::max(max_time_without_quorum, change->previous_duration);
            }
            cluster.run(10ms);
        }
    }
    void inject_fault(ConnectivityFault kind, Duration duration) {
        for (const std::size_t peer : {std::size_t{0}, std::size_t{1}}) {
            if (kind == ConnectivityFault::Partitioned || kind == ConnectivityFault::OutboundBlocked)
                cluster.partitioned_links.insert({2, peer});
            if (kind == ConnectivityFault::Partitioned || kind == ConnectivityFault::InboundBlocked)
                cluster.partitioned_links.insert({peer, 2});
        }
        if (kind == ConnectivityFault::Frozen) cluster.nodes[2].frozen_until = cluster.now + duration;
    }
    bool has_quorum(std::size_t index) const { return trackers[index].is_held(cluster.now); }
    RequestId propose(std::size_t index, std::uint64_t version, const char* text) {
        cluster.propose(index, version, text, 900ms);
        return cluster.last_request_id;
    }
    RequestId quorum_read(std::size_t index) {
        cluster.quorum_read(index, 900ms);
        return cluster.last_request_id;
    }
};

void run_isolation_scenario(ConnectivityFault kind, Duration duration, Duration contact_timeout,
                            bool with_changes, std::uint64_t seed) {
    QuorumFixture fixture(seed, contact_timeout);
    std::uint64_t version = 3;
    cr_assert(fixture.has_quorum(0) && fixture.has_quorum(1) && fixture.has_quorum(2) &&
              fixture.gain_counts == std::vector<std::size_t>({1, 1, 1}));
    const RequestId first_request = fixture.propose(0, version, "first");
    fixture.run(1s);
    cr_assert_eq(fixture.outcomes.at(first_request), Outcome::Committed);

    fixture.inject_fault(kind, duration);
    const TimePoint fault_end = fixture.cluster.now + duration;
    fixture.run(contact_timeout / 2 + 50ms);
    while (fixture.cluster.now + 3s < fault_end) {
        version += with_changes;
        const RequestId other_request = fixture.propose(0, version, with_changes ? "others" : "first");
        std::vector<RequestId> isolated_requests;
        if (kind != ConnectivityFault::Frozen) {
            cr_assert(!fixture.has_quorum(2) && fixture.loss_counts[2] == 1);
            isolated_requests = {fixture.quorum_read(2), fixture.propose(2, version + 1, "here"),
                                 fixture.propose(2, 3, "first"), fixture.propose(2, 3, "another"),
                                 fixture.propose(2, 2, "older")};
        }
        fixture.run(1s);
        cr_assert_eq(fixture.outcomes.at(other_request), Outcome::Committed);
        for (const RequestId request_id : isolated_requests)
            cr_assert_eq(fixture.outcomes.at(request_id), Outcome::Indeterminate);
    }
    cr_assert(fixture.has_quorum(0) && fixture.has_quorum(1) &&
              fixture.loss_counts[0] + fixture.loss_counts[1] == 0);

    if (kind == ConnectivityFault::Frozen) {
        fixture.cluster.run(fault_end);
        cr_assert(!fixture.has_quorum(2));    // before it has sent or received anything
    } else {
        fixture.run(fault_end - fixture.cluster.now);
        fixture.cluster.partitioned_links.clear();
    }
    fixture.run(contact_timeout);
    cr_assert(fixture.has_quorum(2), "%d for %ld s, contact %ld ms, seed %lu", static_cast<int>(kind),
              duration / 1s, contact_timeout / 1ms, seed);
    cr_assert_eq(fixture.cluster.nodes[2].replica->committed_entry().version, version);
    cr_assert(fixture.loss_counts[2] == 1 && fixture.gain_counts[2] == 2);
    cr_assert(fixture.max_time_without_quorum >= duration - contact_timeout &&
              fixture.trackers[2].loss_count() == 1);
    const RequestId read_request = fixture.quorum_read(2),
                    conflicting_request = fixture.propose(2, 3, "another"),
                    next_request = fixture.propose(2, version + 1, "next");
    fixture.run(1s);
    cr_assert(fixture.outcomes.at(read_request) == Outcome::Committed &&
              fixture.outcomes.at(next_request) == Outcome::Committed);
    cr_assert_eq(fixture.outcomes.at(conflicting_request), Outcome::Conflict);
}

}    // namespace

Test(quorum_tracker,
     isolated_controller_confirms_and_rejects_nothing_and_recovers_within_the_contact_timeout) {
    for (const ConnectivityFault kind : {ConnectivityFault::Partitioned, ConnectivityFault::InboundBlocked,
                                         ConnectivityFault::OutboundBlocked, ConnectivityFault::Frozen})
        for (const Duration duration : {Duration(25s), Duration(60s)})
            for (const Duration contact_timeout : {Duration(3s), Duration(1500ms)})
                for (std::uint64_t seed = 1; seed <= 10 / consensus::test::kSanitizerDivisor; ++seed)
                    run_isolation_scenario(kind, duration, contact_timeout, (seed + duration / 60s) % 2 == 0,
                                           seed);
}

Test(quorum_tracker, lost_majority_is_reported_once_by_every_controller) {
    const Duration contact_timeout = 1500ms;
    QuorumFixture fixture(1, contact_timeout);
    fixture.cluster.partitioned_links = {{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}, {2, 1}};
    fixture.run(60s);
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert(!fixture.has_quorum(i) && fixture.loss_counts[i] == 1 && fixture.gain_counts[i] == 1);
    fixture.cluster.partitioned_links.clear();
    fixture.run(contact_timeout);
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert(fixture.has_quorum(i) && fixture.loss_counts[i] == 1 && fixture.gain_counts[i] == 2);
}

}    // namespace shaletray::controller
