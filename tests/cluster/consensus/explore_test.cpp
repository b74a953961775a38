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
    ReplicatedRegister replica;
    PersistentState persisted_state;    // what a loss of power leaves
    std::vector<Actions::StateWrite> unsynced;
    TimePoint now;
    std::uint64_t picture = 0;
};
struct MessageInFlight {
    std::size_t from, to;
    std::uint64_t hash;
    std::shared_ptr<const std::string> bytes;
    bool operator<(const MessageInFlight& message) const {
        return std::tie(from, to, hash) < std::tie(message.from, message.to, message.hash);
    }
};
struct State {
    std::array<std::shared_ptr<const Node>, kNodes> nodes;    // none: not there, or no more
    std::vector<MessageInFlight> mail;
    Budget left;
    Register committed;
    std::vector<std::uint64_t> asked;    // by ticket: what had been acknowledged before
    std::uint64_t incarnations = 3;
};

std::uint64_t hash(const std::string& s) { return std::hash<std::string>{}(s); }

std::string picture(const PersistentState& state) {
    std::string out = std::to_string(state.disk_id) + ' ' + std::to_string(state.committed.number) +
                      state.committed.text + std::to_string(state.committed.voters.size()) + ' ' +
                      std::to_string(state.promised_ballot.round) + state.promised_ballot.proposer +
                      std::to_string(state.accepted_ballot.round) + state.accepted_ballot.proposer;
    return state.accepted_entry
               ? out + 'p' + std::to_string(state.accepted_entry->version) + state.accepted_entry->text
               : out;
}

