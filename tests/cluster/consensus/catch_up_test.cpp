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
struct Day {
    World& w;
    std::size_t but;
    Duration gap;
    std::size_t text;
    TimePoint next_change = w.now, next_read = w.now;

    void change() {
        std::size_t by = w.below(w.nodes.size());
        while (by == but || !w.up(by)) by = w.below(w.nodes.size());
        std::string words = std::to_string(w.versions + 1) + ' ';
        words.resize(std::max(text, words.size()), 'x');
        w.propose(by, w.versions + 1, std::move(words));
    }
    void run(Duration more) {
        const TimePoint until = w.now + more;
        while (w.now < until) {
            w.run(std::min({next_change, next_read, until}));
            if (w.now >= next_change) {
                next_change = w.now + gap;
                change();
            }
            if (w.now >= next_read) {
                next_read = w.now + kRead;
                for (std::size_t i = 0; i < w.nodes.size(); ++i)
                    if (w.up(i)) w.confirm(i);
            }
        }
    }
    // What nobody asks about any more.
    void forget() {
        while (w.asked.size() > 512) w.asked.erase(w.asked.begin());
        while (w.chosen.decrees.size() > 64) w.chosen.decrees.erase(w.chosen.decrees.begin());
        while (w.chosen.texts.size() > 64) w.chosen.texts.erase(w.chosen.texts.begin());
    }
};

// Away for `changes`, none: empty and no voter. How far behind it is afterwards, at most.
void catches_up(std::uint64_t seed, std::size_t voters, std::optional<int> changes, double mbps,
                std::size_t text = kText, Duration gap = kChange) {
    World w(seed, voters);
    std::size_t late = 0;
    Day day{w, late, 20ms, 100};
    day.run(500ms);
    if (changes) {
        w.stop(late, true);
        const std::uint64_t upto = w.versions + static_cast<std::uint64_t>(*changes);
        while (w.versions < upto) day.run(day.gap);
        w.run(200ms);
    }
    day.gap = gap;
    day.text = text;
    day.run(2s);
    if (changes) w.start(late);
    else late = day.but = w.join();
    if (mbps > 0) w.mbps[late] = mbps;
    std::vector<std::string> all;
    for (const auto& n : w.nodes) all.push_back(n.address);
    for (const auto& n : w.nodes)
        if (n.lamp)
            w.call(static_cast<std::size_t>(&n - w.nodes.data()), [&](Lamp& l, Actions&) { l.others(all); });
    const TimePoint back = w.now;
    std::map<TimePoint, std::uint64_t> newest = {{back - 60s, w.newest().number}};    // by when it was
    Duration first{}, behind{};
    while (w.now < back + (kLess == 1 ? 12s : 8s)) {
        newest[w.now] = w.newest().number;
        day.run(kLook);
        const std::uint64_t holds = w.nodes[late].lamp->decree().number;
        Duration lag{};
        for (const auto& [when, number] : newest)
            if (holds < number) {
                lag = w.now - when;
                break;
            }
        if (first == Duration{} && lag <= 1s) first = w.now - back;
        if (w.now > back + kCatchUp) behind = std::max(behind, lag);
    }
    const auto ms = [](Duration d) { return d / 1ms; };
    printf(
        "%zu voters, away for %d, %.0f Mbit/s: caught up after %ld ms, then at most %ld ms behind, %ld ms "
        "queued\n",
        voters, changes.value_or(-1), mbps, ms(first), ms(behind),
        ms(std::max(w.busy[{late, true}], w.now) - w.now));
    cr_expect(first > Duration{} && first <= kCatchUp);
    cr_expect(behind <= 1s);
}

Test(catch_up, after_changes_that_go_on) {
    const int less = static_cast<int>(kLess);
    for (const std::size_t voters : {3, 5})
        for (const double mbps : {2.0, 0.0})
            for (const std::optional<int> changes :
                 {std::optional<int>(1), {300 / less}, {3000 / less}, std::optional<int>()})
                if (kLess == 1 || (voters == 3 && mbps > 0)) catches_up(7 + voters, voters, changes, mbps);
}

// More than the link carries: it must skip what is overtaken.
Test(catch_up, though_changes_come_faster_than_the_link_carries_them) {
    catches_up(11, 3, {}, 2.0, 100'000, 100ms);
    catches_up(12, 5, {}, 2.0, 60'000, 150ms);
}

Test(catch_up, memory_stays_flat_over_ten_thousand_changes) {
    World w(1, 3);
    w.join();
    Day day{w, 3, 10ms, 500};
    constexpr std::uint64_t kChanges = 10'000 / kLess;
    std::size_t early = 0, late = 0, picture = 0;
    while (w.versions < kChanges) {
        day.run(1s);
        day.forget();
        std::size_t& most = w.versions < kChanges / 5 ? early : late;
        most = std::max(most, allocated());
        for (const auto& n : w.nodes) picture = std::max(picture, n.lamp->picture().size());
    }
    printf("%lu changes: heap at most %zu until a fifth, then %zu; the longest state %zu\n", w.versions,
           early, late, picture);
    cr_assert_eq(w.unsettled, 0);
    cr_assert(late < early + 500'000);
    cr_assert(picture < 20'000);
}

}    // namespace
}    // namespace shaletray::consensus::test
