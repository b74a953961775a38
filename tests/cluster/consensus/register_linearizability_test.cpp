// The operations on the register are linearizable, according to the checker of operation histories. Time is
// virtual.
#include "cluster/consensus/register_cluster.h"
#include "operation_history.h"

namespace shaletray::consensus::test {
namespace {

using history::Operation;

// Operators that send commands to random replicas and retry them unchanged until they get a definite answer,
// and readers, which do not retry. Records the history of all operations.
struct Operators {
    struct Command {
        std::uint64_t version = 0, body = 0;
        bool answered = false, in_flight = false;
    };
    struct Call {
        std::size_t operation = 0;
        std::optional<std::size_t> command;    // index; none: a read
        TimePoint abandon_at;
        bool is_answer_lost = false;
    };
    Cluster& cluster;
    double loss_rate = 0.0;
    std::vector<Operation> history{};
    std::vector<Command> commands{};
    std::map<RequestId, Call> calls{};
    std::int64_t clock = 0;
    std::uint64_t bodies = 0, conflicts = 0;

    explicit Operators(Cluster& observed) : cluster(observed) {
        cluster.on_completion = [this](RequestId request_id, Outcome outcome, const LogEntry& current) {
            on_completion(request_id, outcome, current);
        };
    }
    std::size_t any_running_node() {
        std::size_t i = cluster.random_below(cluster.nodes.size());
        while (!cluster.nodes[i].replica) i = cluster.random_below(cluster.nodes.size());
        return i;
    }
    void invoke(std::size_t node, Operation operation, std::optional<std::size_t> command) {
        operation.invoked_at = ++clock;
        calls[cluster.last_request_id + 1] = {history.size(), command, cluster.now + 1s,
                                              cluster.chance(loss_rate)};
        history.push_back(operation);
        if (command) cluster.propose(node, operation.version, std::to_string(operation.body_digest), 900ms);
        else cluster.quorum_read(node, 900ms);
    }
    void send_new(std::uint64_t version, std::size_t node) {
        commands.push_back({version, ++bodies});
        send(commands.size() - 1, node);
    }
    void send(std::size_t command, std::size_t node) {
        commands[command].in_flight = true;
        Operation operation;
        operation.version = commands[command].version;
        operation.body_digest = commands[command].body;
        invoke(node, operation, command);
    }
    void read(std::size_t node) {
        Operation operation;
        operation.kind = Operation::Kind::Read;
        invoke(node, operation, std::nullopt);
    }
    void on_completion(RequestId request_id, Outcome outcome, const LogEntry& current) {
        const auto it = calls.find(request_id);
        if (it == calls.end()) return;
        const Call call = it->second;
        if (call.is_answer_lost) return;    // the call times out
        calls.erase(it);
        if (call.command) commands[*call.command].in_flight = false;
        if (outcome == Outcome::Indeterminate) return;
        Operation& operation = history[call.operation];
        operation.returned_at = ++clock;
        operation.outcome =
            outcome == Outcome::Conflict ? Operation::Outcome::Conflict : Operation::Outcome::Succeeded;
        conflicts += outcome == Outcome::Conflict;
        if (call.command) commands[*call.command].answered = true;
        else {
            operation.version = current.version;
            operation.body_digest = current.version == 0 ? 0 : std::stoull(current.text);
        }
    }
    // Retries calls without an answer for a second, at a random replica.
    void retry_abandoned_calls() {
        std::erase_if(calls, [this](const auto& entry) {
            if (entry.second.abandon_at > cluster.now) return false;
            if (entry.second.command) commands[*entry.second.command].in_flight = false;
            return true;
        });
        for (std::size_t i = 0; i < commands.size(); ++i) {
            if (commands[i].answered || commands[i].in_flight || cluster.chance(0.5)) continue;
            send(i, any_running_node());
        }
    }
    void check_history(std::uint64_t seed) {
        const auto reason = shaletray::history::find_violation(history);
        cr_assert(!reason, "seed %lu: %s", seed, reason->c_str());
    }
};

// Wipes disks of voters and has them made voters again, one at a time, with a pause of one second in between.
struct DiskWiper {
    Cluster& cluster;
    std::optional<Replica> lost{};
    std::size_t node = 0;
    TimePoint ready{};