class Explorer {
public:
    explicit Explorer(const Budget& budget) {
        State state;
        state.left = {.slow = false};
        if (budget.joins) {
            PersistentState empty;
            empty.disk_id = kNewcomer;
            state.nodes[3] = std::make_shared<const Node>(life(3, empty, 3));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            Node node = life(i, {}, i, true);
            Actions actions;
            node.replica.tick(node.now, actions);
            apply_actions(state, i, node, actions);
        }
        push(std::move(state));
        // One way to where all hold the first version; or the beginning.
        while (budget.settled && (!open_.back().mail.empty() || open_.back().committed.acknowledged == 0)) {
            const State last = std::move(open_.back());
            open_.pop_back();
            explore_successors(last);
        }
        State first = open_.back();
        open_.clear();
        seen_.clear();
        first.left = budget;
        push(std::move(first));
    }
    std::size_t run(std::size_t maximum) {
        while (!open_.empty() && seen_.size() < maximum) {
            const State state = std::move(open_.back());
            open_.pop_back();
            explore_successors(state);
        }
        return seen_.size();
    }
    bool exhausted() const { return open_.empty(); }

private:
    static constexpr std::uint64_t kEmptied = 77, kNewcomer = 88;    // disks
    static Node life(std::size_t i, const PersistentState& disk, std::uint64_t seed,
                     bool is_founder = false) {
        Settings settings;
        settings.self = {Cluster::name(i), disk.disk_id};
        settings.seed = seed;
        const std::vector<std::string> all{Cluster::name(0), Cluster::name(1), Cluster::name(2)};
        if (is_founder) settings.founders = all;
        const TimePoint now = TimePoint{} + 1000s;
        Node node{ReplicatedRegister(settings, disk, now), disk, {}, now, 0};
        std::vector<std::string> others = all;
        others.push_back(Cluster::name(3));
        node.replica.set_peers(others);
        return node;
    }
    void apply_actions(State& state, std::size_t i, Node& node, Actions& actions) {
        const bool hangs = state.left.again && i == 0 && state.incarnations == 3;
        while (!state.left.slow && !hangs && !actions.writes.empty()) {
            const auto stores = std::exchange(actions.writes, {});
            node.persisted_state = stores.back().state;
            node.replica.on_stored(stores.back().token, node.now, actions);
        }
        for (auto& store : actions.writes) node.unsynced.push_back(std::move(store));
        for (auto& send : actions.messages) {
            const auto kind = decode(send.bytes).value().kind;
            if (kind == Message::Kind::CommitAck || (!state.left.told && kind == Message::Kind::Commit) ||
                (!state.left.reads && kind == Message::Kind::ReadRequest))
                continue;
            const auto to = static_cast<std::size_t>(send.to[7] - '0');
            if (to != i && !state.nodes[to]) continue;
            state.mail.push_back(
                {i, to, hash(send.bytes), std::make_shared<const std::string>(std::move(send.bytes))});
        }
        std::sort(state.mail.begin(), state.mail.end());
        const std::string error = state.committed.record_entry(node.replica.committed_entry());
        cr_assert(error.empty(), "%s", error.c_str());
        for (const auto& completion : actions.completions) {
            if (completion.outcome == Outcome::Indeterminate) continue;
            const std::uint64_t held = node.replica.committed_entry().version;
            cr_assert(held >= state.asked.at(completion.request_id - 1), "answered with %lu after %lu", held,
                      state.asked.at(completion.request_id - 1));
            cr_assert(state.committed.may_answer(node.replica.committed_entry(), [&](const Replica& replica) {
                for (std::size_t o = 0; o < kNodes; ++o) {
                    if (o != i && !state.nodes[o]) continue;
                    const PersistentState& disk =
                        o == i ? node.persisted_state : state.nodes[o]->persisted_state;
                    if (replica == Replica{Cluster::name(o), disk.disk_id})
                        return disk.committed.number >= node.replica.committed_entry().number;
                }
                return false;
            }));
            state.committed.acknowledged = std::max(state.committed.acknowledged, held);
        }
        std::string text = node.replica.describe_state() + picture(node.persisted_state);
        for (const auto& store : node.unsynced) text += picture(store.state);
        node.picture = hash(text);
        state.nodes[i] = std::make_shared<const Node>(std::move(node));
    }
    void push(State state) {
        std::string all;
        const auto add = [&all](std::uint64_t x) { all.append(reinterpret_cast<const char*>(&x), sizeof x); };
        for (const auto& n : state.nodes) add(n ? n->picture : 0);
        for (const MessageInFlight& message : state.mail) add(message.hash ^ message.to << 3 ^ message.from);
        const Budget& b = state.left;
        for (const int x :
             {b.proposals, b.confirms, b.ticks, b.kills, b.powers, b.wipes, b.twice, b.replaced, b.ends})
            add(static_cast<std::uint64_t>(x));
        add(state.committed.acknowledged);
        for (const std::uint64_t least : state.asked) add(least);
        for (const auto& [number, d] : state.committed.entries)
            add(number ^ hash(d.text) ^ d.voters.size() << 20);
        if (!seen_.insert(hash(all)).second) return;
        if (state.committed.acknowledged > 0) survives(state);
        open_.push_back(std::move(state));
    }
    // What was acknowledged is found again on the disks that are left, though one more be lost with all
    // power; the old voters bear that loss alone until a change of them is kept by a majority of the new.
    static void survives(const State& state) {
        const auto member = [&](const LogEntry& d, std::size_t i) {
            if (!state.nodes[i]) return false;
            const Replica replica{Cluster::name(i), state.nodes[i]->persisted_state.disk_id};
            return std::find(d.voters.begin(), d.voters.end(), replica) != d.voters.end();
        };
        const LogEntry& newest = state.committed.entries.rbegin()->second;
        std::size_t members = 0, keep = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            members += member(newest, i);
            keep += member(newest, i) && state.nodes[i]->persisted_state.committed.number == newest.number;
        }
        const bool complete = members == 3 && (newest.voters.back().disk_id == 0 || keep >= 2);
        for (std::size_t lost = complete ? 0 : kNodes; lost <= kNodes; ++lost) {
            LogEntry best;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (!state.nodes[i]) continue;
                const LogEntry& entry = state.nodes[i]->persisted_state.committed;
                if (i != lost && !entry.voters.empty() && (best.voters.empty() || entry.number > best.number))
                    best = entry;
            }
            std::size_t votes = 0;
            const PersistentState* pending = nullptr;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (i == lost || !member(best, i)) continue;
                const PersistentState& entry = state.nodes[i]->persisted_state;
                ++votes;
                if (entry.committed.number == best.number && entry.accepted_entry &&
                    (!pending || pending->accepted_ballot < entry.accepted_ballot))
                    pending = &entry;
            }
            const std::uint64_t found = votes < 2 ? 0
                                        : pending ? pending->accepted_entry->version
                                                  : best.version;
            cr_assert(found >= state.committed.acknowledged, "%lu of %lu is left without %zu", found,
                      state.committed.acknowledged, lost);
        }
    }
    template <class Call>
    void step(const State& from, std::size_t i, Call&& action) {
        State state = from;
        Node node = *state.nodes[i];
        Actions actions;
        action(state, node, actions);
        apply_actions(state, i, node, actions);
        push(std::move(state));
    }
    void restart_node(const State& from, std::size_t i, const PersistentState& disk, int Budget::*cost) {
        step(from, i, [&](State& state, Node& node, Actions& actions) {
            --(state.left.*cost);
            node = life(i, disk, state.incarnations++);
            node.replica.tick(node.now, actions);
        });
    }
    void explore_successors(const State& state) {
        for (std::size_t k = 0; k < state.mail.size(); ++k) {
            if (k > 0 && !(state.mail[k - 1] < state.mail[k])) continue;    // a copy
            for (int again = 0; again <= (state.left.twice > 0 ? 1 : 0); ++again)
                step(state, state.mail[k].to, [&](State& next, Node& n, Actions& actions) {
                    const MessageInFlight message = next.mail[k];
                    if (again) --next.left.twice;
                    else next.mail.erase(next.mail.begin() + static_cast<std::ptrdiff_t>(k));
                    n.replica.on_message(Cluster::name(message.from), *message.bytes, n.now, actions);
                });
        }
        for (std::size_t i = 0; i < kNodes; ++i) {
            if (!state.nodes[i]) continue;
            const Node& node = *state.nodes[i];
            if (!node.unsynced.empty() && state.left.slow)
                step(state, i, [](State&, Node& n, Actions& actions) {
                    n.persisted_state = n.unsynced.front().state;
                    const std::uint64_t token = n.unsynced.front().token;
                    n.unsynced.erase(n.unsynced.begin());
                    n.replica.on_stored(token, n.now, actions);
                });
            if (state.left.ticks > 0 && node.replica.next_deadline())
                step(state, i, [](State& next, Node& n, Actions& actions) {
                    --next.left.ticks;
                    n.now = std::max(n.now, *n.replica.next_deadline());
                    n.replica.tick(n.now, actions);
                });
            if (state.left.confirms > 0)
                step(state, i, [](State& next, Node& n, Actions& actions) {
                    --next.left.confirms;
                    next.asked.push_back(next.committed.acknowledged);
                    n.replica.quorum_read(next.asked.size(), n.now + 1h, n.now, actions);
                });
            if (state.left.powers > 0 && (!state.left.again || i == 0))
                restart_node(state, i, node.persisted_state, &Budget::powers);
            if (state.left.kills > 0 && !node.unsynced.empty())
                restart_node(state, i, node.unsynced.back().state, &Budget::kills);
            if (state.left.wipes > 0 && i == 2) {
                PersistentState empty;
                empty.disk_id = kEmptied;
                restart_node(state, i, empty, &Budget::wipes);
            }
        }
        if (state.left.proposals > 0 &&
            (state.asked.empty() || !state.left.again || state.incarnations > 3)) {
            const bool first = state.asked.empty();
            const std::size_t by = first || state.left.again ? 0 : 1;
            step(state, by, [&](State& next, Node& n, Actions& actions) {
                --next.left.proposals;
                next.asked.push_back(next.committed.acknowledged);
                n.replica.propose(next.asked.size(), first ? 1 : state.left.second, first ? "a" : "b",
                                  n.now + 1h, n.now, actions);
            });
        }
        if (state.left.ends > 0 && state.nodes[2]) {
            State next = state;
            --next.left.ends;
            next.nodes[2].reset();
            std::erase_if(next.mail, [](const MessageInFlight& message) { return message.to == 2; });
            push(std::move(next));
        }
        const bool emptied = state.nodes[2] && state.nodes[2]->persisted_state.disk_id == kEmptied;
        if (state.left.replaced > 0 && (emptied || state.left.joins))
            step(state, 1, [&](State& next, Node& n, Actions& actions) {
                --next.left.replaced;
                const Replica in =
                    emptied ? Replica{Cluster::name(2), kEmptied} : Replica{Cluster::name(3), kNewcomer};
                const auto to = replace_voter(n.replica.committed_entry().voters, {Cluster::name(2), 0}, in);
                n.replica.change_voters(n.replica.committed_entry().voters, to, n.now, actions);
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
