// Lighthouses in virtual time: links that delay, lose, repeat and keep back messages, machines that are
// killed, lose power or lose their disks. What must never happen is checked at every step.
#pragma once

#include <criterion/criterion.h>
#include <malloc.h>
#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();    // its header is not always there
#endif

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "cluster/consensus/replicated_register.h"

namespace shaletray::consensus::test {

using namespace std::chrono_literals;

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kLess = 10;    // everything takes so much longer
#else
constexpr std::uint64_t kLess = 1;
#endif

// The voters with `in` in the place of `out`; an emptied disk takes its own place rather than another's.
inline std::vector<Member> replaced(std::vector<Member> voters, const Member& out, const Member& in) {
    const auto itself =
        std::find_if(voters.begin(), voters.end(), [&](const Member& m) { return m.address == in.address; });
    const Member leaves = itself == voters.end() ? out : *itself;
    std::replace(voters.begin(), voters.end(), leaves, in);
    std::sort(voters.begin(), voters.end());
    return voters;
}

inline std::size_t allocated() {    // bytes of the heap
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
#endif
}

struct Register {    // what any lighthouse ever took for chosen
    std::map<std::uint64_t, Decree> decrees;
    std::map<std::uint64_t, std::string> texts;
    std::uint64_t acknowledged = 0;

