// Three lighthouses and a few steps in every order: messages overtake each other, stay away and come twice,
// writes take as long as they like, processes die with and without what they had not synced, a disk is
// emptied and voted in again. A message that is lost is one that is never delivered.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <unordered_set>

#include "cluster/consensus/message.h"
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

struct Budget {
    int proposals = 1, confirms = 0, ticks = 0, kills = 0, powers = 0, wipes = 0, twice = 0, replaced = 0;
    std::uint64_t second = 2;    // version of the second proposal
    bool slow = true;            // disks take their time; else what is stored is so at once
    bool again = false;          // both are 0's, whose disk hangs until it loses power, the second after that
    bool told = true;            // else who decides tells nobody
    bool reads = true;           // else all questions to the others are lost
    bool settled = false;        // begin with a first version that all hold
    bool joins = false;    // a fourth, empty machine runs from the start, and is to vote in the third's place
    int ends = 0;          // the third may end for good, its disk with it
};
constexpr std::size_t kNodes = 4;
struct Node {
    Lamp lamp;
    Saved disk;    // what a loss of power leaves
    std::vector<Actions::Store> unsynced;
    TimePoint now;
    std::uint64_t picture = 0;
};
struct Mail {
    std::size_t from, to;
    std::uint64_t hash;
    std::shared_ptr<const std::string> bytes;
    bool operator<(const Mail& o) const { return std::tie(from, to, hash) < std::tie(o.from, o.to, o.hash); }
};
struct State {
    std::array<std::shared_ptr<const Node>, kNodes> nodes;    // none: not there, or no more
    std::vector<Mail> mail;
    Budget left;
    Register chosen;
    std::vector<std::uint64_t> asked;    // by ticket: what had been acknowledged before
    std::uint64_t lives = 3;
};

std::uint64_t hash(const std::string& s) { return std::hash<std::string>{}(s); }

std::string picture(const Saved& s) {
    std::string out = std::to_string(s.disk) + ' ' + std::to_string(s.decree.number) + s.decree.text +
                      std::to_string(s.decree.voters.size()) + ' ' + std::to_string(s.promised.round) +
                      s.promised.proposer + std::to_string(s.accepted.round) + s.accepted.proposer;
    return s.pending ? out + 'p' + std::to_string(s.pending->version) + s.pending->text : out;
}

