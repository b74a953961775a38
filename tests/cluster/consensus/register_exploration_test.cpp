// Explores all states that three replicas can reach in a few steps: messages are reordered, lost and
// duplicated, writes take any time, processes end with and without their unsynced writes, and a disk is wiped
// and made a voter again. A lost message is one that is never delivered.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <unordered_set>

#include "cluster/consensus/message.h"
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// The number of steps of each kind that an exploration may take, and its conditions.
struct Budget {
    int proposals = 1, reads = 0, ticks = 0, kills = 0, power_losses = 0, wipes = 0, duplicates = 0;
    int voter_changes = 0;
    std::uint64_t second_version = 2;    // version of the second proposal
    bool slow_disks = true;              // else writes are stored immediately
    // Node 0 makes both proposals: its disk hangs until it loses power, and the second proposal follows after
    // that.
    bool same_proposer = false;
    bool announces_commits = true;    // else Commit messages are lost
    bool delivers_reads = true;       // else ReadRequest messages are lost
    bool starts_committed = false;    // start with a first version that all replicas have
    bool has_spare = false;           // a fourth, empty machine may replace the third as a voter
    int permanent_losses = 0;         // the third machine may be lost permanently, with its disk
};
constexpr std::size_t kNodes = 4;
struct Node {
    ReplicatedRegister replica;
    PersistentState persisted_state;    // what survives a loss of power
    std::vector<Actions::StateWrite> unsynced;
    TimePoint now;
    std::uint64_t state_hash = 0;
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
    std::array<std::shared_ptr<const Node>, kNodes> nodes;    // null: not started, or lost permanently
    std::vector<MessageInFlight> messages;                    // sorted
    Budget left;
    CommittedEntries committed;
    std::vector<std::uint64_t> min_versions;    // by request: the highest version acknowledged before it
    std::uint64_t incarnations = 3;
};

std::uint64_t hash(const std::string& bytes) { return std::hash<std::string>{}(bytes); }

std::string describe(const PersistentState& state) {
    std::string description = std::to_string(state.disk_id) + ' ' + std::to_string(state.committed.number) +
                              state.committed.text + std::to_string(state.committed.voters.size()) + ' ' +
                              std::to_string(state.promised_ballot.round) + state.promised_ballot.proposer +
                              std::to_string(state.accepted_ballot.round) + state.accepted_ballot.proposer;
    return state.accepted_entry ? description + 'p' + std::to_string(state.accepted_entry->version) +
                                      state.accepted_entry->text
                                : description;
}

