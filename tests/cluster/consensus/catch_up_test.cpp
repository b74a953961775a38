// A lighthouse that was away for hundreds of changes, or is empty, while they go on: it must have the newest
// within `catch_up`, on a slow link as well. Time is virtual.
#include <cstdio>

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

constexpr Duration kCatchUp = 4s;    // of the small sites' bounds
constexpr Duration kChange = 250ms, kRead = 500ms, kLook = 50ms;
constexpr std::size_t kText = 40'000;

// Changes at any lighthouse but one, and the reads that each makes by itself (lighthouse.cpp).
struct CatchUpScenario {
    Cluster& cluster;
    std::size_t but;
    Duration gap;
    std::size_t text;
    TimePoint next_change = cluster.now, next_read = cluster.now;

    void change() {
        std::size_t by = cluster.random_below(cluster.nodes.size());
        while (by == but || !cluster.is_up(by)) by = cluster.random_below(cluster.nodes.size());
        std::string words = std::to_string(cluster.versions + 1) + ' ';
        words.resize(std::max(text, words.size()), 'x');
        cluster.propose(by, cluster.versions + 1, std::move(words));
    }
    void run(Duration more) {
        const TimePoint deadline = cluster.now + more;
        while (cluster.now < deadline) {
            cluster.run(std::min({next_change, next_read, deadline}));
            if (cluster.now >= next_change) {
                next_change = cluster.now + gap;
                change();
            }
            if (cluster.now >= next_read) {
                next_read = cluster.now + kRead;
                for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
                    if (cluster.is_up(i)) cluster.quorum_read(i);
            }
        }
    }
    // What nobody asks about any more.
    void clear_history() {
        while (cluster.requests.size() > 512) cluster.requests.erase(cluster.requests.begin());
        while (cluster.committed.entries.size() > 64)
            cluster.committed.entries.erase(cluster.committed.entries.begin());
        while (cluster.committed.texts.size() > 64)
            cluster.committed.texts.erase(cluster.committed.texts.begin());
    }
};

// Away for `changes`, none: empty and no voter. How far behind it is afterwards, at most.
void catches_up(std::uint64_t seed, std::size_t voters, std::optional<int> changes, double mbps,
                std::size_t text = kText, Duration gap = kChange) {
    Cluster cluster(seed, voters);
    std::size_t late = 0;
    CatchUpScenario day{cluster, late, 20ms, 100};
    day.run(500ms);
    if (changes) {
        cluster.stop(late, true);
        const std::uint64_t upto = cluster.versions + static_cast<std::uint64_t>(*changes);
        while (cluster.versions < upto) day.run(day.gap);
        cluster.run(200ms);
    }
    day.gap = gap;
    day.text = text;
    day.run(2s);
    if (changes) cluster.start(late);
    else late = day.but = cluster.join();
    if (mbps > 0) cluster.mbps[late] = mbps;
    std::vector<std::string> all;
    for (const auto& node : cluster.nodes) all.push_back(node.address);
    for (const auto& node : cluster.nodes)
        if (node.replica)
            cluster.call(static_cast<std::size_t>(&node - cluster.nodes.data()),
                         [&](ReplicatedRegister& replica, Actions&) { replica.set_peers(all); });
    const TimePoint back = cluster.now;
    std::map<TimePoint, std::uint64_t> newest = {{back - 60s, cluster.newest().number}};    // by when it was
    Duration first{}, behind{};
    while (cluster.now < back + (kLess == 1 ? 12s : 8s)) {
        newest[cluster.now] = cluster.newest().number;
        day.run(kLook);
        const std::uint64_t holds = cluster.nodes[late].replica->committed_entry().number;
        Duration lag{};
        for (const auto& [when, number] : newest)
            if (holds < number) {
                lag = cluster.now - when;
                break;
            }
        if (first == Duration{} && lag <= 1s) first = cluster.now - back;
        if (cluster.now > back + kCatchUp) behind = std::max(behind, lag);
    }
    const auto ms = [](Duration offset) { return offset / 1ms; };
    printf(
        "%zu voters, away for %d, %.0f Mbit/s: caught up after %ld ms, then at most %ld ms behind, %ld ms "
        "queued\n",
        voters, changes.value_or(-1), mbps, ms(first), ms(behind),
        ms(std::max(cluster.link_busy_until[{late, true}], cluster.now) - cluster.now));
    cr_expect(first > Duration{} && first <= kCatchUp);
    cr_expect(behind <= 1s);
}

Test(catch_up, after_changes_that_go_on) {
    const int divisor = static_cast<int>(kLess);
    for (const std::size_t voters : {3, 5})
        for (const double mbps : {2.0, 0.0})
            for (const std::optional<int> changes :
                 {std::optional<int>(1), {300 / divisor}, {3000 / divisor}, std::optional<int>()})
                if (kLess == 1 || (voters == 3 && mbps > 0)) catches_up(7 + voters, voters, changes, mbps);
}

// More than the link carries: it must skip what is overtaken.
Test(catch_up, though_changes_come_faster_than_the_link_carries_them) {
    catches_up(11, 3, {}, 2.0, 100'000, 100ms);
    catches_up(12, 5, {}, 2.0, 60'000, 150ms);
}

Test(catch_up, memory_stays_flat_over_ten_thousand_changes) {
    Cluster cluster(1, 3);
    cluster.join();
    CatchUpScenario day{cluster, 3, 10ms, 500};
    constexpr std::uint64_t kChanges = 10'000 / kLess;
    std::size_t early = 0, late = 0, picture = 0;
    while (cluster.versions < kChanges) {
        day.run(1s);
        day.clear_history();
        std::size_t& maximum = cluster.versions < kChanges / 5 ? early : late;
        maximum = std::max(maximum, allocated());
        for (const auto& node : cluster.nodes)
            picture = std::max(picture, node.replica->describe_state().size());
    }
    printf("%lu changes: heap at most %zu until a fifth, then %zu; the longest state %zu\n", cluster.versions,
           early, late, picture);
    cr_assert_eq(cluster.indeterminate_count, 0);
    cr_assert(late < early + 500'000);
    cr_assert(picture < 20'000);
}

}    // namespace
}    // namespace shaletray::consensus::test