class Explorer {
public:
    explicit Explorer(const Budget& budget) {
        State s;
        s.left = {.slow = false};
        if (budget.joins) {
            Saved empty;
            empty.disk = kNewcomer;
            s.nodes[3] = std::make_shared<const Node>(life(3, empty, 3));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            Node n = life(i, {}, i, true);
            Actions out;
            n.lamp.tick(n.now, out);
            carry_out(s, i, n, out);
        }
        push(std::move(s));
        // One way to where all hold the first version; or the beginning.
        while (budget.settled && (!open_.back().mail.empty() || open_.back().chosen.acknowledged == 0)) {
            const State last = std::move(open_.back());
            open_.pop_back();
            follow(last);
        }
        State first = open_.back();
        open_.clear();
        seen_.clear();
        first.left = budget;
        push(std::move(first));
    }
    std::size_t run(std::size_t most) {
        while (!open_.empty() && seen_.size() < most) {
            const State s = std::move(open_.back());
            open_.pop_back();
            follow(s);
        }
        return seen_.size();
    }
    bool exhausted() const { return open_.empty(); }

private:
    static constexpr std::uint64_t kEmptied = 77, kNewcomer = 88;    // disks
    static Node life(std::size_t i, const Saved& disk, std::uint64_t seed, bool founds = false) {
        Settings settings;
        settings.me = {World::name(i), disk.disk};
        settings.seed = seed;
        const std::vector<std::string> all{World::name(0), World::name(1), World::name(2)};
        if (founds) settings.founders = all;
        const TimePoint now = TimePoint{} + 1000s;
        Node n{Lamp(settings, disk, now), disk, {}, now, 0};
        std::vector<std::string> others = all;
        others.push_back(World::name(3));
        n.lamp.others(others);
        return n;
    }
    void carry_out(State& s, std::size_t i, Node& n, Actions& out) {
        const bool hangs = s.left.again && i == 0 && s.lives == 3;
        while (!s.left.slow && !hangs && !out.stores.empty()) {
            const auto stores = std::exchange(out.stores, {});
            n.disk = stores.back().saved;
            n.lamp.stored(stores.back().token, n.now, out);
        }
        for (auto& store : out.stores) n.unsynced.push_back(std::move(store));
        for (auto& send : out.sends) {
            const auto kind = decode(send.bytes).value().kind;
            if (kind == Message::Kind::Kept || (!s.left.told && kind == Message::Kind::Notice) ||
                (!s.left.reads && kind == Message::Kind::Ask))
                continue;
            const auto to = static_cast<std::size_t>(send.to[7] - '0');
            if (to != i && !s.nodes[to]) continue;
            s.mail.push_back(
                {i, to, hash(send.bytes), std::make_shared<const std::string>(std::move(send.bytes))});
        }
        std::sort(s.mail.begin(), s.mail.end());
        const std::string wrong = s.chosen.take(n.lamp.decree());
        cr_assert(wrong.empty(), "%s", wrong.c_str());
        for (const auto& d : out.done) {
            if (d.answer == Answer::Unsettled) continue;
            const std::uint64_t held = n.lamp.decree().version;
            cr_assert(held >= s.asked.at(d.ticket - 1), "answered with %lu after %lu", held,
                      s.asked.at(d.ticket - 1));
            cr_assert(s.chosen.may_answer(n.lamp.decree(), [&](const Member& m) {
                for (std::size_t o = 0; o < kNodes; ++o) {
                    if (o != i && !s.nodes[o]) continue;
                    const Saved& disk = o == i ? n.disk : s.nodes[o]->disk;
                    if (m == Member{World::name(o), disk.disk})
                        return disk.decree.number >= n.lamp.decree().number;
                }
                return false;
            }));
            s.chosen.acknowledged = std::max(s.chosen.acknowledged, held);
        }
        std::string text = n.lamp.picture() + picture(n.disk);
        for (const auto& store : n.unsynced) text += picture(store.saved);
        n.picture = hash(text);
        s.nodes[i] = std::make_shared<const Node>(std::move(n));
    }
    void push(State s) {
        std::string all;
        const auto add = [&all](std::uint64_t x) { all.append(reinterpret_cast<const char*>(&x), sizeof x); };
        for (const auto& n : s.nodes) add(n ? n->picture : 0);
        for (const Mail& m : s.mail) add(m.hash ^ m.to << 3 ^ m.from);
        const Budget& b = s.left;
        for (const int x :
             {b.proposals, b.confirms, b.ticks, b.kills, b.powers, b.wipes, b.twice, b.replaced, b.ends})
            add(static_cast<std::uint64_t>(x));
        add(s.chosen.acknowledged);
        for (const std::uint64_t least : s.asked) add(least);
        for (const auto& [number, d] : s.chosen.decrees) add(number ^ hash(d.text) ^ d.voters.size() << 20);
        if (!seen_.insert(hash(all)).second) return;
        if (s.chosen.acknowledged > 0) survives(s);
        open_.push_back(std::move(s));
    }
    // What was acknowledged is found again on the disks that are left, though one more be lost with all
    // power; the old voters bear that loss alone until a change of them is kept by a majority of the new.
    static void survives(const State& s) {
        const auto member = [&](const Decree& d, std::size_t i) {
            if (!s.nodes[i]) return false;
            const Member me{World::name(i), s.nodes[i]->disk.disk};
            return std::find(d.voters.begin(), d.voters.end(), me) != d.voters.end();
        };
        const Decree& newest = s.chosen.decrees.rbegin()->second;
        std::size_t members = 0, keep = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            members += member(newest, i);
            keep += member(newest, i) && s.nodes[i]->disk.decree.number == newest.number;
        }
        const bool whole = members == 3 && (newest.voters.back().disk == 0 || keep >= 2);
        for (std::size_t lost = whole ? 0 : kNodes; lost <= kNodes; ++lost) {
            Decree best;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (!s.nodes[i]) continue;
                const Decree& d = s.nodes[i]->disk.decree;
                if (i != lost && !d.voters.empty() && (best.voters.empty() || d.number > best.number))
                    best = d;
            }
            std::size_t votes = 0;
            const Saved* pending = nullptr;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (i == lost || !member(best, i)) continue;
                const Saved& d = s.nodes[i]->disk;
                ++votes;
                if (d.decree.number == best.number && d.pending &&
                    (!pending || pending->accepted < d.accepted))
                    pending = &d;
            }
            const std::uint64_t found = votes < 2 ? 0 : pending ? pending->pending->version : best.version;
            cr_assert(found >= s.chosen.acknowledged, "%lu of %lu is left without %zu", found,
                      s.chosen.acknowledged, lost);
        }
    }
    template <class Call>
    void step(const State& from, std::size_t i, Call&& what) {
        State s = from;
        Node n = *s.nodes[i];
        Actions out;
        what(s, n, out);
        carry_out(s, i, n, out);
        push(std::move(s));
    }
    void start_anew(const State& from, std::size_t i, const Saved& disk, int Budget::*cost) {
        step(from, i, [&](State& s, Node& n, Actions& out) {
            --(s.left.*cost);
            n = life(i, disk, s.lives++);
            n.lamp.tick(n.now, out);
        });
    }
    void follow(const State& s) {
        for (std::size_t k = 0; k < s.mail.size(); ++k) {
            if (k > 0 && !(s.mail[k - 1] < s.mail[k])) continue;    // a copy
            for (int again = 0; again <= (s.left.twice > 0 ? 1 : 0); ++again)
                step(s, s.mail[k].to, [&](State& next, Node& n, Actions& out) {
                    const Mail m = next.mail[k];
                    if (again) --next.left.twice;
                    else next.mail.erase(next.mail.begin() + static_cast<std::ptrdiff_t>(k));
                    n.lamp.heard(World::name(m.from), *m.bytes, n.now, out);
                });
        }
        for (std::size_t i = 0; i < kNodes; ++i) {
            if (!s.nodes[i]) continue;
            const Node& node = *s.nodes[i];
            if (!node.unsynced.empty() && s.left.slow)
                step(s, i, [](State&, Node& n, Actions& out) {
                    n.disk = n.unsynced.front().saved;
                    const std::uint64_t token = n.unsynced.front().token;
                    n.unsynced.erase(n.unsynced.begin());
                    n.lamp.stored(token, n.now, out);
                });
            if (s.left.ticks > 0 && node.lamp.next())
                step(s, i, [](State& next, Node& n, Actions& out) {
                    --next.left.ticks;
                    n.now = std::max(n.now, *n.lamp.next());
                    n.lamp.tick(n.now, out);
                });
            if (s.left.confirms > 0)
                step(s, i, [](State& next, Node& n, Actions& out) {
                    --next.left.confirms;
                    next.asked.push_back(next.chosen.acknowledged);
                    n.lamp.quorum_read(next.asked.size(), n.now + 1h, n.now, out);
                });
            if (s.left.powers > 0 && (!s.left.again || i == 0)) start_anew(s, i, node.disk, &Budget::powers);
            if (s.left.kills > 0 && !node.unsynced.empty())
                start_anew(s, i, node.unsynced.back().saved, &Budget::kills);
            if (s.left.wipes > 0 && i == 2) {
                Saved empty;
                empty.disk = kEmptied;
                start_anew(s, i, empty, &Budget::wipes);
            }
        }
        if (s.left.proposals > 0 && (s.asked.empty() || !s.left.again || s.lives > 3)) {
            const bool first = s.asked.empty();
            const std::size_t by = first || s.left.again ? 0 : 1;
            step(s, by, [&](State& next, Node& n, Actions& out) {
                --next.left.proposals;
                next.asked.push_back(next.chosen.acknowledged);
                n.lamp.propose(next.asked.size(), first ? 1 : s.left.second, first ? "a" : "b", n.now + 1h,
                               n.now, out);
            });
        }
        if (s.left.ends > 0 && s.nodes[2]) {
            State next = s;
            --next.left.ends;
            next.nodes[2].reset();
            std::erase_if(next.mail, [](const Mail& m) { return m.to == 2; });
            push(std::move(next));
        }
        const bool emptied = s.nodes[2] && s.nodes[2]->disk.disk == kEmptied;
        if (s.left.replaced > 0 && (emptied || s.left.joins))
            step(s, 1, [&](State& next, Node& n, Actions& out) {
                --next.left.replaced;
                const Member in =
                    emptied ? Member{World::name(2), kEmptied} : Member{World::name(3), kNewcomer};
                const auto to = replaced(n.lamp.decree().voters, {World::name(2), 0}, in);
                n.lamp.change_voters(n.lamp.decree().voters, to, n.now, out);
            });
    }

    std::vector<State> open_;
    std::unordered_set<std::uint64_t> seen_;
};

