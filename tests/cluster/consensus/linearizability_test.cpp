// One number, one body, one acknowledgement: what operators see of the lighthouses' register, in virtual
// time, is judged by the checker of histories.
#include "cluster/consensus/register_cluster.h"
#include "operation_history.h"

namespace shaletray::consensus::test {
namespace {

using history::Operation;

// Operators that send orders to any lighthouse and send them again, unchanged, while they get no clear
// answer; readers likewise, but for the sending again. All that they see is written down.
struct Operators {
    struct OperatorCommand {
        std::uint64_t version = 0, body = 0;
        bool clear = false, in_flight = false;
    };
    struct Call {
        std::size_t operation = 0;
        std::optional<std::size_t> order;
        TimePoint abandon_at;
        bool lost = false;    // its answer will be
    };
    Cluster& cluster;
    double loss_rate = 0.0;
    std::vector<Operation> seen{};
    std::vector<OperatorCommand> orders{};
    std::map<RequestId, Call> calls{};
    std::int64_t moment = 0;
    std::uint64_t bodies = 0, conflicts = 0, again = 0;

    explicit Operators(Cluster& world) : cluster(world) {
        cluster.answered = [this](RequestId request_id, Outcome answer, const LogEntry& held) {
            hear(request_id, answer, held);
        };
    }
    std::size_t any() {
        std::size_t i = cluster.random_below(cluster.nodes.size());
        while (!cluster.nodes[i].replica) i = cluster.random_below(cluster.nodes.size());
        return i;
    }
    void invoke(std::size_t node, Operation operation, std::optional<std::size_t> order) {
        operation.invoked_at = ++moment;
        calls[cluster.last_request_id + 1] = {seen.size(), order, cluster.now + 1s,
                                              cluster.chance(loss_rate)};
        seen.push_back(operation);
        if (order) cluster.propose(node, operation.version, std::to_string(operation.body_digest), 900ms);
        else cluster.quorum_read(node, 900ms);
    }
    void order(std::uint64_t version, std::size_t node) {
        orders.push_back({version, ++bodies});
        send(orders.size() - 1, node);
    }
    void send(std::size_t order, std::size_t node) {
        orders[order].in_flight = true;
        Operation operation;
        operation.version = orders[order].version;
        operation.body_digest = orders[order].body;
        invoke(node, operation, order);
    }
    void read(std::size_t node) {
        Operation operation;
        operation.kind = Operation::Kind::Read;
        invoke(node, operation, std::nullopt);
    }
    void hear(RequestId request_id, Outcome answer, const LogEntry& held) {
        const auto it = calls.find(request_id);
        if (it == calls.end()) return;
        const Call call = it->second;
        if (call.lost) return;    // it waits in vain
        calls.erase(it);
        if (call.order) orders[*call.order].in_flight = false;
        if (answer == Outcome::Indeterminate) return;
        Operation& operation = seen[call.operation];
        operation.returned_at = ++moment;
        operation.outcome =
            answer == Outcome::Conflict ? Operation::Outcome::Conflict : Operation::Outcome::Succeeded;
        conflicts += answer == Outcome::Conflict;
        if (call.order) orders[*call.order].clear = true;
        else {
            operation.version = held.version;
            operation.body_digest = held.version == 0 ? 0 : std::stoull(held.text);
        }
    }
    // Who has waited for a second asks another.
    void retry_abandoned_calls() {
        std::erase_if(calls, [this](const auto& c) {
            if (c.second.abandon_at > cluster.now) return false;
            if (c.second.order) orders[*c.second.order].in_flight = false;
            return true;
        });
        for (std::size_t i = 0; i < orders.size(); ++i) {
            if (orders[i].clear || orders[i].in_flight || cluster.chance(0.5)) continue;
            ++again;
            send(i, any());
        }
    }
    void check_history(std::uint64_t seed) {
        const auto reason = history::find_violation(seen);
        cr_assert(!reason, "seed %lu: %s", seed, reason->c_str());
    }
};

// Who was emptied is voted in again; the next one is not before that one has had a second.
struct DiskWiper {
    Cluster& cluster;
    std::optional<Replica> lost{};
    std::size_t node = 0;
    TimePoint ready{};

