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
inline std::vector<Replica> replace_voter(std::vector<Replica> voters, const Replica& out,
                                          const Replica& in) {
    const auto itself = std::find_if(voters.begin(), voters.end(),
                                     [&](const Replica& replica) { return replica.address == in.address; });
    const Replica leaves = itself == voters.end() ? out : *itself;
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
    std::map<std::uint64_t, LogEntry> entries;
    std::map<std::uint64_t, std::string> texts;
    std::uint64_t acknowledged = 0;

    // Before anything is answered from a decree that changed the voters, a majority of the new one keeps it.
    template <class Keeps>
    bool may_answer(const LogEntry& entry, Keeps&& keeps) const {
        const auto before = entries.find(entry.number - 1);
        if (entry.number == 0 || before == entries.end() || before->second.voters == entry.voters)
            return true;
        return static_cast<std::size_t>(std::count_if(entry.voters.begin(), entry.voters.end(), keeps)) >
               entry.voters.size() / 2;
    }
    // Of the versions that are remembered: another text was chosen under it.
    bool conflicts(std::uint64_t version, const std::string& text) const {
        const auto it = texts.find(version);
        return it != texts.end() && it->second != text &&
               static_cast<std::size_t>(std::distance(it, texts.end())) <= kMaxEarlierDigests + 1;
    }
    std::string record_entry(const LogEntry& entry) {
        if (entry.voters.empty()) return {};
        if (entries.try_emplace(entry.number, entry).first->second != entry)
            return "two decrees of one number";
        if (texts.try_emplace(entry.version, entry.text).first->second != entry.text)
            return "two texts of one version";
        const auto next = entries.upper_bound(entry.number);
        if (next != entries.end() && next->second.version < entry.version) return "a version went back";
        return {};
    }
};

struct Cluster {
    struct Node {
        std::string address;
        PersistentState persisted_state;    // what a loss of power leaves
        std::vector<Actions::StateWrite> unsynced;
        std::optional<ReplicatedRegister> replica;
        std::uint64_t incarnation = 0, incarnations = 0;
        TimePoint back{}, frozen_until{};
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;    // of the node it is for; 0: any
        std::uint64_t token = 0;          // a store's; else a message
        std::size_t from = 0;
        std::string bytes;
        bool operator<(const Event& event) const {
            return std::tie(at, order) > std::tie(event.at, event.order);
        }
    };
    struct PendingRequest {
        bool proposal = false;
        std::uint64_t version = 0, min_version = 0;    // least: what had been acknowledged before
        std::string text;
    };

    std::mt19937_64 random;
    TimePoint now = TimePoint{} + 1000s;
    std::vector<Node> nodes;
    std::priority_queue<Event> events;
    std::set<std::pair<std::size_t, std::size_t>> partitioned_links;
    std::map<RequestId, PendingRequest> requests;
    std::function<void(RequestId, Outcome, const LogEntry&)> answered;    // whatever the answer
    std::map<Replica, std::uint64_t> stored_numbers;    // the newest decree that each disk ever held
    Register committed;
    double loss_rate = 0.0, duplicate_rate = 0.0;
    Duration link = 1ms, sync = 2ms, longest_wait = 2s;
    std::map<std::size_t, double> mbps;    // of a node's own link, each way; none: as fast as may be
    std::map<std::pair<std::size_t, bool>, TimePoint>
        link_busy_until;    // until when such a link is, in or out
    std::uint64_t order = 0, last_request_id = 0, sent = 0, bytes = 0, committed_count = 0,
                  indeterminate_count = 0, versions = 0;

    explicit Cluster(std::uint64_t seed, std::size_t founders) : random(seed) {
        std::vector<std::string> all;
        for (std::size_t i = 0; i < founders; ++i) all.push_back(name(i));
        for (std::size_t i = 0; i < founders; ++i) {
            nodes.push_back({name(i), {}, {}, {}, 0, 0, {}, {}});
            start(i, all);
        }
    }
    static std::string name(std::size_t i) { return "10.1.0." + std::to_string(i) + ":7100"; }
    std::uint64_t random_below(std::uint64_t n) { return random() % n; }
    bool chance(double p) { return std::uniform_real_distribution<>()(random) < p; }