void explore(const char* what, const Budget& budget) {
    const char* more = std::getenv("LAMP_STATES");
    const std::size_t most = more ? std::strtoull(more, nullptr, 10) : 300'000 / (kLess * kLess);
    Explorer explorer(budget);
    const std::size_t states = explorer.run(most);
    printf("%s: %zu states%s\n", what, states, explorer.exhausted() ? ", all" : "");
    cr_assert(states > 1000 && (explorer.exhausted() || states >= most));
}

Test(explore, a_reader) {
    explore("reader", {.proposals = 1, .confirms = 1, .slow = false, .told = false});
    explore("reader of the second",
            {.proposals = 1, .confirms = 1, .slow = false, .told = false, .settled = true});
}
Test(explore, dead_processes) {
    explore("losses of power", {.proposals = 1, .powers = 2, .told = false});
    explore("a loss of power, told", {.proposals = 1, .powers = 1});
    explore("a kill, a loss of power", {.proposals = 1, .kills = 1, .powers = 1, .told = false});
    explore("copies", {.proposals = 1, .powers = 1, .twice = 2, .told = false});
    explore("timers", {.proposals = 1, .ticks = 2, .powers = 1, .slow = false, .told = false});
}
Test(explore, another_life_with_another_value) {
    explore("another life",
            {.proposals = 2, .powers = 1, .slow = false, .again = true, .told = false, .reads = false});
}
Test(explore, two_operators) {
    explore("two versions", {.proposals = 2, .slow = false, .told = false, .reads = false});
    explore("one version", {.proposals = 2, .second = 1, .slow = false, .told = false});
}
Test(explore, an_emptied_disk) {
    explore("emptied", {.proposals = 1, .wipes = 1});
    explore("emptied, power lost", {.proposals = 1, .powers = 1, .wipes = 1, .told = false, .settled = true});
    explore("voted in",
            {.proposals = 0, .powers = 1, .wipes = 1, .replaced = 1, .slow = false, .settled = true});
    explore("voted in, untold",
            {.proposals = 0, .powers = 1, .wipes = 1, .replaced = 1, .told = false, .settled = true});
    explore("voted in, a proposal",
            {.proposals = 1, .wipes = 1, .replaced = 1, .slow = false, .told = false, .settled = true});
}
Test(explore, one_replaced_by_an_empty_machine) {
    explore("replaced",
            {.proposals = 0, .replaced = 1, .slow = false, .settled = true, .joins = true, .ends = 1});
    explore("replaced, power lost", {.proposals = 0,
                                     .powers = 1,
                                     .replaced = 1,
                                     .slow = false,
                                     .told = false,
                                     .settled = true,
                                     .joins = true,
                                     .ends = 1});
    explore("replaced, a proposal", {.proposals = 1,
                                     .replaced = 1,
                                     .slow = false,
                                     .told = false,
                                     .settled = true,
                                     .joins = true,
                                     .ends = 1});
}

}    // namespace
}    // namespace shaletray::consensus::test