    void empty(std::size_t i) {
        const LogEntry& newest = cluster.newest();
        const Replica me{cluster.nodes[i].address, cluster.nodes[i].persisted_state.disk_id};
        std::size_t keep = 0;
        for (const Cluster::Node& n : cluster.nodes) {
            const Replica replica{n.address, n.persisted_state.disk_id};
            keep += replica != me && n.persisted_state.committed.number == newest.number &&
                    std::find(newest.voters.begin(), newest.voters.end(), replica) != newest.voters.end();
        }
        if (lost || cluster.now < ready || keep <= newest.voters.size() / 2) return;
        lost = me;
        node = i;
        cluster.wipe(i);
        cluster.start(i);
    }
    void restore_wiped_voter(std::size_t by) {
        if (!lost) return;
        const Replica in{cluster.nodes[node].address, cluster.nodes[node].persisted_state.disk_id};
        const auto& voters = cluster.newest().voters;
        if (std::find(voters.begin(), voters.end(), in) != voters.end()) {
            lost.reset();
            ready = cluster.now + 1s;
        } else
            cluster.call(by, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.change_voters(voters, replace_voter(voters, *lost, in), cluster.now, actions);
            });
    }
};

std::uint64_t run_order_races(std::uint64_t seed, std::size_t voters) {
    Cluster cluster(seed, voters);
    Operators operators(cluster);
    DiskWiper emptier{cluster};
    cluster.run(200ms);
    cluster.link = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(60'000)));
    cluster.sync = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(40'000)));
    cluster.loss_rate = cluster.chance(0.5) ? 0.1 : 0.0;
    cluster.duplicate_rate = cluster.chance(0.3) ? 0.05 : 0.0;
    operators.loss_rate = cluster.chance(0.7) ? 0.3 : 0.0;
    const bool with_crashes = cluster.chance(0.6), cuts = cluster.chance(0.5);
    for (int step = 0; step < 30; ++step) {
        const std::size_t i = operators.any();
        switch (cluster.random_below(8)) {
            case 0:
            case 1: {    // two to eight at once, some under one number, some older
                const std::uint64_t from =
                    cluster.versions > 1 ? cluster.versions - cluster.random_below(2) : 1;
                for (std::uint64_t n = 2 + cluster.random_below(7); n > 0; --n)
                    operators.order(from + cluster.random_below(3), operators.any());
                break;
            }
            case 2:
                if (with_crashes) {
                    cluster.stop(i, cluster.chance(0.5));
                    cluster.start(i);
                }
                break;
            case 3:
                if (with_crashes) emptier.empty(i);
                break;
            case 4:
                if (cuts)
                    cluster.nodes[i].frozen_until = cluster.now + Duration(cluster.random_below(2'500'000));
                break;
            case 5:
                for (std::size_t o = 0; cuts && o < cluster.nodes.size(); ++o) {
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({i, o});
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({o, i});
                }
                break;
            case 6: cluster.partitioned_links.clear(); break;
            default:    // what was answered for is sent again all the same
                if (!operators.orders.empty())
                    operators.send(cluster.random_below(operators.orders.size()), operators.any());
                break;
        }
        for (std::size_t o = 0; o < cluster.nodes.size(); ++o)
            if (cluster.chance(0.3)) operators.read(o);
        emptier.restore_wiped_voter(operators.any());
        operators.retry_abandoned_calls();
        cluster.run(Duration(cluster.random_below(400'000)));
    }
    // Calm again: each order gets its clear answer, and the same one from every lighthouse.
    cluster.partitioned_links.clear();
    cluster.loss_rate = cluster.duplicate_rate = operators.loss_rate = 0.0;
    for (Cluster::Node& n : cluster.nodes) n.frozen_until = {};
    for (int i = 0; i < 20; ++i) {
        emptier.restore_wiped_voter(operators.any());
        operators.retry_abandoned_calls();
        cluster.run(1s);
    }
    const std::uint64_t unsettled = cluster.indeterminate_count;
    for (const Operators::OperatorCommand& o : operators.orders)
        cr_assert(o.clear, "seed %lu: r%lu has no answer", seed, o.version);
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
        for (std::size_t o = 0; o < operators.orders.size(); o += 1 + cluster.random_below(4))
            operators.send(o, node);
        cluster.run(1s);
        operators.read(node);
        cluster.run(1s);
    }
    cr_assert_eq(cluster.indeterminate_count, unsettled, "seed %lu", seed);
    operators.check_history(seed);
    return operators.conflicts;
}

void run_seeds(std::size_t voters, std::uint64_t seeds) {
    std::uint64_t conflicts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) conflicts += run_order_races(seed, voters);
    cr_assert(conflicts > seeds);
}

}    // namespace

Test(orders, of_many_operators_at_once_have_one_order_of_effects_3) { run_seeds(3, 400 / kLess); }
Test(orders, of_many_operators_at_once_have_one_order_of_effects_5) { run_seeds(5, 200 / kLess); }

// The same number again: the same body is acknowledged for ever, another one only where nothing is known of
// the body that had it.
Test(orders, know_the_body_of_a_number_also_when_it_is_overtaken_and_by_members_that_came_later) {
    Cluster cluster(1, 3);
    cluster.run(200ms);
    std::map<RequestId, Outcome> answers;
    cluster.answered = [&](RequestId request_id, Outcome answer, const LogEntry&) {
        answers[request_id] = answer;
    };
    const auto ask = [&](std::size_t node, std::uint64_t version, const std::string& text) {
        cluster.propose(node, version, text);
        cluster.run(1s);
        return answers.at(cluster.last_request_id);
    };
    cr_assert_eq(ask(0, 4, "{ }"), Outcome::Committed);
    cr_assert_eq(ask(1, 4, "{ }"), Outcome::Committed);
    cr_assert_eq(ask(1, 4, "{}"), Outcome::Conflict);    // by its bytes, not by its meaning
    cr_assert_eq(ask(2, 3, "c"), Outcome::Stale);
    cr_assert_eq(ask(2, 6, "f"), Outcome::Committed);
    cr_assert_eq(ask(0, 5, "e"), Outcome::Stale);    // a number that was never held
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
    for (std::size_t o = 0; o < cluster.nodes.size(); ++o) cluster.stop(o, true);
    for (std::size_t o = 0; o < cluster.nodes.size(); ++o) cluster.start(o);
    for (const std::size_t node : {std::size_t{0}, std::size_t{2}, joined}) {
        cr_assert_eq(ask(node, 4, "{ }"), Outcome::Stale);
        cr_assert_eq(ask(node, 4, "{}"), Outcome::Conflict);
        cr_assert_eq(ask(node, 6, "g"), Outcome::Conflict);
    }
    for (std::uint64_t version = 7; version < 7 + kMaxEarlierDigests; ++version)
        cr_assert_eq(ask(joined, version, "x"), Outcome::Committed);
    cr_assert_eq(cluster.newest().earlier_digests.size(), kMaxEarlierDigests);
    cr_assert_eq(ask(0, 6, "g"), Outcome::Conflict);
    cr_assert_eq(ask(0, 4, "{}"), Outcome::Stale);    // forgotten
    cr_assert_eq(ask(0, 4, "{ }"), Outcome::Stale);
}

// A process that woke finds the answers of before the freeze: they are of no use for who asks now, nor for
// who asked so long ago.
Test(orders, reads_are_not_answered_by_what_was_borne_out_before_a_freeze) {
    Cluster cluster(2, 3);
    cluster.run(200ms);
    std::map<RequestId, Outcome> answers;
    cluster.answered = [&](RequestId request_id, Outcome answer, const LogEntry&) {
        answers[request_id] = answer;
    };
    cluster.propose(0, 1, "a");
    cluster.run(1s);
    cluster.quorum_read(0, 900ms);
    const RequestId before = cluster.last_request_id;
    cluster.nodes[0].frozen_until = cluster.now + 25s;    // its questions are on their way
    cluster.run(5s);
    cluster.propose(1, 2, "b");
    cluster.run(20s);
    cluster.quorum_read(0, 900ms);    // the first that it does is to hear of this one
    const RequestId after = cluster.last_request_id;
    cluster.run(2s);
    cr_assert_eq(answers.at(before), Outcome::Indeterminate);
    cr_assert_eq(answers.at(after), Outcome::Committed);
    cr_assert_eq(cluster.nodes[0].replica->committed_entry().version, 2);
}

}    // namespace shaletray::consensus::test
