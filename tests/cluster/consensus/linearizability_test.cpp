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
    struct Order {
        std::uint64_t version = 0, body = 0;
        bool clear = false, under_way = false;
    };
    struct Call {
        std::size_t operation = 0;
        std::optional<std::size_t> order;
        TimePoint given_up;
        bool lost = false;    // its answer will be
    };
    World& w;
    double lost = 0.0;
    std::vector<Operation> seen{};
    std::vector<Order> orders{};
    std::map<Ticket, Call> calls{};
    std::int64_t moment = 0;
    std::uint64_t bodies = 0, conflicts = 0, again = 0;

    explicit Operators(World& world) : w(world) {
        w.answered = [this](Ticket ticket, Answer answer, const Decree& held) { hear(ticket, answer, held); };
    }
    std::size_t any() {
        std::size_t i = w.below(w.nodes.size());
        while (!w.nodes[i].lamp) i = w.below(w.nodes.size());
        return i;
    }
    void invoke(std::size_t node, Operation operation, std::optional<std::size_t> order) {
        operation.invoked = ++moment;
        calls[w.tickets + 1] = {seen.size(), order, w.now + 1s, w.chance(lost)};
        seen.push_back(operation);
        if (order) w.propose(node, operation.version, std::to_string(operation.body), 900ms);
        else w.confirm(node, 900ms);
    }
    void order(std::uint64_t version, std::size_t node) {
        orders.push_back({version, ++bodies});
        send(orders.size() - 1, node);
    }
    void send(std::size_t order, std::size_t node) {
        orders[order].under_way = true;
        Operation o;
        o.version = orders[order].version;
        o.body = orders[order].body;
        invoke(node, o, order);
    }
    void read(std::size_t node) {
        Operation o;
        o.kind = Operation::Kind::Read;
        invoke(node, o, std::nullopt);
    }
    void hear(Ticket ticket, Answer answer, const Decree& held) {
        const auto it = calls.find(ticket);
        if (it == calls.end()) return;
        const Call call = it->second;
        if (call.lost) return;    // it waits in vain
        calls.erase(it);
        if (call.order) orders[*call.order].under_way = false;
        if (answer == Answer::Unsettled) return;
        Operation& o = seen[call.operation];
        o.returned = ++moment;
        o.answer = answer == Answer::Conflict ? Operation::Answer::Conflict : Operation::Answer::Ok;
        conflicts += answer == Answer::Conflict;
        if (call.order) orders[*call.order].clear = true;
        else {
            o.version = held.version;
            o.body = held.version == 0 ? 0 : std::stoull(held.text);
        }
    }
    // Who has waited for a second asks another.
    void look() {
        std::erase_if(calls, [this](const auto& c) {
            if (c.second.given_up > w.now) return false;
            if (c.second.order) orders[*c.second.order].under_way = false;
            return true;
        });
        for (std::size_t i = 0; i < orders.size(); ++i) {
            if (orders[i].clear || orders[i].under_way || w.chance(0.5)) continue;
            ++again;
            send(i, any());
        }
    }
    void judge(std::uint64_t seed) {
        const auto why = history::fault(seen);
        cr_assert(!why, "seed %lu: %s", seed, why->c_str());
    }
};

// Who was emptied is voted in again; the next one is not before that one has had a second.
struct Emptier {
    World& w;
    std::optional<Member> lost{};
    std::size_t node = 0;
    TimePoint ready{};