    void start(std::size_t i, const std::vector<std::string>& founders = {}) {
        Node& n = nodes[i];
        Settings settings;
        settings.self = {n.address, n.persisted_state.disk_id};
        settings.founders = founders;
        settings.seed = random();
        settings.max_retry_interval = longest_wait;
        stored_numbers[{n.address, n.persisted_state.disk_id}] = n.persisted_state.committed.number;
        n.incarnation = ++order;
        ++n.incarnations;
        n.replica.emplace(settings, n.persisted_state, now);
        std::vector<std::string> others;
        for (const Node& node : nodes) others.push_back(node.address);
        n.replica->set_peers(others);
        check(*n.replica);
    }
    std::size_t join() {    // an empty machine at an address of its own
        nodes.push_back({name(nodes.size()), {}, {}, {}, 0, 0, {}, {}});
        nodes.back().persisted_state.disk_id = random() | 1;
        start(nodes.size() - 1);
        return nodes.size() - 1;
    }
    // Dead processes leave what they wrote, some of it perhaps not synced; a loss of power only what was.
    void stop(std::size_t i, bool power) {
        Node& node = nodes[i];
        if (!power && !node.unsynced.empty() && chance(0.5))
            node.persisted_state = node.unsynced[random_below(node.unsynced.size())].state;
        node.unsynced.clear();
        node.replica.reset();
    }
    void wipe(std::size_t i) {
        stop(i, true);
        nodes[i].persisted_state = {};
        nodes[i].persisted_state.disk_id = random() | 1;
    }
    void check(const ReplicatedRegister& lamp) {
        const std::string error = committed.record_entry(lamp.committed_entry());
        cr_assert(error.empty(), "%s", error.c_str());
    }
    // What is sent through a slow link waits for what was sent before it.
    TimePoint link_arrival_time(std::size_t i, bool in, std::size_t size, TimePoint time) {
        const auto speed = mbps.find(i);
        if (speed == mbps.end()) return time;
        TimePoint& deadline = link_busy_until[{i, in}];
        deadline =
            std::max(deadline, time) +
            Duration(static_cast<Duration::rep>(static_cast<double>(size) * 8 / speed->second));    // in us
        return deadline;
    }
    void apply_actions(std::size_t i, Actions& actions) {
        Node& n = nodes[i];
        if (actions.entry_changed) check(*n.replica);
        for (Actions::StateWrite& write : actions.writes) {
            events.push({now + sync / 2 + Duration(random_below(static_cast<std::uint64_t>(sync.count()))),
                         ++order,
                         i,
                         n.incarnation,
                         write.token,
                         0,
                         {}});
            n.unsynced.push_back(std::move(write));
        }
        for (const Actions::OutgoingMessage& write : actions.messages) {
            ++sent;
            bytes += write.bytes.size();
            const auto to = static_cast<std::size_t>(
                std::find_if(nodes.begin(), nodes.end(),
                             [&](const Node& node) { return node.address == write.to; }) -
                nodes.begin());
            if (to == nodes.size()) continue;
            for (int copies = chance(duplicate_rate) ? 2 : 1; copies > 0; --copies) {
                if (chance(loss_rate)) continue;
                Duration delay = link / 2 + Duration(random_below(static_cast<std::uint64_t>(link.count())));
                if (chance(duplicate_rate))
                    delay += Duration(random_below(3'000'000));    // stale, for a later life perhaps
                const TimePoint sent_at = link_arrival_time(i, false, write.bytes.size(), now);
                const TimePoint arrives_at = nodes[to].replica
                                                 ? link_arrival_time(to, true, write.bytes.size(), sent_at)
                                                 : sent_at;    // else to nobody
                events.push({arrives_at + delay, ++order, to, 0, 0, i, write.bytes});
            }
        }
        for (const Actions::Completion& completion : actions.completions) {
            const PendingRequest& request = requests.at(completion.request_id);
            if (answered) answered(completion.request_id, completion.outcome, n.replica->committed_entry());
            ++(completion.outcome == Outcome::Indeterminate ? indeterminate_count : committed_count);
            if (completion.outcome == Outcome::Indeterminate) continue;
            const LogEntry& held = n.replica->committed_entry();
            cr_assert(held.version >= request.min_version, "answered %lu after %lu", held.version,
                      request.min_version);
            cr_assert(committed.may_answer(held, [&](const Replica& replica) {
                const auto found = stored_numbers.find(replica);
                return found != stored_numbers.end() && found->second >= held.number;
            }));
            if (!request.proposal) continue;
            cr_assert(held.version >= request.version);
            const bool same = held.version == request.version && held.text == request.text;
            cr_assert_eq(same, completion.outcome == Outcome::Committed);
            cr_assert_eq(committed.conflicts(request.version, request.text),
                         completion.outcome == Outcome::Conflict);
            committed.acknowledged = std::max(committed.acknowledged, held.version);
        }
    }
    template <class Call>
    void call(std::size_t i, Call&& action) {
        Actions actions;
        action(*nodes[i].replica, actions);
        apply_actions(i, actions);
    }
    void propose(std::size_t i, std::uint64_t version, std::string text, Duration within = 3s) {
        versions = std::max(versions, version);
        requests[++last_request_id] = {true, version, committed.acknowledged, text};
        call(i, [&](ReplicatedRegister& replica, Actions& actions) {
            replica.propose(last_request_id, version, text, now + within, now, actions);
        });
    }
    void quorum_read(std::size_t i, Duration within = 3s) {
        requests[++last_request_id] = {false, 0, committed.acknowledged, {}};
        call(i, [&](ReplicatedRegister& replica, Actions& actions) {
            replica.quorum_read(last_request_id, now + within, now, actions);
        });
    }
    bool is_up(std::size_t i) const { return nodes[i].replica && nodes[i].frozen_until <= now; }
    void run(TimePoint deadline) {
        for (;;) {
            TimePoint time = deadline;
            std::size_t due = nodes.size();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (!nodes[i].replica) continue;
                const auto next = nodes[i].replica->next_deadline();
                if (!next || std::max(*next, nodes[i].frozen_until) >= time) continue;
                time = std::max({*next, nodes[i].frozen_until, now});
                due = i;
            }
            if (!events.empty() && events.top().at <= time) {
                Event event = events.top();
                events.pop();
                now = std::max(now, event.at);
                if (!nodes[event.node].replica ||
                    (event.incarnation != 0 && event.incarnation != nodes[event.node].incarnation))
                    continue;
                if (!is_up(event.node)) {    // it wakes to find it
                    event.at = nodes[event.node].frozen_until;
                    event.order = ++order;
                    events.push(std::move(event));
                } else if (event.token != 0) {
                    Node& node = nodes[event.node];
                    while (!node.unsynced.empty() && node.unsynced.front().token <= event.token) {
                        node.persisted_state = std::move(node.unsynced.front().state);
                        node.unsynced.erase(node.unsynced.begin());
                    }
                    stored_numbers[{node.address, node.persisted_state.disk_id}] =
                        node.persisted_state.committed.number;
                    call(event.node, [&](ReplicatedRegister& replica, Actions& actions) {
                        replica.on_stored(event.token, now, actions);
                    });
                } else if (!partitioned_links.contains({event.from, event.node}))
                    call(event.node, [&](ReplicatedRegister& replica, Actions& actions) {
                        replica.on_message(nodes[event.from].address, event.bytes, now, actions);
                    });
                continue;
            }
            now = time;
            if (due == nodes.size()) return;
            call(due, [&](ReplicatedRegister& replica, Actions& actions) { replica.tick(now, actions); });
        }
    }
    void run(Duration more) { run(now + more); }
    const LogEntry& newest() const { return committed.entries.rbegin()->second; }
};

}    // namespace shaletray::consensus::test
