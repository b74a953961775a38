// Simulates a cluster of replicas in virtual time: links delay, lose and duplicate messages, and machines are
// killed, lose power or lose their disks. The safety properties are checked at every step.
#pragma once

#include <criterion/criterion.h>
#include <malloc.h>
#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();    // its header is not always installed
#endif

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus/replicated_register.h"

namespace shaletray::consensus::test {

using namespace std::chrono_literals;

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSanitizerDivisor = 10;    // sanitizers slow everything down by about this factor
#else
constexpr std::uint64_t kSanitizerDivisor = 1;
#endif

// The voters with `added` in place of `removed`, or in place of the voter with the same address, if there is
// one (the former disk of the same machine).
inline std::vector<Replica> replace_voter(std::vector<Replica> voters, const Replica& removed,
                                          const Replica& added) {
    const auto former = std::find_if(voters.begin(), voters.end(),
                                     [&](const Replica& voter) { return voter.address == added.address; });
    const Replica replaced = former == voters.end() ? removed : *former;
    std::replace(voters.begin(), voters.end(), replaced, added);
    std::sort(voters.begin(), voters.end());
    return voters;
}

// Number of allocated heap bytes.
inline std::size_t allocated_bytes() {
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
#endif
}

// All entries that any replica ever considered chosen, and the properties that they must have.
struct CommittedEntries {
    std::map<std::uint64_t, LogEntry> entries;     // by number
    std::map<std::uint64_t, std::string> texts;    // by version
    std::uint64_t acknowledged_version = 0;        // the highest acknowledged

    // Whether requests may be answered from this entry: if it changed the voters, a majority of the new
    // voters must have stored it.
    template <class HasStored>
    bool may_answer(const LogEntry& entry, HasStored&& has_stored) const {
        const auto before = entries.find(entry.number - 1);
        if (entry.number == 0 || before == entries.end() || before->second.voters == entry.voters)
            return true;
        return static_cast<std::size_t>(std::count_if(entry.voters.begin(), entry.voters.end(), has_stored)) >
               entry.voters.size() / 2;
    }
    // Whether this version had another text, recently enough that replicas must still have its digest.
    bool conflicts(std::uint64_t version, const std::string& text) const {
        const auto it = texts.find(version);
        return it != texts.end() && it->second != text &&
               static_cast<std::size_t>(std::distance(it, texts.end())) <= kMaxEarlierDigests + 1;
    }
    // Records the entry; returns why it contradicts the earlier ones, empty if it does not.
    std::string record_entry(const LogEntry& entry) {
        if (entry.voters.empty()) return {};
        if (entries.try_emplace(entry.number, entry).first->second != entry)
            return "two entries with the same number";
        if (texts.try_emplace(entry.version, entry.text).first->second != entry.text)
            return "two texts for the same version";
        const auto next = entries.upper_bound(entry.number);
        if (next != entries.end() && next->second.version < entry.version)
            return "a later entry has a lower version";
        return {};
    }
};

struct Cluster {
    struct Node {
        std::string address;
        PersistentState persisted_state;    // what survives a loss of power
        std::vector<Actions::StateWrite> unsynced;
        std::optional<ReplicatedRegister> replica;    // none: stopped
        std::uint64_t incarnation = 0;                // unique in the cluster
        TimePoint frozen_until{};                     // until when the process is suspended
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;    // of the receiving node; 0: any
        std::uint64_t token = 0;          // of a completed write; 0: the event is a message
        std::size_t from = 0;
        std::string bytes;
        bool operator<(const Event& event) const {
            return std::tie(at, order) > std::tie(event.at, event.order);
        }
    };
    struct PendingRequest {
        bool proposal = false;
        std::uint64_t version = 0;
        std::uint64_t min_version = 0;    // the highest version acknowledged before the request
        std::string text;
    };

    std::mt19937_64 random;
    TimePoint now = TimePoint{} + 1000s;
    std::vector<Node> nodes;
    std::priority_queue<Event> events;
    std::set<std::pair<std::size_t, std::size_t>> partitioned_links;
    std::map<RequestId, PendingRequest> requests;
    // Receives the committed entry of the node that completed the request.
    std::function<void(RequestId, Outcome, const LogEntry&)> on_completion;
    std::function<void(const ProposalTrace&)> on_trace;    // receives those of completed proposals
    std::map<Replica, std::uint64_t> stored_numbers;       // number of the newest entry on each disk
    CommittedEntries committed;
    double loss_rate = 0.0, duplicate_rate = 0.0;
    Duration link_delay = 1ms, sync_delay = 2ms, max_retry_interval = 2s;
    std::map<std::size_t, double> mbps;    // bandwidth of a node's link per direction; none: unlimited
    std::map<std::pair<std::size_t, bool>, TimePoint> link_busy_until;    // of such a link; bool: inbound
    std::uint64_t last_event_order = 0, last_request_id = 0;
    std::uint64_t indeterminate_count = 0;    // of requests
    std::uint64_t highest_version = 0;        // the highest proposed

