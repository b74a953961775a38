// A replica that missed hundreds of changes, or is empty, catches up while changes continue: it must have the
// newest entry within kMaxCatchUpTime, also over a slow link. Time is virtual.
#include <cstdio>

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

constexpr Duration kMaxCatchUpTime = 4s;    // the bound for small sites
constexpr Duration kMaxLag = 1s;            // after catching up
constexpr Duration kChangeInterval = 250ms, kReadInterval = 500ms, kSampleInterval = 50ms;
constexpr std::size_t kTextSize = 40'000;

// Proposes changes at random replicas except one, and reads regularly at all.
struct CatchUpScenario {
    Cluster& cluster;
    std::size_t excluded;    // proposes nothing
    Duration change_interval;
    std::size_t text_size;
    TimePoint next_change = cluster.now, next_read = cluster.now;

    void propose_change() {
        std::size_t proposer = cluster.random_below(cluster.nodes.size());
        while (proposer == excluded || !cluster.is_up(proposer))
            proposer = cluster.random_below(cluster.nodes.size());
        std::string text = std::to_string(cluster.highest_version + 1) + ' ';
        text.resize(std::max(text_size, text.size()), 'x');
        cluster.propose(proposer, cluster.highest_version + 1, std::move(text));
    }
    void run(Duration duration) {
        const TimePoint deadline = cluster.now + duration;
        while (cluster.now < deadline) {
            cluster.run(std::min({next_change, next_read, deadline}));
            if (cluster.now >= next_change) {
                next_change = cluster.now + change_interval;
                propose_change();
            }
            if (cluster.now >= next_read) {
                next_read = cluster.now + kReadInterval;
                for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
                    if (cluster.is_up(i)) cluster.quorum_read(i);
            }
        }
    }
    // Drops old records of the test itself, which would distort the measurement of memory use.
    void clear_history() {
        while (cluster.requests.size() > 512) cluster.requests.erase(cluster.requests.begin());
        while (cluster.committed.entries.size() > 64)
            cluster.committed.entries.erase(cluster.committed.entries.begin());
        while (cluster.committed.texts.size() > 64)
            cluster.committed.texts.erase(cluster.committed.texts.begin());
    }
};

// Checks the catching up of a replica that was down for this many changes; none: of one that is empty and not
// a voter.
void check_catch_up(std::uint64_t seed, std::size_t voters, std::optional<int> changes, double mbps,
                    std::size_t text_size = kTextSize, Duration change_interval = kChangeInterval) {
    Cluster cluster(seed, voters);
    std::size_t lagging = 0;
    CatchUpScenario scenario{cluster, lagging, 20ms, 100};
    scenario.run(500ms);
    if (changes) {
        cluster.stop(lagging, true);
        const std::uint64_t target_version = cluster.highest_version + static_cast<std::uint64_t>(*changes);
        while (cluster.highest_version < target_version) scenario.run(scenario.change_interval);
        cluster.run(200ms);
    }
    scenario.change_interval = change_interval;
    scenario.text_size = text_size;
    scenario.run(2s);
    if (changes) cluster.start(lagging);
    else lagging = scenario.excluded = cluster.join();
    if (mbps > 0) cluster.mbps[lagging] = mbps;
    std::vector<std::string> addresses;
    for (const auto& node : cluster.nodes) addresses.push_back(node.address);
    for (const auto& node : cluster.nodes)
        if (node.replica)
            cluster.call(static_cast<std::size_t>(&node - cluster.nodes.data()),
                         [&](ReplicatedRegister& replica, Actions&) { replica.set_peers(addresses); });
    const TimePoint started_at = cluster.now;
    std::map<TimePoint, std::uint64_t> newest = {
        {started_at - 60s, cluster.newest_entry().number}};    // number of the newest entry, by time
    Duration caught_up_after{}, max_lag{};
    while (cluster.now < started_at + (kSanitizerDivisor == 1 ? 12s : 8s)) {
        newest[cluster.now] = cluster.newest_entry().number;
        scenario.run(kSampleInterval);
        const std::uint64_t known_number = cluster.nodes[lagging].replica->committed_entry().number;
        Duration lag{};
        for (const auto& [when, number] : newest)
            if (known_number < number) {
                lag = cluster.now - when;
                break;
            }
        if (caught_up_after == Duration{} && lag <= kMaxLag) caught_up_after = cluster.now - started_at;
        if (cluster.now > started_at + kMaxCatchUpTime) max_lag = std::max(max_lag, lag);
    }
    const auto milliseconds = [](Duration duration) { return duration / 1ms; };
    printf(
        "%zu voters, down for %d changes, %.0f Mbit/s: caught up after %ld ms, then at most %ld ms behind, "
        "%ld ms queued\n",
        voters, changes.value_or(-1), mbps, milliseconds(caught_up_after), milliseconds(max_lag),
        milliseconds(std::max(cluster.link_busy_until[{lagging, true}], cluster.now) - cluster.now));
    cr_expect(caught_up_after > Duration{} && caught_up_after <= kMaxCatchUpTime);
    cr_expect(max_lag <= kMaxLag);
}

Test(catch_up, replica_catches_up_while_changes_continue) {
    const int divisor = static_cast<int>(kSanitizerDivisor);
    for (const std::size_t voters : {3, 5})
        for (const double mbps : {2.0, 0.0})
            for (const std::optional<int> changes :
                 {std::optional<int>(1), {300 / divisor}, {3000 / divisor}, std::optional<int>()})
                if (kSanitizerDivisor == 1 || (voters == 3 && mbps > 0))
                    check_catch_up(7 + voters, voters, changes, mbps);
}

// The changes exceed the bandwidth of the link, so the replica must skip superseded entries.
Test(catch_up, replica_skips_superseded_entries_on_a_slow_link) {
    check_catch_up(11, 3, {}, 2.0, 100'000, 100ms);
    check_catch_up(12, 5, {}, 2.0, 60'000, 150ms);
}

Test(catch_up, memory_use_stays_bounded_over_ten_thousand_changes) {
    Cluster cluster(1, 3);
    cluster.join();
    CatchUpScenario scenario{cluster, 3, 10ms, 500};
    constexpr std::uint64_t kChanges = 10'000 / kSanitizerDivisor;
    std::size_t early_heap = 0, late_heap = 0, max_description = 0;
    while (cluster.highest_version < kChanges) {
        scenario.run(1s);
        scenario.clear_history();
        std::size_t& maximum = cluster.highest_version < kChanges / 5 ? early_heap : late_heap;
        maximum = std::max(maximum, allocated_bytes());
        for (const auto& node : cluster.nodes)
            max_description = std::max(max_description, node.replica->describe_state().size());
    }
    printf(
        "%lu changes: heap at most %zu bytes in the first fifth, then %zu; longest description %zu bytes\n",
        cluster.highest_version, early_heap, late_heap, max_description);
    cr_assert_eq(cluster.indeterminate_count, 0);
    cr_assert(late_heap < early_heap + 500'000);
    cr_assert(max_description < 20'000);
}

}    // namespace
}    // namespace shaletray::consensus::test