    void empty(std::size_t i) {
        const Decree& newest = w.newest();
        const Member me{w.nodes[i].address, w.nodes[i].disk.disk};
        std::size_t keep = 0;
        for (const World::Node& n : w.nodes) {
            const Member m{n.address, n.disk.disk};
            keep += m != me && n.disk.decree.number == newest.number &&
                    std::find(newest.voters.begin(), newest.voters.end(), m) != newest.voters.end();
        }
        if (lost || w.now < ready || keep <= newest.voters.size() / 2) return;
        lost = me;
        node = i;
        w.wipe(i);
        w.start(i);
    }
    void look(std::size_t by) {
        if (!lost) return;
        const Member in{w.nodes[node].address, w.nodes[node].disk.disk};
        const auto& voters = w.newest().voters;
        if (std::find(voters.begin(), voters.end(), in) != voters.end()) {
            lost.reset();
            ready = w.now + 1s;
        } else
            w.call(by, [&](Lamp& l, Actions& out) {
                l.change_voters(voters, replaced(voters, *lost, in), w.now, out);
            });
    }
};

std::uint64_t races_of_orders(std::uint64_t seed, std::size_t voters) {
    World w(seed, voters);
    Operators operators(w);
    Emptier emptier{w};
    w.run(200ms);
    w.link = Duration(1000 + static_cast<Duration::rep>(w.below(60'000)));
    w.sync = Duration(1000 + static_cast<Duration::rep>(w.below(40'000)));
    w.lost = w.chance(0.5) ? 0.1 : 0.0;
    w.repeated = w.chance(0.3) ? 0.05 : 0.0;
    operators.lost = w.chance(0.7) ? 0.3 : 0.0;
    const bool deaths = w.chance(0.6), cuts = w.chance(0.5);
    for (int step = 0; step < 30; ++step) {
        const std::size_t i = operators.any();
        switch (w.below(8)) {
            case 0:
            case 1: {    // two to eight at once, some under one number, some older
                const std::uint64_t from = w.versions > 1 ? w.versions - w.below(2) : 1;
                for (std::uint64_t n = 2 + w.below(7); n > 0; --n)
                    operators.order(from + w.below(3), operators.any());
                break;
            }
            case 2:
                if (deaths) {
                    w.stop(i, w.chance(0.5));
                    w.start(i);
                }
                break;
            case 3:
                if (deaths) emptier.empty(i);
                break;
            case 4:
                if (cuts) w.nodes[i].frozen = w.now + Duration(w.below(2'500'000));
                break;
            case 5:
                for (std::size_t o = 0; cuts && o < w.nodes.size(); ++o) {
                    if (w.chance(0.3)) w.cut.insert({i, o});
                    if (w.chance(0.3)) w.cut.insert({o, i});
                }
                break;
            case 6: w.cut.clear(); break;
            default:    // what was answered for is sent again all the same
                if (!operators.orders.empty())
                    operators.send(w.below(operators.orders.size()), operators.any());
                break;
        }
        for (std::size_t o = 0; o < w.nodes.size(); ++o)
            if (w.chance(0.3)) operators.read(o);
        emptier.look(operators.any());
        operators.look();
        w.run(Duration(w.below(400'000)));
    }
    // Calm again: each order gets its clear answer, and the same one from every lighthouse.
    w.cut.clear();
    w.lost = w.repeated = operators.lost = 0.0;
    for (World::Node& n : w.nodes) n.frozen = {};
    for (int i = 0; i < 20; ++i) {
        emptier.look(operators.any());
        operators.look();
        w.run(1s);
    }
    const std::uint64_t unsettled = w.unsettled;
    for (const Operators::Order& o : operators.orders)
        cr_assert(o.clear, "seed %lu: r%lu has no answer", seed, o.version);
    for (std::size_t node = 0; node < w.nodes.size(); ++node) {
        for (std::size_t o = 0; o < operators.orders.size(); o += 1 + w.below(4)) operators.send(o, node);
        w.run(1s);
        operators.read(node);
        w.run(1s);
    }
    cr_assert_eq(w.unsettled, unsettled, "seed %lu", seed);
    operators.judge(seed);
    return operators.conflicts;
}

void play(std::size_t voters, std::uint64_t seeds) {
    std::uint64_t conflicts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) conflicts += races_of_orders(seed, voters);
    cr_assert(conflicts > seeds);
}

}    // namespace

Test(orders, of_many_operators_at_once_have_one_order_of_effects_3) { play(3, 400 / kLess); }
Test(orders, of_many_operators_at_once_have_one_order_of_effects_5) { play(5, 200 / kLess); }

// The same number again: the same body is acknowledged for ever, another one only where nothing is known of
// the body that had it.
Test(orders, know_the_body_of_a_number_also_when_it_is_overtaken_and_by_members_that_came_later) {
    World w(1, 3);
    w.run(200ms);
    std::map<Ticket, Answer> answers;
    w.answered = [&](Ticket ticket, Answer answer, const Decree&) { answers[ticket] = answer; };
    const auto ask = [&](std::size_t node, std::uint64_t version, const std::string& text) {
        w.propose(node, version, text);
        w.run(1s);
        return answers.at(w.tickets);
    };
    cr_assert_eq(ask(0, 4, "{ }"), Answer::Settled);
    cr_assert_eq(ask(1, 4, "{ }"), Answer::Settled);
    cr_assert_eq(ask(1, 4, "{}"), Answer::Conflict);    // by its bytes, not by its meaning
    cr_assert_eq(ask(2, 3, "c"), Answer::Superseded);
    cr_assert_eq(ask(2, 6, "f"), Answer::Settled);
    cr_assert_eq(ask(0, 5, "e"), Answer::Superseded);    // a number that was never held
    w.wipe(2);
    w.start(2);
    const std::size_t joined = w.join();
    w.call(0, [&](Lamp& l, Actions& out) {
        const auto& voters = l.decree().voters;
        l.change_voters(voters,
                        replaced(voters, {w.nodes[2].address, 0}, {w.nodes[2].address, w.nodes[2].disk.disk}),
                        w.now, out);
    });
    w.run(2s);
    cr_assert(w.nodes[2].lamp->is_voter());
    for (std::size_t o = 0; o < w.nodes.size(); ++o) w.stop(o, true);
    for (std::size_t o = 0; o < w.nodes.size(); ++o) w.start(o);
    for (const std::size_t node : {std::size_t{0}, std::size_t{2}, joined}) {
        cr_assert_eq(ask(node, 4, "{ }"), Answer::Superseded);
        cr_assert_eq(ask(node, 4, "{}"), Answer::Conflict);
        cr_assert_eq(ask(node, 6, "g"), Answer::Conflict);
    }
    for (std::uint64_t version = 7; version < 7 + kMostEarlier; ++version)
        cr_assert_eq(ask(joined, version, "x"), Answer::Settled);
    cr_assert_eq(w.newest().earlier.size(), kMostEarlier);
    cr_assert_eq(ask(0, 6, "g"), Answer::Conflict);
    cr_assert_eq(ask(0, 4, "{}"), Answer::Superseded);    // forgotten
    cr_assert_eq(ask(0, 4, "{ }"), Answer::Superseded);
}

// A process that woke finds the answers of before the freeze: they are of no use for who asks now, nor for
// who asked so long ago.
Test(orders, reads_are_not_answered_by_what_was_borne_out_before_a_freeze) {
    World w(2, 3);
    w.run(200ms);
    std::map<Ticket, Answer> answers;
    w.answered = [&](Ticket ticket, Answer answer, const Decree&) { answers[ticket] = answer; };
    w.propose(0, 1, "a");
    w.run(1s);
    w.confirm(0, 900ms);
    const Ticket before = w.tickets;
    w.nodes[0].frozen = w.now + 25s;    // its questions are on their way
    w.run(5s);
    w.propose(1, 2, "b");
    w.run(20s);
    w.confirm(0, 900ms);    // the first that it does is to hear of this one
    const Ticket after = w.tickets;
    w.run(2s);
    cr_assert_eq(answers.at(before), Answer::Unsettled);
    cr_assert_eq(answers.at(after), Answer::Settled);
    cr_assert_eq(w.nodes[0].lamp->decree().version, 2);
}

}    // namespace shaletray::consensus::test
