// What a pilot makes of the lighthouses' words, lost, late, twice and from several at a time.
#include "gateway/control_plane_client.h"

#include <criterion/criterion.h>

#include <random>

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::gateway;

const TimePoint kStart = TimePoint{} + 100s;

configuration::Chart chart_of(std::uint64_t version) {
    configuration::Chart c;
    c.version = version;
    configuration::Route r;
    r.name = "r" + std::to_string(version % 5);
    r.hostname = "a.example";
    r.path_prefix = "/p" + std::to_string(version) + "/";
    r.timeout = 1s;
    r.to = {{"s", 1}};
    c.routes = {r};
    c.services = {{"s", "/health", 10}};
    return c;
}

struct Lighthouse {
    std::uint64_t life = 7, version = 0, sequence = 0;
    bool confirmed = true;

    // What it would say to someone who has `have`: a patch where that is the chart before, the whole else.
    std::string news(const subscription::Have& have, std::uint64_t held_before) const {
        subscription::News n;
        n.life = life;
        n.confirmed = confirmed;
        n.version = version;
        n.since = have.known_life == life ? have.known_sequence : 0;
        n.sequence = sequence;
        if (have.version < version && version > 0)
            n.update = have.version == held_before && have.version > 0
                           ? configuration::write_patch(chart_of(have.version), chart_of(version))
                           : configuration::write_whole(chart_of(version));
        return subscription::encode(n);
    }
};

Lookout lookout() {
    Lookout::Settings s;
    s.me = "10.0.0.1:7101";
    s.life = 3;
    return Lookout(s);
}

subscription::Have said(const Lookout::Actions& out, const std::string& to) {
    for (const auto& send : out.sends) {
        if (send.to != to) continue;
        auto have = subscription::decode_have(send.bytes);
        cr_assert(have.has_value());
        return *have;
    }
    cr_assert(false, "nothing was said to %s", to.c_str());
    return {};
}

}    // namespace

Test(lookout, is_caught_up_by_a_word_that_a_majority_bore_out) {
    Lookout l = lookout();
    l.lighthouses({"a"}, {});
    Lookout::Actions out;
    l.tick(kStart, 1, out);
    Lighthouse a{.version = 4, .confirmed = false};
    l.heard("a", 7, a.news(said(out, "a"), 0), kStart, out);
    cr_assert(out.chart_changed && !l.caught_up(), "it may be old");
    Lookout::Actions again;
    l.tick(kStart + 500ms, 1, again);
    cr_assert(said(again, "a").version == 4);
    a.confirmed = true;
    l.heard("a", 7, a.news(said(again, "a"), 4), kStart + 510ms, again);
    cr_assert(l.caught_up() && !again.chart_changed);
}

Test(lookout, a_chart_never_goes_back) {
    Lookout l = lookout();
    l.lighthouses({"a", "b"}, {});
    Lookout::Actions out;
    l.tick(kStart, 1, out);
    l.heard("a", 7, Lighthouse{.version = 9}.news({}, 0), kStart, out);
    cr_assert(l.table()->chart().version == 9);
    Lookout::Actions later;
    l.heard("b", 7, Lighthouse{.version = 8}.news({}, 0), kStart + 1ms, later);
    cr_assert(l.table()->chart().version == 9 && !later.chart_changed);
}

Test(lookout, a_patch_to_something_else_is_refused_and_the_whole_asked_for) {
    Lookout l = lookout();
    l.lighthouses({"a"}, {});
    Lookout::Actions out;
    l.tick(kStart, 1, out);
    l.heard("a", 7, Lighthouse{.version = 2}.news({}, 0), kStart, out);
    subscription::News n;
    n.life = 7;
    n.version = 6;
    n.update = configuration::write_patch(chart_of(5), chart_of(6));
    Lookout::Actions refused;
    l.heard("a", 7, subscription::encode(n), kStart + 1s, refused);
    cr_assert(l.table()->chart().version == 2 && !refused.chart_changed);
    cr_assert(said(refused, "a").version == 0, "at once, as one that has nothing");
    Lookout::Actions healed;
    l.heard("a", 7, Lighthouse{.version = 6}.news(said(refused, "a"), 0), kStart + 2s, healed);
    cr_assert(healed.chart_changed && l.table()->chart().version == 6);
}