    explicit Cluster(std::uint64_t seed, std::size_t founders) : random(seed) {
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < founders; ++i) addresses.push_back(name(i));
        for (std::size_t i = 0; i < founders; ++i) {
            nodes.push_back({name(i), {}, {}, {}, 0, {}});
            start(i, addresses);
        }
    }
    static std::string name(std::size_t i) { return "10.1.0." + std::to_string(i) + ":7100"; }
    std::uint64_t random_below(std::uint64_t limit) { return random() % limit; }
    bool chance(double probability) { return std::uniform_real_distribution<>()(random) < probability; }

    void start(std::size_t i, const std::vector<std::string>& founders = {}) {
        Node& node = nodes[i];
        Settings settings;
        settings.self = {node.address, node.persisted_state.disk_id};
        settings.founders = founders;
        settings.seed = random();
        settings.max_retry_interval = max_retry_interval;
        stored_numbers[{node.address, node.persisted_state.disk_id}] = node.persisted_state.committed.number;
        node.incarnation = ++last_event_order;
        node.replica.emplace(settings, node.persisted_state, now);
        std::vector<std::string> addresses;
        for (const Node& peer : nodes) addresses.push_back(peer.address);
        node.replica->set_peers(addresses);
        check(*node.replica);
    }
    // Starts an empty machine at a new address.
    std::size_t join() {
        nodes.push_back({name(nodes.size()), {}, {}, {}, 0, {}});
        nodes.back().persisted_state.disk_id = random() | 1;
        start(nodes.size() - 1);
        return nodes.size() - 1;
    }
    // The writes of a killed process may survive without a sync; after a loss of power only synced ones do.
    void stop(std::size_t i, bool power_loss) {
        Node& node = nodes[i];
        if (!power_loss && !node.unsynced.empty() && chance(0.5))
            node.persisted_state = node.unsynced[random_below(node.unsynced.size())].state;
        node.unsynced.clear();
        node.replica.reset();
    }
    void wipe(std::size_t i) {
        stop(i, true);
        nodes[i].persisted_state = {};
        nodes[i].persisted_state.disk_id = random() | 1;
    }
    void check(const ReplicatedRegister& replica) {
        const std::string error = committed.record_entry(replica.committed_entry());
        cr_assert(error.empty(), "%s", error.c_str());
    }
    // When a message has passed a node's link, after the messages sent through it before.
    TimePoint link_arrival_time(std::size_t i, bool inbound, std::size_t size, TimePoint time) {
        const auto speed = mbps.find(i);
        if (speed == mbps.end()) return time;
        TimePoint& busy_until = link_busy_until[{i, inbound}];
        const double microseconds = static_cast<double>(size) * 8 / speed->second;
        busy_until = std::max(busy_until, time) + Duration(static_cast<Duration::rep>(microseconds));
        return busy_until;
    }
    // A random duration between 0.5 and 1.5 times the typical one.
    Duration random_around(Duration typical) {
        return typical / 2 + Duration(random_below(static_cast<std::uint64_t>(typical.count())));
    }
    void apply_actions(std::size_t i, Actions& actions) {
        Node& node = nodes[i];
        if (actions.entry_changed) check(*node.replica);
        for (Actions::StateWrite& write : actions.writes) start_write(i, std::move(write));
        for (const Actions::OutgoingMessage& message : actions.messages) send(i, message);
        for (const Actions::Completion& completion : actions.completions) complete(node, completion);
    }
    void start_write(std::size_t i, Actions::StateWrite write) {
        const TimePoint done_at = now + random_around(sync_delay);
        events.push({done_at, ++last_event_order, i, nodes[i].incarnation, write.token, 0, {}});
        nodes[i].unsynced.push_back(std::move(write));
    }
    void send(std::size_t from, const Actions::OutgoingMessage& message) {
        const auto recipient = std::find_if(nodes.begin(), nodes.end(),
                                            [&](const Node& node) { return node.address == message.to; });
        if (recipient == nodes.end()) return;
        const auto to = static_cast<std::size_t>(recipient - nodes.begin());
        for (int copies = chance(duplicate_rate) ? 2 : 1; copies > 0; --copies) {
            if (chance(loss_rate)) continue;
            Duration delay = random_around(link_delay);
            if (chance(duplicate_rate))
                delay += Duration(random_below(3'000'000));    // may arrive only at the next incarnation
            const TimePoint sent_at = link_arrival_time(from, false, message.bytes.size(), now);
            const TimePoint arrives_at = nodes[to].replica
                                             ? link_arrival_time(to, true, message.bytes.size(), sent_at)
                                             : sent_at;    // the node is stopped and will not receive it
            events.push({arrives_at + delay, ++last_event_order, to, 0, 0, from, message.bytes});
        }
    }
    void complete(const Node& node, const Actions::Completion& completion) {
        const PendingRequest& request = requests.at(completion.request_id);
        const LogEntry& current = node.replica->committed_entry();
        if (on_completion) on_completion(completion.request_id, completion.outcome, current);
        if (on_trace && request.proposal) on_trace(completion.trace);
        if (completion.outcome == Outcome::Indeterminate) {
            ++indeterminate_count;
            return;
        }
        cr_assert(current.version >= request.min_version,
                  "answered with version %lu after %lu was acknowledged", current.version,
                  request.min_version);
        cr_assert(committed.may_answer(current, [&](const Replica& replica) {
            const auto found = stored_numbers.find(replica);
            return found != stored_numbers.end() && found->second >= current.number;
        }));
        if (!request.proposal) return;
        cr_assert(current.version >= request.version);
        const bool same = current.version == request.version && current.text == request.text;
        cr_assert_eq(same, completion.outcome == Outcome::Committed);
        cr_assert_eq(committed.conflicts(request.version, request.text),
                     completion.outcome == Outcome::Conflict);
        committed.acknowledged_version = std::max(committed.acknowledged_version, current.version);
    }
    template <class Call>
    void call(std::size_t i, Call&& action) {
        Actions actions;
        action(*nodes[i].replica, actions);
        apply_actions(i, actions);
    }
    void propose(std::size_t i, std::uint64_t version, std::string text, Duration timeout = 3s) {
        highest_version = std::max(highest_version, version);
        requests[++last_request_id] = {true, version, committed.acknowledged_version, text};
        call(i, [&](ReplicatedRegister& replica, Actions& actions) {
            replica.propose(last_request_id, version, text, now + timeout, now, actions);
        });
    }
    void quorum_read(std::size_t i, Duration timeout = 3s) {
        requests[++last_request_id] = {false, 0, committed.acknowledged_version, {}};
        call(i, [&](ReplicatedRegister& replica, Actions& actions) {
            replica.quorum_read(last_request_id, now + timeout, now, actions);
        });
    }
    bool is_up(std::size_t i) const { return nodes[i].replica && nodes[i].frozen_until <= now; }
    void run(TimePoint deadline) {
        for (;;) {
            const auto [due_node, due_at] = next_tick(deadline);
            if (!events.empty() && events.top().at <= due_at) {
                Event event = events.top();
                events.pop();
                now = std::max(now, event.at);
                deliver(std::move(event));
                continue;
            }
            now = due_at;
            if (!due_node) return;
            call(*due_node,
                 [&](ReplicatedRegister& replica, Actions& actions) { replica.tick(now, actions); });
        }
    }
    // The node whose tick is due first, and when; none and the deadline if no tick is due before the
    // deadline.
    std::pair<std::optional<std::size_t>, TimePoint> next_tick(TimePoint deadline) const {
        std::optional<std::size_t> due_node;
        TimePoint due_at = deadline;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i].replica) continue;
            const auto next = nodes[i].replica->next_deadline();
            if (!next || std::max(*next, nodes[i].frozen_until) >= due_at) continue;
            due_at = std::max({*next, nodes[i].frozen_until, now});
            due_node = i;
        }
        return {due_node, due_at};
    }
    void deliver(Event event) {
        Node& node = nodes[event.node];
        if (!node.replica || (event.incarnation != 0 && event.incarnation != node.incarnation)) return;
        if (!is_up(event.node)) {    // delivered when the process is resumed
            event.at = node.frozen_until;
            event.order = ++last_event_order;
            events.push(std::move(event));
        } else if (event.token != 0) {
            finish_writes(node, event.token);
            call(event.node, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.on_stored(event.token, now, actions);
            });
        } else if (!partitioned_links.contains({event.from, event.node})) {
            call(event.node, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.on_message(nodes[event.from].address, event.bytes, now, actions);
            });
        }
    }
    // Makes the writes up to this token durable.
    void finish_writes(Node& node, std::uint64_t token) {
        while (!node.unsynced.empty() && node.unsynced.front().token <= token) {
            node.persisted_state = std::move(node.unsynced.front().state);
            node.unsynced.erase(node.unsynced.begin());
        }
        stored_numbers[{node.address, node.persisted_state.disk_id}] = node.persisted_state.committed.number;
    }
    void run(Duration duration) { run(now + duration); }
    // The newest entry that any replica knows to be chosen.
    const LogEntry& newest_entry() const { return committed.entries.rbegin()->second; }
};

}    // namespace shaletray::consensus::test
