// Who is voted into the voters, and by whose proposal.
#include "controller/voter_reconciler.h"

#include <criterion/criterion.h>

#include <set>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::Steward;

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
        membership::Member m;
        m.facts.address = address;
        m.facts.role = membership::Role::Lighthouse;
        m.facts.quorum = true;
        m.facts.disk = disk;
        m.heard = m.changed = now;
        members[address] = m;
    }
    void state(const std::string& address, membership::State to, TimePoint now) {
        members[address].state = to;
        members[address].changed = now;
    }
    // What `me` proposes, and when, looking four times a second; `behind` have not learnt the decree yet.
    std::optional<std::pair<Steward::Step, Duration>> first(Steward& steward, const std::string& me,
                                                            Duration from, Duration until) {
        for (Duration t = from; t <= until; t += 250ms) {
            auto others = members;
            others.erase(me);
            for (auto& [address, m] : others)
                if (m.state == membership::State::Alive) m.heard = at(t);
            const auto follows = [&](const consensus::Member& m) { return !behind.contains(m.address); };
            if (auto step = steward.next(decree, others, follows, at(t))) return std::pair(*step, t);
        }
        return std::nullopt;
    }
    std::set<std::string> behind;
    consensus::Decree decree;
    std::map<std::string, membership::Member> members;
};

}    // namespace

Steward steward(const std::string& me, std::uint64_t disk, Duration now, std::size_t losses = 1) {
    return Steward({{me, disk}, losses, 4s}, at(now));
}
using Voters = std::vector<consensus::Member>;

Test(steward, leaves_the_voters_alone_who_are_whole) {
    World w;
    Steward a = steward("a", 0, 0s);
    cr_assert(!w.first(a, "a", 0s, 30s));
    w.state("c", membership::State::Suspected, at(1s));    // nobody could take its place
    cr_assert(!w.first(a, "a", 0s, 60s));
}

Test(steward, votes_an_emptied_disk_in_again_by_the_first_that_may) {
    World w;
    w.add("a", 77, at(0s));
    Steward a = steward("a", 77, 0s), b = steward("b", 0, 0s), c = steward("c", 0, 0s);
    const auto step = w.first(b, "b", 0s, 10s);
    cr_assert(step && step->second <= 1250ms);
    cr_assert(step->first.from == w.decree.voters);
    cr_assert(step->first.to == (Voters{{"a", 77}, {"b", 0}, {"c", 0}}));
    cr_assert(!w.first(a, "a", 0s, 30s));    // it has no vote itself
    const auto later = w.first(c, "c", 0s, 30s);
    cr_assert(later && later->second >= step->second + 500ms);
    w.behind = {"a"};    // who has not learnt what was decided does not vote on what follows
    Steward again = steward("b", 0, 0s);
    cr_assert(!w.first(again, "b", 0s, 30s));
}