Test(lookout, another_lighthouse_is_watched_in_the_place_of_a_silent_one) {
    Lookout l = lookout();
    l.lighthouses({"a", "b", "c", "d", "e"}, {});
    Lookout::Actions out;
    l.tick(kStart, 1, out);
    cr_assert(out.sends.size() == 3);
    std::set<std::string> ever;
    for (TimePoint now = kStart; now < kStart + 10s; now += 500ms) {
        Lookout::Actions step;
        l.tick(now, 1, step);
        for (const auto& send : step.sends) {
            ever.insert(send.to);
            if (send.to != "a" && send.to != "b") continue;    // the others are dead
            Lookout::Actions answer;
            l.heard(send.to, 7, Lighthouse{.version = 1}.news({}, 0), now + 1ms, answer);
        }
        if (now < kStart + 8s) continue;
        std::set<std::string> watched;
        for (const auto& send : step.sends) watched.insert(send.to);
        cr_assert(watched.contains("a") && watched.contains("b"));
    }
    cr_assert(ever.size() == 5);
}

// Four of nine lighthouses are cut off from the others and answer on; whichever this pilot watches, it comes
// to what the majority says, and not back when it watches a cut-off one again.
Test(lookout, a_lighthouse_without_its_majority_is_not_taken_for_current) {
    for (int me = 0; me < 40; ++me) {
        Lookout::Settings s;
        s.me = "10.0.0." + std::to_string(me) + ":7101";
        s.life = 3;
        Lookout l(s);
        std::map<std::string, Lighthouse> houses;
        std::vector<std::string> names;
        for (char c = 'a'; c <= 'i'; ++c) {
            names.emplace_back(1, c);
            houses[names.back()] = Lighthouse{.version = 4};
        }
        l.lighthouses(names, {});
        const auto run = [&](TimePoint from, Duration length) {
            for (TimePoint now = from; now < from + length; now += 100ms) {
                Lookout::Actions step;
                l.tick(now, 1, step);
                for (const auto& send : step.sends) {
                    Lookout::Actions answer;
                    const auto have = subscription::decode_have(send.bytes);
                    l.heard(send.to, 7, houses[send.to].news(*have, 0), now, answer);
                }
            }
        };
        run(kStart, 3s);
        cr_assert(l.caught_up() && l.confirmed(kStart + 3s, 1s).size() == 3);
        for (const std::string& name : names) {
            if (name <= "d") houses[name].confirmed = false;
            else houses[name].version = 5;
        }
        run(kStart + 3s, 5s);
        cr_assert(l.table()->chart().version == 5, "pilot %d stays with those that are cut off", me);
        run(kStart + 8s, 5s);
        cr_assert(!l.confirmed(kStart + 13s, 3s).empty() && l.table()->chart().version == 5);
        for (const std::string& name : l.confirmed(kStart + 13s, 3s)) cr_assert(name > "d");
        for (const std::string& name : names) houses[name].confirmed = false;
        run(kStart + 13s, 4s);
        cr_assert(l.confirmed(kStart + 17s, 3s).empty() && l.table()->chart().version == 5);
    }
}

// Any order, loss and repetition of words leads to the newest chart, one by one upwards.
Test(lookout, comes_to_the_newest_chart_whatever_is_lost) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        Lookout l = lookout();
        l.lighthouses({"a", "b", "c"}, {});
        std::map<std::string, Lighthouse> houses{{"a", {}}, {"b", {}}, {"c", {}}};
        std::vector<std::pair<std::string, std::string>> under_way;
        std::uint64_t version = 0, held = 0;
        TimePoint now = kStart;
        for (int step = 0; step < 300; ++step) {
            now += 20ms;
            if (step < 250 && random() % 10 == 0) ++version;
            for (auto& [name, house] : houses) {
                if (random() % 3 == 0) house.version = version;
                if (step < 250 && random() % 60 == 0) ++house.life, house.sequence = 0;
            }
            Lookout::Actions out;
            l.tick(now, 1, out);
            if (!under_way.empty() && random() % 2 == 0) {
                const std::size_t at = random() % under_way.size();
                const auto [from, bytes] = under_way[at];
                const auto news = subscription::decode_news(bytes);
                l.heard(from, news->life, bytes, now, out);
                if (random() % 3 != 0) under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(at));
            }
            for (const auto& send : out.sends) {
                const auto have = subscription::decode_have(send.bytes);
                if (step > 250 || random() % 2 == 0)
                    under_way.emplace_back(send.to,
                                           houses[send.to].news(*have, random() % 2 ? have->version : 0));
            }
            const std::uint64_t now_held = l.table() ? l.table()->chart().version : 0;
            cr_assert(now_held >= held, "seed %u went back", seed);
            held = now_held;
        }
        for (int step = 0; step < 10; ++step) {
            now += 500ms;
            Lookout::Actions out, more;
            l.tick(now, 1, out);
            for (const auto& send : out.sends) {
                houses[send.to].version = version;
                l.heard(send.to, houses[send.to].life,
                        houses[send.to].news(*subscription::decode_have(send.bytes), 0), now, more);
            }
        }
        cr_assert(version == 0 || (l.caught_up() && l.table()->chart() == chart_of(version)), "seed %u",
                  seed);
    }
}
