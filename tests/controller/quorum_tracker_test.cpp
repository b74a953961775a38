// A lighthouse that has no contact with a majority, in virtual time: it hands out nothing as current,
// acknowledges nothing, refuses nothing, and is whole within `contact` after its return.
#include "controller/quorum_tracker.h"

#include "cluster/consensus/register_cluster.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using consensus::Answer;
using consensus::Ticket;

enum class Trouble { Cut, Deaf, Mute, Frozen };    // Deaf: it hears nobody; Mute: nobody hears it

struct Core {
    consensus::test::World w;
    Duration contact;
    std::vector<Quorum> quorums;
    std::vector<TimePoint> ask;
    std::map<Ticket, Answer> answers;
    std::vector<std::size_t> losses, gains;
    Duration longest_without{};

    Core(std::uint64_t seed, Duration contact) : w(seed, 0), contact(contact), ask(3), losses(3), gains(3) {
        w.answered = [this](Ticket t, Answer a, const consensus::Decree&) { answers[t] = a; };
        w.longest_wait = Quorum(contact, w.now).longest_wait();
        const std::vector<std::string> all{w.name(0), w.name(1), w.name(2)};
        for (std::size_t i = 0; i < 3; ++i) {
            w.nodes.push_back({w.name(i), {}, {}, {}, 0, 0, {}, {}});
            w.start(i, all);
            quorums.emplace_back(contact, w.now);
        }
        run(1s);
    }
    // As the wiring does: looked at after each turn of the register, here every 10 ms.
    void run(Duration more) {
        const TimePoint until = w.now + more;
        while (w.now < until) {
            for (std::size_t i = 0; i < 3; ++i) {
                if (!w.up(i)) continue;
                if (w.now >= ask[i]) {
                    ask[i] = w.now + quorums[i].ask_every();
                    w.confirm(i, 900ms);
                }
                const auto change = quorums[i].look(w.nodes[i].lamp->confirmed(), w.now);
                if (!change) continue;
                ++(change->held ? gains : losses)[i];
                if (change->held) longest_without = std::max(longest_without, change->after);
            }
            w.run(10ms);
        }
    }
    void trouble(Trouble kind, Duration length) {
        for (const std::size_t o : {std::size_t{0}, std::size_t{1}}) {
            if (kind == Trouble::Cut || kind == Trouble::Mute) w.cut.insert({2, o});
            if (kind == Trouble::Cut || kind == Trouble::Deaf) w.cut.insert({o, 2});
        }
        if (kind == Trouble::Frozen) w.nodes[2].frozen = w.now + length;
    }
    bool held(std::size_t i) const { return quorums[i].held(w.now); }
    Ticket order(std::size_t i, std::uint64_t version, const char* text) {
        w.propose(i, version, text, 900ms);
        return w.tickets;
    }
    Ticket read(std::size_t i) {
        w.confirm(i, 900ms);
        return w.tickets;
    }
};

void cut_off(Trouble kind, Duration length, Duration contact, bool changes, std::uint64_t seed) {
    Core c(seed, contact);
    std::uint64_t version = 3;
    cr_assert(c.held(0) && c.held(1) && c.held(2) && c.gains == std::vector<std::size_t>({1, 1, 1}));
    const Ticket first = c.order(0, version, "first");
    c.run(1s);
    cr_assert_eq(c.answers.at(first), Answer::Settled);

    c.trouble(kind, length);
    const TimePoint end = c.w.now + length;
    c.run(contact / 2 + 50ms);
    while (c.w.now + 3s < end) {
        version += changes;
        const Ticket other = c.order(0, version, changes ? "others" : "first");
        std::vector<Ticket> here;
        if (kind != Trouble::Frozen) {
            cr_assert(!c.held(2) && c.losses[2] == 1);
            here = {c.read(2), c.order(2, version + 1, "here"), c.order(2, 3, "first"),
                    c.order(2, 3, "another"), c.order(2, 2, "older")};
        }
        c.run(1s);
        cr_assert_eq(c.answers.at(other), Answer::Settled);
        for (const Ticket ticket : here) cr_assert_eq(c.answers.at(ticket), Answer::Unsettled);
    }
    cr_assert(c.held(0) && c.held(1) && c.losses[0] + c.losses[1] == 0);

    if (kind == Trouble::Frozen) {
        c.w.run(end);
        cr_assert(!c.held(2));    // before it has done or heard anything
    } else {
        c.run(end - c.w.now);
        c.w.cut.clear();
    }
    c.run(contact);
    cr_assert(c.held(2), "%d for %ld s, contact %ld ms, seed %lu", static_cast<int>(kind), length / 1s,
              contact / 1ms, seed);
    cr_assert_eq(c.w.nodes[2].lamp->decree().version, version);
    cr_assert(c.losses[2] == 1 && c.gains[2] == 2);
    cr_assert(c.longest_without >= length - contact && c.quorums[2].losses() == 1);
    const Ticket read = c.read(2), another = c.order(2, 3, "another"), next = c.order(2, version + 1, "next");
    c.run(1s);
    cr_assert(c.answers.at(read) == Answer::Settled && c.answers.at(next) == Answer::Settled);
    cr_assert_eq(c.answers.at(another), Answer::Conflict);
}

}    // namespace

Test(quorum, who_is_cut_off_confirms_and_refuses_nothing_and_is_whole_within_contact) {
    for (const Trouble kind : {Trouble::Cut, Trouble::Deaf, Trouble::Mute, Trouble::Frozen})
        for (const Duration length : {Duration(25s), Duration(60s)})
            for (const Duration contact : {Duration(3s), Duration(1500ms)})
                for (std::uint64_t seed = 1; seed <= 10 / consensus::test::kLess; ++seed)
                    cut_off(kind, length, contact, (seed + length / 60s) % 2 == 0, seed);
}

Test(quorum, a_core_without_a_majority_says_so_once_everywhere) {
    const Duration contact = 1500ms;
    Core c(1, contact);
    c.w.cut = {{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}, {2, 1}};
    c.run(60s);
    for (std::size_t i = 0; i < 3; ++i) cr_assert(!c.held(i) && c.losses[i] == 1 && c.gains[i] == 1);
    c.w.cut.clear();
    c.run(contact);
    for (std::size_t i = 0; i < 3; ++i) cr_assert(c.held(i) && c.losses[i] == 1 && c.gains[i] == 2);
}

}    // namespace shaletray::controller