    void wipe(std::size_t i) {
        const LogEntry& newest = cluster.newest_entry();
        const Replica wiped{cluster.nodes[i].address, cluster.nodes[i].persisted_state.disk_id};
        std::size_t stored = 0;
        for (const Cluster::Node& n : cluster.nodes) {
            const Replica replica{n.address, n.persisted_state.disk_id};
            stored += replica != wiped && n.persisted_state.committed.number == newest.number &&
                      std::find(newest.voters.begin(), newest.voters.end(), replica) != newest.voters.end();
        }
        if (lost || cluster.now < ready || stored <= newest.voters.size() / 2) return;
        lost = wiped;
        node = i;
        cluster.wipe(i);
        cluster.start(i);
    }
    void restore_wiped_voter(std::size_t by) {
        if (!lost) return;
        const Replica in{cluster.nodes[node].address, cluster.nodes[node].persisted_state.disk_id};
        const auto& voters = cluster.newest_entry().voters;
        if (std::find(voters.begin(), voters.end(), in) != voters.end()) {
            lost.reset();
            ready = cluster.now + 1s;
        } else
            cluster.call(by, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.change_voters(voters, replace_voter(voters, *lost, in), cluster.now, actions);
            });
    }
};

std::uint64_t run_concurrent_operators(std::uint64_t seed, std::size_t voters) {
    Cluster cluster(seed, voters);
    Operators operators(cluster);
    DiskWiper wiper{cluster};
    cluster.run(200ms);
    cluster.link_delay = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(60'000)));
    cluster.sync_delay = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(40'000)));
    cluster.loss_rate = cluster.chance(0.5) ? 0.1 : 0.0;
    cluster.duplicate_rate = cluster.chance(0.3) ? 0.05 : 0.0;
    operators.loss_rate = cluster.chance(0.7) ? 0.3 : 0.0;
    const bool with_crashes = cluster.chance(0.6), with_pauses = cluster.chance(0.5);
    for (int step = 0; step < 30; ++step) {
        const std::size_t i = operators.any_running_node();
        switch (cluster.random_below(8)) {
            case 0:
            case 1: {    // two to eight commands at once, some of the same version, some older
                const std::uint64_t from =
                    cluster.highest_version > 1 ? cluster.highest_version - cluster.random_below(2) : 1;
                for (std::uint64_t n = 2 + cluster.random_below(7); n > 0; --n)
                    operators.send_new(from + cluster.random_below(3), operators.any_running_node());
                break;
            }
            case 2:
                if (with_crashes) {
                    cluster.stop(i, cluster.chance(0.5));
                    cluster.start(i);
                }
                break;
            case 3:
                if (with_crashes) wiper.wipe(i);
                break;
            case 4:
                if (with_pauses)
                    cluster.nodes[i].frozen_until = cluster.now + Duration(cluster.random_below(2'500'000));
                break;
            case 5:
                for (std::size_t index = 0; with_pauses && index < cluster.nodes.size(); ++index) {
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({i, index});
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({index, i});
                }
                break;
            case 6: cluster.partitioned_links.clear(); break;
            default:    // an answered command may also be repeated
                if (!operators.commands.empty())
                    operators.send(cluster.random_below(operators.commands.size()),
                                   operators.any_running_node());
                break;
        }
        for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
            if (cluster.chance(0.3)) operators.read(index);
        wiper.restore_wiped_voter(operators.any_running_node());
        operators.retry_abandoned_calls();
        cluster.run(Duration(cluster.random_below(400'000)));
    }
    // Without faults, each command must get a definite answer, and a consistent one from every replica.
    cluster.partitioned_links.clear();
    cluster.loss_rate = cluster.duplicate_rate = operators.loss_rate = 0.0;
    for (Cluster::Node& n : cluster.nodes) n.frozen_until = {};
    for (int i = 0; i < 20; ++i) {
        wiper.restore_wiped_voter(operators.any_running_node());
        operators.retry_abandoned_calls();
        cluster.run(1s);
    }
    const std::uint64_t indeterminate_before = cluster.indeterminate_count;
    for (const Operators::Command& sent_command : operators.commands)
        cr_assert(sent_command.answered, "seed %lu: version %lu has no answer", seed, sent_command.version);
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
        for (std::size_t command_index = 0; command_index < operators.commands.size();
             command_index += 1 + cluster.random_below(4))
            operators.send(command_index, node);
        cluster.run(1s);
        operators.read(node);
        cluster.run(1s);
    }
    cr_assert_eq(cluster.indeterminate_count, indeterminate_before, "seed %lu", seed);
    operators.check_history(seed);
    return operators.conflicts;
}

void run_seeds(std::size_t voters, std::uint64_t seeds) {
    std::uint64_t conflicts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) conflicts += run_concurrent_operators(seed, voters);
    cr_assert(conflicts > seeds);
}

}    // namespace

Test(linearizability, concurrent_operators_with_3_voters) { run_seeds(3, 400 / kSanitizerDivisor); }
Test(linearizability, concurrent_operators_with_5_voters) { run_seeds(5, 200 / kSanitizerDivisor); }

// If a version is sent again, the same text is always acknowledged, and another text only once the digest of
// that version is no longer kept. This also holds after the version was superseded, and at members that
// joined later.
Test(linearizability, resent_version_is_acknowledged_only_with_its_original_text) {
    Cluster cluster(1, 3);
    cluster.run(200ms);
    std::map<RequestId, Outcome> answers;
    cluster.on_completion = [&](RequestId request_id, Outcome answer, const LogEntry&) {
        answers[request_id] = answer;
    };
    const auto propose_and_wait = [&](std::size_t node, std::uint64_t version, const std::string& text) {
        cluster.propose(node, version, text);
        cluster.run(1s);
        return answers.at(cluster.last_request_id);
    };
    cr_assert_eq(propose_and_wait(0, 4, "{ }"), Outcome::Committed);
    cr_assert_eq(propose_and_wait(1, 4, "{ }"), Outcome::Committed);
    cr_assert_eq(propose_and_wait(1, 4, "{}"), Outcome::Conflict);    // texts are compared by their bytes
    cr_assert_eq(propose_and_wait(2, 3, "c"), Outcome::Stale);
    cr_assert_eq(propose_and_wait(2, 6, "f"), Outcome::Committed);
    cr_assert_eq(propose_and_wait(0, 5, "e"), Outcome::Stale);    // a version that was never chosen
    cluster.wipe(2);
    cluster.start(2);
    const std::size_t joined = cluster.join();
    cluster.call(0, [&](ReplicatedRegister& replica, Actions& actions) {
        const auto& voters = replica.committed_entry().voters;
        replica.change_voters(
            voters,
            replace_voter(voters, {cluster.nodes[2].address, 0},
                          {cluster.nodes[2].address, cluster.nodes[2].persisted_state.disk_id}),
            cluster.now, actions);
    });
    cluster.run(2s);
    cr_assert(cluster.nodes[2].replica->is_voter());
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) cluster.stop(index, true);
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) cluster.start(index);
    for (const std::size_t node : {std::size_t{0}, std::size_t{2}, joined}) {
        cr_assert_eq(propose_and_wait(node, 4, "{ }"), Outcome::Stale);
        cr_assert_eq(propose_and_wait(node, 4, "{}"), Outcome::Conflict);
        cr_assert_eq(propose_and_wait(node, 6, "g"), Outcome::Conflict);
    }
    for (std::uint64_t version = 7; version < 7 + kMaxEarlierDigests; ++version)
        cr_assert_eq(propose_and_wait(joined, version, "x"), Outcome::Committed);
    cr_assert_eq(cluster.newest_entry().earlier_digests.size(), kMaxEarlierDigests);
    cr_assert_eq(propose_and_wait(0, 6, "g"), Outcome::Conflict);
    cr_assert_eq(propose_and_wait(0, 4, "{}"), Outcome::Stale);    // its digest is no longer kept
    cr_assert_eq(propose_and_wait(0, 4, "{ }"), Outcome::Stale);
}

// A resumed process receives replies from before its suspension: they must answer neither a new read nor one
// whose deadline has passed.
Test(linearizability, reads_are_not_answered_by_confirmations_from_before_a_suspension) {
    Cluster cluster(2, 3);
    cluster.run(200ms);
    std::map<RequestId, Outcome> answers;
    cluster.on_completion = [&](RequestId request_id, Outcome answer, const LogEntry&) {
        answers[request_id] = answer;
    };
    cluster.propose(0, 1, "a");
    cluster.run(1s);
    cluster.quorum_read(0, 900ms);
    const RequestId before = cluster.last_request_id;
    cluster.nodes[0].frozen_until = cluster.now + 25s;    // its read requests are in transit
    cluster.run(5s);
    cluster.propose(1, 2, "b");
    cluster.run(20s);
    cluster.quorum_read(0, 900ms);    // the first call after resuming
    const RequestId after = cluster.last_request_id;
    cluster.run(2s);
    cr_assert_eq(answers.at(before), Outcome::Indeterminate);
    cr_assert_eq(answers.at(after), Outcome::Committed);
    cr_assert_eq(cluster.nodes[0].replica->committed_entry().version, 2);
}

}    // namespace shaletray::consensus::test