Test(steward, gives_a_lost_ones_place_to_a_newcomer_in_time_and_does_not_add_to_the_voters) {
    World w;
    w.add("d", 9, at(0s));
    Steward a = steward("a", 0, 0s);
    cr_assert(!w.first(a, "a", 0s, 20s));    // four bear no more than three
    w.state("c", membership::State::Suspected, at(22s));
    w.members["c"].heard = at(20s);
    const auto step = w.first(a, "a", 22s, 40s);
    cr_assert(step && step->first.to == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    // Within catch_up (4 s) of the loss, after which another one may follow; but not of a short silence.
    cr_assert(step->second > 22s && step->second <= 23s);
}

Test(steward, replaces_who_said_goodbye_at_once_and_waits_for_those_it_has_not_met) {
    World w;
    w.add("d", 9, at(0s));
    w.state("c", membership::State::Gone, at(1s));
    w.members["c"].ended = true;
    Steward a = steward("a", 0, 0s);
    const auto step = w.first(a, "a", 1s, 20s);
    cr_assert(step && step->first.to == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && step->second <= 2s);
    World v;
    v.add("d", 9, at(10s));
    v.members.erase("c");    // this process has just begun
    Steward b = steward("a", 0, 10s);
    const auto late = v.first(b, "a", 10s, 30s);
    cr_assert(late && late->first.to == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && late->second > 14s);
}

Test(steward, hands_its_vote_on_before_it_leaves) {
    World w;
    w.add("d", 9, at(0s));
    Steward c = steward("c", 0, 0s);
    cr_assert(!w.first(c, "c", 0s, 2s));
    c.leave();
    const auto step = w.first(c, "c", 2s, 2s);    // though others would come first
    cr_assert(step && step->first.to == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    w.members["c"].facts.quorum = false;    // as it says of itself then
    Steward a = steward("a", 0, 0s);
    const auto others = w.first(a, "a", 0s, 2s);
    cr_assert(others && others->first.to == step->first.to);
    World alone;
    Steward last = steward("c", 0, 0s);
    last.leave();    // nobody takes it: two of two bear less than two of three with one that comes back
    cr_assert(!alone.first(last, "c", 0s, 5s));
}

// Every set of 1 to 9 voters with any of them away or leaving, and up to four newcomers: whatever is proposed
// bears no less, names nobody who is away beside someone who could vote, and ends.
Test(steward, no_step_lowers_the_losses_that_are_borne_and_all_end_in_an_odd_number) {
    std::size_t states = 0;
    for (std::size_t losses = 1; losses <= 3; ++losses)
        for (std::size_t n = 1; n <= 9; ++n)
            for (std::size_t away = 0; away < n; ++away)
                for (std::size_t leaving = 0; away + leaving < n; ++leaving)
                    for (std::size_t fresh = 0; fresh <= 4; ++fresh, ++states) {
                        World w;
                        w.decree.voters.clear();
                        w.members.clear();
                        const auto name = [](std::size_t i) {
                            return std::string(1, static_cast<char>('a' + i));
                        };
                        for (std::size_t i = 0; i < n + fresh; ++i) {
                            w.add(name(i), i, at(0s));
                            if (i < n) w.decree.voters.push_back({name(i), i});
                            if (i >= n || i == 0) continue;
                            w.members[name(i)].facts.quorum = i > leaving;
                            if (i + away < n) continue;
                            w.state(name(i), membership::State::Gone, at(0s));
                            w.members[name(i)].ended = true;
                        }
                        const auto bears = [&] {
                            const auto& v = w.decree.voters;
                            const auto answer =
                                std::count_if(v.begin(), v.end(), [&](const consensus::Member& m) {
                                    const auto& member = w.members[m.address];
                                    return member.state == membership::State::Alive && member.facts.quorum;
                                });
                            return Steward::bears(static_cast<std::size_t>(answer), v.size());
                        };
                        Steward a = steward("a", 0, 0s, losses);
                        int steps = 0;
                        while (const auto step = w.first(a, "a", 10s, 12s)) {
                            const int before = bears();
                            w.decree.voters = step->first.to;
                            cr_assert(bears() >= before,
                                      "%zu voters, %zu away, %zu leave, %zu come: %d to %d", n, away, leaving,
                                      fresh, before, bears());
                            cr_assert(++steps < 10);
                        }
                        const std::size_t here = n - away - leaving, left = w.decree.voters.size();
                        const std::size_t least = 2 * losses + 1;
                        // As many as the system may lose, wherever there are machines for it.
                        if (here + fresh >= least && left >= least)
                            cr_assert(bears() >= static_cast<int>(losses),
                                      "%zu voters, %zu away, %zu leave, %zu come: bears %d", n, away, leaving,
                                      fresh, bears());
                        cr_assert(left % 2 == 1 || left <= least || (away + leaving == 0 && fresh == 0),
                                  "%zu voters, %zu away, %zu leave, %zu come: %zu left", n, away, leaving,
                                  fresh, left);
                    }
    printf("%zu sets of voters\n", states);
}