class Explorer {
public:
    explicit Explorer(const Budget& budget) {
        State state;
        state.left = {.slow_disks = false};
        if (budget.has_spare) {
            PersistentState empty;
            empty.disk_id = kSpareDisk;
            state.nodes[3] = std::make_shared<const Node>(start_node(3, empty, 3));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            Node node = start_node(i, {}, i, true);
            Actions actions;
            node.replica.tick(node.now, actions);
            apply_actions(state, i, node, actions);
        }
        push(std::move(state));
        // Starts from the initial state, or from any state in which all replicas have the first version.
        while (budget.starts_committed &&
               (!open_.back().messages.empty() || open_.back().committed.acknowledged_version == 0)) {
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
    // Explores until max_states were found or no more exist; returns the number found.
    std::size_t run(std::size_t max_states) {
        while (!open_.empty() && seen_.size() < max_states) {
            const State state = std::move(open_.back());
            open_.pop_back();
            explore_successors(state);
        }
        return seen_.size();
    }
    bool exhausted() const { return open_.empty(); }

private:
    static constexpr std::uint64_t kWipedDisk = 77, kSpareDisk = 88;    // disk identifiers
    static Node start_node(std::size_t i, const PersistentState& disk, std::uint64_t seed,
                           bool is_founder = false) {
        Settings settings;
        settings.self = {Cluster::name(i), disk.disk_id};
        settings.seed = seed;
        const std::vector<std::string> founders{Cluster::name(0), Cluster::name(1), Cluster::name(2)};
        if (is_founder) settings.founders = founders;
        const TimePoint now = TimePoint{} + 1000s;
        Node node{ReplicatedRegister(settings, disk, now), disk, {}, now, 0};
        std::vector<std::string> peers = founders;
        peers.push_back(Cluster::name(3));
        node.replica.set_peers(peers);
        return node;
    }
    void apply_actions(State& state, std::size_t i, Node& node, Actions& actions) {
        const bool hangs = state.left.same_proposer && i == 0 && state.incarnations == 3;
        while (!state.left.slow_disks && !hangs && !actions.writes.empty()) {
            const auto writes = std::exchange(actions.writes, {});
            node.persisted_state = writes.back().state;
            node.replica.on_stored(writes.back().token, node.now, actions);
        }
        for (auto& write : actions.writes) node.unsynced.push_back(std::move(write));
        for (auto& message : actions.messages) {
            const auto kind = decode(message.bytes).value().kind;
            if (kind == Message::Kind::CommitAck ||
                (!state.left.announces_commits && kind == Message::Kind::Commit) ||
                (!state.left.delivers_reads && kind == Message::Kind::ReadRequest))
                continue;
            const auto to = static_cast<std::size_t>(message.to[7] - '0');
            if (to != i && !state.nodes[to]) continue;
            state.messages.push_back(
                {i, to, hash(message.bytes), std::make_shared<const std::string>(std::move(message.bytes))});
        }
        std::sort(state.messages.begin(), state.messages.end());
        const std::string error = state.committed.record_entry(node.replica.committed_entry());
        cr_assert(error.empty(), "%s", error.c_str());
        for (const auto& completion : actions.completions) {
            if (completion.outcome == Outcome::Indeterminate) continue;
            const std::uint64_t version = node.replica.committed_entry().version;
            const std::uint64_t min_version = state.min_versions.at(completion.request_id - 1);
            cr_assert(version >= min_version, "answered with version %lu after %lu was acknowledged", version,
                      min_version);
            cr_assert(state.committed.may_answer(node.replica.committed_entry(), [&](const Replica& replica) {
                for (std::size_t index = 0; index < kNodes; ++index) {
                    if (index != i && !state.nodes[index]) continue;
                    const PersistentState& disk =
                        index == i ? node.persisted_state : state.nodes[index]->persisted_state;
                    if (replica == Replica{Cluster::name(index), disk.disk_id})
                        return disk.committed.number >= node.replica.committed_entry().number;
                }
                return false;
            }));
            state.committed.acknowledged_version = std::max(state.committed.acknowledged_version, version);
        }
        std::string description = node.replica.describe_state() + describe(node.persisted_state);
        for (const auto& write : node.unsynced) description += describe(write.state);
        node.state_hash = hash(description);
        state.nodes[i] = std::make_shared<const Node>(std::move(node));
    }
    void push(State state) {
        std::string digest;
        const auto add = [&digest](std::uint64_t value) {
            digest.append(reinterpret_cast<const char*>(&value), sizeof value);
        };
        for (const auto& node : state.nodes) add(node ? node->state_hash : 0);
        for (const MessageInFlight& message : state.messages)
            add(message.hash ^ message.to << 3 ^ message.from);
        const Budget& left = state.left;
        for (const int steps : {left.proposals, left.reads, left.ticks, left.kills, left.power_losses,
                                left.wipes, left.duplicates, left.voter_changes, left.permanent_losses})
            add(static_cast<std::uint64_t>(steps));
        add(state.committed.acknowledged_version);
        for (const std::uint64_t min_version : state.min_versions) add(min_version);
        for (const auto& [number, entry] : state.committed.entries)
            add(number ^ hash(entry.text) ^ entry.voters.size() << 20);
        if (!seen_.insert(hash(digest)).second) return;
        if (state.committed.acknowledged_version > 0) check_durability(state);
        open_.push_back(std::move(state));
    }
    // Whether this node, with its current disk, is a voter of the entry.
    static bool is_voter(const State& state, const LogEntry& entry, std::size_t i) {
        if (!state.nodes[i]) return false;
        const Replica replica{Cluster::name(i), state.nodes[i]->persisted_state.disk_id};
        return std::find(entry.voters.begin(), entry.voters.end(), replica) != entry.voters.end();
    }
    // Checks that the acknowledged version is found again if all machines lose power and one more disk is
    // lost. While a change of the voters is not stored by a majority of the new voters, no disk loss needs to
    // be survived.
    static void check_durability(const State& state) {
        const LogEntry& newest = state.committed.entries.rbegin()->second;
        std::size_t voters = 0, stored = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            voters += is_voter(state, newest, i);
            stored += is_voter(state, newest, i) &&
                      state.nodes[i]->persisted_state.committed.number == newest.number;
        }
        const bool survives_loss = voters == 3 && (newest.voters.back().disk_id == 0 || stored >= 2);
        for (std::size_t lost = survives_loss ? 0 : kNodes; lost <= kNodes; ++lost) {
            LogEntry best;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (!state.nodes[i]) continue;
                const LogEntry& entry = state.nodes[i]->persisted_state.committed;
                if (i != lost && !entry.voters.empty() && (best.voters.empty() || entry.number > best.number))
                    best = entry;
            }
            std::size_t votes = 0;
            const PersistentState* accepted = nullptr;
            for (std::size_t i = 0; i < kNodes; ++i) {
                if (i == lost || !is_voter(state, best, i)) continue;
                const PersistentState& disk = state.nodes[i]->persisted_state;
                ++votes;
                if (disk.committed.number == best.number && disk.accepted_entry &&
                    (!accepted || accepted->accepted_ballot < disk.accepted_ballot))
                    accepted = &disk;
            }
            const std::uint64_t found = votes < 2  ? 0
                                        : accepted ? accepted->accepted_entry->version
                                                   : best.version;
            cr_assert(found >= state.committed.acknowledged_version,
                      "version %lu instead of %lu is found without node %zu", found,
                      state.committed.acknowledged_version, lost);
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
            node = start_node(i, disk, state.incarnations++);
            node.replica.tick(node.now, actions);
        });
    }
    void explore_successors(const State& state) {
        for (std::size_t k = 0; k < state.messages.size(); ++k) {
            if (k > 0 && !(state.messages[k - 1] < state.messages[k]))
                continue;    // identical to the previous message
            for (int duplicate = 0; duplicate <= (state.left.duplicates > 0 ? 1 : 0); ++duplicate)
                step(state, state.messages[k].to, [&](State& next, Node& n, Actions& actions) {
                    const MessageInFlight message = next.messages[k];
                    if (duplicate) --next.left.duplicates;
                    else next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(k));
                    n.replica.on_message(Cluster::name(message.from), *message.bytes, n.now, actions);
                });
        }
        for (std::size_t i = 0; i < kNodes; ++i) {
            if (!state.nodes[i]) continue;
            const Node& node = *state.nodes[i];
            if (!node.unsynced.empty() && state.left.slow_disks)
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
            if (state.left.reads > 0)
                step(state, i, [](State& next, Node& n, Actions& actions) {
                    --next.left.reads;
                    next.min_versions.push_back(next.committed.acknowledged_version);
                    n.replica.quorum_read(next.min_versions.size(), n.now + 1h, n.now, actions);
                });
            if (state.left.power_losses > 0 && (!state.left.same_proposer || i == 0))
                restart_node(state, i, node.persisted_state, &Budget::power_losses);
            if (state.left.kills > 0 && !node.unsynced.empty())
                restart_node(state, i, node.unsynced.back().state, &Budget::kills);
            if (state.left.wipes > 0 && i == 2) {
                PersistentState empty;
                empty.disk_id = kWipedDisk;
                restart_node(state, i, empty, &Budget::wipes);
            }
        }
        if (state.left.proposals > 0 &&
            (state.min_versions.empty() || !state.left.same_proposer || state.incarnations > 3)) {
            const bool first = state.min_versions.empty();
            const std::size_t by = first || state.left.same_proposer ? 0 : 1;
            step(state, by, [&](State& next, Node& n, Actions& actions) {
                --next.left.proposals;
                next.min_versions.push_back(next.committed.acknowledged_version);
                n.replica.propose(next.min_versions.size(), first ? 1 : state.left.second_version,
                                  first ? "a" : "b", n.now + 1h, n.now, actions);
            });
        }
        if (state.left.permanent_losses > 0 && state.nodes[2]) {
            State next = state;
            --next.left.permanent_losses;
            next.nodes[2].reset();
            std::erase_if(next.messages, [](const MessageInFlight& message) { return message.to == 2; });
            push(std::move(next));
        }
        const bool is_wiped = state.nodes[2] && state.nodes[2]->persisted_state.disk_id == kWipedDisk;
        if (state.left.voter_changes > 0 && (is_wiped || state.left.has_spare))
            step(state, 1, [&](State& next, Node& n, Actions& actions) {
                --next.left.voter_changes;
                const Replica in =
                    is_wiped ? Replica{Cluster::name(2), kWipedDisk} : Replica{Cluster::name(3), kSpareDisk};
                const auto to = replace_voter(n.replica.committed_entry().voters, {Cluster::name(2), 0}, in);
                n.replica.change_voters(n.replica.committed_entry().voters, to, n.now, actions);
            });
    }

    std::vector<State> open_;
    std::unordered_set<std::uint64_t> seen_;
};