    // Before anything is answered from a decree that changed the voters, a majority of the new one keeps it.
    template <class Keeps>
    bool may_answer(const Decree& d, Keeps&& keeps) const {
        const auto before = decrees.find(d.number - 1);
        if (d.number == 0 || before == decrees.end() || before->second.voters == d.voters) return true;
        return static_cast<std::size_t>(std::count_if(d.voters.begin(), d.voters.end(), keeps)) >
               d.voters.size() / 2;
    }
    // Of the versions that are remembered: another text was chosen under it.
    bool conflicts(std::uint64_t version, const std::string& text) const {
        const auto it = texts.find(version);
        return it != texts.end() && it->second != text &&
               static_cast<std::size_t>(std::distance(it, texts.end())) <= kMostEarlier + 1;
    }
    std::string take(const Decree& d) {
        if (d.voters.empty()) return {};
        if (decrees.try_emplace(d.number, d).first->second != d) return "two decrees of one number";
        if (texts.try_emplace(d.version, d.text).first->second != d.text) return "two texts of one version";
        const auto next = decrees.upper_bound(d.number);
        if (next != decrees.end() && next->second.version < d.version) return "a version went back";
        return {};
    }
};

struct World {
    struct Node {
        std::string address;
        Saved disk;    // what a loss of power leaves
        std::vector<Actions::Store> unsynced;
        std::optional<Lamp> lamp;
        std::uint64_t life = 0, lives = 0;
        TimePoint back{}, frozen{};
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::uint64_t life = 0;     // of the node it is for; 0: any
        std::uint64_t token = 0;    // a store's; else a message
        std::size_t from = 0;
        std::string bytes;
        bool operator<(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    struct Asked {
        bool proposal = false;
        std::uint64_t version = 0, least = 0;    // least: what had been acknowledged before
        std::string text;
    };

    std::mt19937_64 random;
    TimePoint now = TimePoint{} + 1000s;
    std::vector<Node> nodes;
    std::priority_queue<Event> events;
    std::set<std::pair<std::size_t, std::size_t>> cut;
    std::map<Ticket, Asked> asked;
    std::function<void(Ticket, Answer, const Decree&)> answered;    // whatever the answer
    std::map<Member, std::uint64_t> kept;    // the newest decree that each disk ever held
    Register chosen;
    double lost = 0.0, repeated = 0.0;
    Duration link = 1ms, sync = 2ms, longest_wait = 2s;
    std::map<std::size_t, double> mbps;    // of a node's own link, each way; none: as fast as may be
    std::map<std::pair<std::size_t, bool>, TimePoint> busy;    // until when such a link is, in or out
    std::uint64_t order = 0, tickets = 0, sent = 0, bytes = 0, settled = 0, unsettled = 0, versions = 0;

    explicit World(std::uint64_t seed, std::size_t founders) : random(seed) {
        std::vector<std::string> all;
        for (std::size_t i = 0; i < founders; ++i) all.push_back(name(i));
        for (std::size_t i = 0; i < founders; ++i) {
            nodes.push_back({name(i), {}, {}, {}, 0, 0, {}, {}});
            start(i, all);
        }
    }
    static std::string name(std::size_t i) { return "10.1.0." + std::to_string(i) + ":7100"; }
    std::uint64_t below(std::uint64_t n) { return random() % n; }
    bool chance(double p) { return std::uniform_real_distribution<>()(random) < p; }

    void start(std::size_t i, const std::vector<std::string>& founders = {}) {
        Node& n = nodes[i];
        Settings s;
        s.me = {n.address, n.disk.disk};
        s.founders = founders;
        s.seed = random();
        s.longest_wait = longest_wait;
        kept[{n.address, n.disk.disk}] = n.disk.decree.number;
        n.life = ++order;
        ++n.lives;
        n.lamp.emplace(s, n.disk, now);
        std::vector<std::string> others;
        for (const Node& o : nodes) others.push_back(o.address);
        n.lamp->others(others);
        check(*n.lamp);
    }
    std::size_t join() {    // an empty machine at an address of its own
        nodes.push_back({name(nodes.size()), {}, {}, {}, 0, 0, {}, {}});
        nodes.back().disk.disk = random() | 1;
        start(nodes.size() - 1);
        return nodes.size() - 1;
    }
    // Dead processes leave what they wrote, some of it perhaps not synced; a loss of power only what was.
    void stop(std::size_t i, bool power) {
        Node& n = nodes[i];
        if (!power && !n.unsynced.empty() && chance(0.5)) n.disk = n.unsynced[below(n.unsynced.size())].saved;
        n.unsynced.clear();
        n.lamp.reset();
    }
    void wipe(std::size_t i) {
        stop(i, true);
        nodes[i].disk = {};
        nodes[i].disk.disk = random() | 1;
    }
    void check(const Lamp& lamp) {
        const std::string wrong = chosen.take(lamp.decree());
        cr_assert(wrong.empty(), "%s", wrong.c_str());
    }
    // What is sent through a slow link waits for what was sent before it.
    TimePoint through(std::size_t i, bool in, std::size_t size, TimePoint at) {
        const auto speed = mbps.find(i);
        if (speed == mbps.end()) return at;
        TimePoint& until = busy[{i, in}];
        until =
            std::max(until, at) +
            Duration(static_cast<Duration::rep>(static_cast<double>(size) * 8 / speed->second));    // in us
        return until;
    }
    void carry_out(std::size_t i, Actions& out) {
        Node& n = nodes[i];
        if (out.changed) check(*n.lamp);
        for (Actions::Store& s : out.stores) {
            events.push({now + sync / 2 + Duration(below(static_cast<std::uint64_t>(sync.count()))),
                         ++order,
                         i,
                         n.life,
                         s.token,
                         0,
                         {}});
            n.unsynced.push_back(std::move(s));
        }
        for (const Actions::Send& s : out.sends) {
            ++sent;
            bytes += s.bytes.size();
            const auto to = static_cast<std::size_t>(
                std::find_if(nodes.begin(), nodes.end(), [&](const Node& o) { return o.address == s.to; }) -
                nodes.begin());
            if (to == nodes.size()) continue;
            for (int copies = chance(repeated) ? 2 : 1; copies > 0; --copies) {
                if (chance(lost)) continue;
                Duration delay = link / 2 + Duration(below(static_cast<std::uint64_t>(link.count())));
                if (chance(repeated))
                    delay += Duration(below(3'000'000));    // stale, for a later life perhaps
                const TimePoint left = through(i, false, s.bytes.size(), now);
                const TimePoint come =
                    nodes[to].lamp ? through(to, true, s.bytes.size(), left) : left;    // else to nobody
                events.push({come + delay, ++order, to, 0, 0, i, s.bytes});
            }
        }
        for (const Actions::Done& d : out.done) {
            const Asked& a = asked.at(d.ticket);
            if (answered) answered(d.ticket, d.answer, n.lamp->decree());
            ++(d.answer == Answer::Unsettled ? unsettled : settled);
            if (d.answer == Answer::Unsettled) continue;
            const Decree& held = n.lamp->decree();
            cr_assert(held.version >= a.least, "answered %lu after %lu", held.version, a.least);
            cr_assert(chosen.may_answer(held, [&](const Member& m) {
                const auto found = kept.find(m);
                return found != kept.end() && found->second >= held.number;
            }));
            if (!a.proposal) continue;
            cr_assert(held.version >= a.version);
            const bool same = held.version == a.version && held.text == a.text;
            cr_assert_eq(same, d.answer == Answer::Settled);
            cr_assert_eq(chosen.conflicts(a.version, a.text), d.answer == Answer::Conflict);
            chosen.acknowledged = std::max(chosen.acknowledged, held.version);
        }
    }
    template <class Call>
    void call(std::size_t i, Call&& what) {
        Actions out;
        what(*nodes[i].lamp, out);
        carry_out(i, out);
    }
    void propose(std::size_t i, std::uint64_t version, std::string text, Duration within = 3s) {
        versions = std::max(versions, version);
        asked[++tickets] = {true, version, chosen.acknowledged, text};
        call(i, [&](Lamp& l, Actions& out) { l.propose(tickets, version, text, now + within, now, out); });
    }
    void confirm(std::size_t i, Duration within = 3s) {
        asked[++tickets] = {false, 0, chosen.acknowledged, {}};
        call(i, [&](Lamp& l, Actions& out) { l.quorum_read(tickets, now + within, now, out); });
    }
    bool up(std::size_t i) const { return nodes[i].lamp && nodes[i].frozen <= now; }
    void run(TimePoint until) {
        for (;;) {
            TimePoint at = until;
            std::size_t due = nodes.size();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (!nodes[i].lamp) continue;
                const auto next = nodes[i].lamp->next();
                if (!next || std::max(*next, nodes[i].frozen) >= at) continue;
                at = std::max({*next, nodes[i].frozen, now});
                due = i;
            }
            if (!events.empty() && events.top().at <= at) {
                Event e = events.top();
                events.pop();
                now = std::max(now, e.at);
                if (!nodes[e.node].lamp || (e.life != 0 && e.life != nodes[e.node].life)) continue;
                if (!up(e.node)) {    // it wakes to find it
                    e.at = nodes[e.node].frozen;
                    e.order = ++order;
                    events.push(std::move(e));
                } else if (e.token != 0) {
                    Node& n = nodes[e.node];
                    while (!n.unsynced.empty() && n.unsynced.front().token <= e.token) {
                        n.disk = std::move(n.unsynced.front().saved);
                        n.unsynced.erase(n.unsynced.begin());
                    }
                    kept[{n.address, n.disk.disk}] = n.disk.decree.number;
                    call(e.node, [&](Lamp& l, Actions& out) { l.stored(e.token, now, out); });
                } else if (!cut.contains({e.from, e.node}))
                    call(e.node,
                         [&](Lamp& l, Actions& out) { l.heard(nodes[e.from].address, e.bytes, now, out); });
                continue;
            }
            now = at;
            if (due == nodes.size()) return;
            call(due, [&](Lamp& l, Actions& out) { l.tick(now, out); });
        }
    }
    void run(Duration more) { run(now + more); }
    const Decree& newest() const { return chosen.decrees.rbegin()->second; }
};

}    // namespace shaletray::consensus::test
