// Who is voted into the voters, and by whose proposal.
#include "lighthouse/steward.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace std::chrono_literals;
using lighthouse::Steward;

namespace {

TimePoint at(Duration d) { return TimePoint(1'000'000s + d); }

// Lighthouses by their address; each sees the others as `members` says.
struct World {
    World() {
        for (const char* a : {"a", "b", "c"}) {
            decree.voters.push_back({a, 0});
            add(a, 0, at(0s));
        }
    }
    void add(const std::string& address, std::uint64_t disk, TimePoint now) {
        convoy::Member m;
        m.facts.address = address;
        m.facts.role = convoy::Role::Lighthouse;
        m.facts.quorum = true;
        m.facts.disk = disk;
        m.heard = m.changed = now;
        members[address] = m;
    }
    void state(const std::string& address, convoy::State to, TimePoint now) {
        members[address].state = to;
        members[address].changed = now;
    }
    // What `me` proposes, and when, looking four times a second.
    std::optional<std::pair<Steward::Step, Duration>> first(Steward& steward, const std::string& me,
                                                            Duration from, Duration until) {
        for (Duration t = from; t <= until; t += 250ms) {
            auto others = members;
            others.erase(me);
            for (auto& [address, m] : others)
                if (m.state == convoy::State::Alive) m.heard = at(t);
            if (auto step = steward.next(decree, others, at(t))) return std::pair(*step, t);
        }
        return std::nullopt;
    }
    lamp::Decree decree;
    std::map<std::string, convoy::Member> members;
};

}    // namespace

Test(steward, leaves_the_voters_alone_who_are_whole) {
    World w;
    Steward a({"a", 0}, at(0s));
    cr_assert(!w.first(a, "a", 0s, 30s));
    w.state("c", convoy::State::Suspected, at(1s));    // nobody could take its place
    cr_assert(!w.first(a, "a", 0s, 60s));
}

Test(steward, votes_an_emptied_disk_in_again_by_the_first_that_may) {
    World w;
    w.add("a", 77, at(0s));
    Steward a({"a", 77}, at(0s)), b({"b", 0}, at(0s)), c({"c", 0}, at(0s));
    const auto step = w.first(b, "b", 0s, 10s);
    cr_assert(step && step->first.in == (lamp::Member{"a", 77}) && step->second <= 1250ms);
    cr_assert(step->first.in_place_of == (lamp::Member{"a", 0}));
    cr_assert(!w.first(a, "a", 0s, 30s));    // it has no vote itself
    const auto later = w.first(c, "c", 0s, 30s);
    cr_assert(later && later->second >= 4s);
}

Test(steward, gives_a_lost_ones_place_to_a_newcomer_and_does_not_add_to_the_voters_meanwhile) {
    World w;
    w.add("d", 9, at(0s));
    w.state("c", convoy::State::Suspected, at(1s));
    w.members["c"].heard = at(1s);
    Steward a({"a", 0}, at(0s));
    const auto step = w.first(a, "a", 2s, 20s);
    cr_assert(step && step->first.in == (lamp::Member{"d", 9}));
    cr_assert(step->first.in_place_of == (lamp::Member{"c", 0}) && step->second > 7s);
    w.state("c", convoy::State::Alive, at(21s));
    const auto added = w.first(a, "a", 21s, 40s);
    cr_assert(added && !added->first.in_place_of);
}

Test(steward, waits_a_little_for_one_that_was_stopped_and_for_those_it_has_not_met) {
    World w;
    w.add("d", 9, at(0s));
    w.state("c", convoy::State::Gone, at(1s));
    Steward a({"a", 0}, at(0s));
    const auto step = w.first(a, "a", 1s, 20s);
    cr_assert(step && step->first.in_place_of == (lamp::Member{"c", 0}) && step->second > 4s);
    World v;
    v.add("d", 9, at(10s));
    v.members.erase("c");    // this process has just begun
    Steward b({"a", 0}, at(10s));
    const auto late = v.first(b, "a", 10s, 30s);
    cr_assert(late && late->first.in_place_of == (lamp::Member{"c", 0}) && late->second > 16s);
}