void explore(const char* scenario, const Budget& budget) {
    const char* override = std::getenv("CONSENSUS_STATES");
    const std::size_t max_states =
        override ? std::strtoull(override, nullptr, 10) : 300'000 / (kSanitizerDivisor * kSanitizerDivisor);
    Explorer explorer(budget);
    const std::size_t states = explorer.run(max_states);
    printf("%s: %zu states%s\n", scenario, states, explorer.exhausted() ? ", all" : "");
    cr_assert(states > 1000 && (explorer.exhausted() || states >= max_states));
}

Test(explore, reads_return_no_older_version_than_acknowledged) {
    explore("read", {.proposals = 1, .reads = 1, .slow_disks = false, .announces_commits = false});
    explore("read with a committed version", {.proposals = 1,
                                              .reads = 1,
                                              .slow_disks = false,
                                              .announces_commits = false,
                                              .starts_committed = true});
}
Test(explore, acknowledged_versions_survive_crashes) {
    explore("power losses", {.proposals = 1, .power_losses = 2, .announces_commits = false});
    explore("power loss with announcements", {.proposals = 1, .power_losses = 1});
    explore("kill and power loss",
            {.proposals = 1, .kills = 1, .power_losses = 1, .announces_commits = false});
    explore("duplicate messages",
            {.proposals = 1, .power_losses = 1, .duplicates = 2, .announces_commits = false});
    explore("timers",
            {.proposals = 1, .ticks = 2, .power_losses = 1, .slow_disks = false, .announces_commits = false});
}
Test(explore, restarted_proposer_may_propose_another_value) {
    explore("restarted proposer", {.proposals = 2,
                                   .power_losses = 1,
                                   .slow_disks = false,
                                   .same_proposer = true,
                                   .announces_commits = false,
                                   .delivers_reads = false});
}
Test(explore, competing_proposals_choose_one_value) {
    explore("two versions",
            {.proposals = 2, .slow_disks = false, .announces_commits = false, .delivers_reads = false});
    explore("one version",
            {.proposals = 2, .second_version = 1, .slow_disks = false, .announces_commits = false});
}
Test(explore, wiped_disk_may_become_a_voter_again) {
    explore("wiped disk", {.proposals = 1, .wipes = 1});
    explore("wiped disk, power loss", {.proposals = 1,
                                       .power_losses = 1,
                                       .wipes = 1,
                                       .announces_commits = false,
                                       .starts_committed = true});
    explore("readmitted", {.proposals = 0,
                           .power_losses = 1,
                           .wipes = 1,
                           .voter_changes = 1,
                           .slow_disks = false,
                           .starts_committed = true});
    explore("readmitted without announcements", {.proposals = 0,
                                                 .power_losses = 1,
                                                 .wipes = 1,
                                                 .voter_changes = 1,
                                                 .announces_commits = false,
                                                 .starts_committed = true});
    explore("readmitted during a proposal", {.proposals = 1,
                                             .wipes = 1,
                                             .voter_changes = 1,
                                             .slow_disks = false,
                                             .announces_commits = false,
                                             .starts_committed = true});
}
Test(explore, voter_may_be_replaced_by_an_empty_machine) {
    explore("replaced", {.proposals = 0,
                         .voter_changes = 1,
                         .slow_disks = false,
                         .starts_committed = true,
                         .has_spare = true,
                         .permanent_losses = 1});
    explore("replaced, power loss", {.proposals = 0,
                                     .power_losses = 1,
                                     .voter_changes = 1,
                                     .slow_disks = false,
                                     .announces_commits = false,
                                     .starts_committed = true,
                                     .has_spare = true,
                                     .permanent_losses = 1});
    explore("replaced during a proposal", {.proposals = 1,
                                           .voter_changes = 1,
                                           .slow_disks = false,
                                           .announces_commits = false,
                                           .starts_committed = true,
                                           .has_spare = true,
                                           .permanent_losses = 1});
}

}    // namespace
}    // namespace shaletray::consensus::test
