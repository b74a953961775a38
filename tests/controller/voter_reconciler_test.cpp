// Which voters are proposed, when, and by which controller.
#include "controller/voter_reconciler.h"

#include <criterion/criterion.h>

#include <set>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::VoterReconciler;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

// Controllers by their address; each sees the others as `members` says.
struct TestCluster {
    TestCluster() {
        for (const char* a : {"a", "b", "c"}) {
            entry.voters.push_back({a, 0});
            add(a, 0, time_at(0s));
        }
    }
    void add(const std::string& address, std::uint64_t disk, TimePoint now) {
        membership::Member replica;
        replica.info.address = address;
        replica.info.role = membership::Role::Controller;
        replica.info.voter_eligible = true;
        replica.info.disk_id = disk;
        replica.last_heard = replica.state_changed_at = now;
        members[address] = replica;
    }
    void state(const std::string& address, membership::State to, TimePoint now) {
        members[address].state = to;
        members[address].state_changed_at = now;
    }
    // What `self` proposes first, and when, asked four times a second. Those in `behind` lack the newest
    // entry.
    std::optional<std::pair<VoterReconciler::VoterChange, Duration>> first_proposal(
        VoterReconciler& reconciler, const std::string& self, Duration from, Duration until) {
        for (Duration offset = from; offset <= until; offset += 250ms) {
            auto others = members;
            others.erase(self);
            for (auto& [address, m] : others)
                if (m.state == membership::State::Alive) m.last_heard = time_at(offset);
            const auto is_caught_up = [&](const consensus::Replica& replica) {
                return !behind.contains(replica.address);
            };
            if (auto step = reconciler.next_change(entry, others, is_caught_up, time_at(offset)))
                return std::pair(*step, offset);
        }
        return std::nullopt;
    }
    std::set<std::string> behind;
    consensus::LogEntry entry;
    std::map<std::string, membership::Member> members;
};

}    // namespace

VoterReconciler make_reconciler(const std::string& self, std::uint64_t disk, Duration now,
                                std::size_t max_failures = 1) {
    return VoterReconciler({{self, disk}, max_failures, 4s}, time_at(now));
}
using Voters = std::vector<consensus::Replica>;

Test(voter_reconciler, leaves_responding_voters_alone) {
    TestCluster cluster;
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    cr_assert(!cluster.first_proposal(reconciler, "a", 0s, 30s));
    cluster.state("c", membership::State::Suspect, time_at(1s));    // nobody can take its place
    cr_assert(!cluster.first_proposal(reconciler, "a", 0s, 60s));
}

Test(voter_reconciler, readmits_an_emptied_disk_by_the_first_voter_that_responds) {
    TestCluster cluster;
    cluster.add("a", 77, time_at(0s));
    VoterReconciler a = make_reconciler("a", 77, 0s), b = make_reconciler("b", 0, 0s),
                    reconciler = make_reconciler("c", 0, 0s);
    const auto step = cluster.first_proposal(b, "b", 0s, 10s);
    cr_assert(step && step->second <= 1250ms);
    cr_assert(step->first.current_voters == cluster.entry.voters);
    cr_assert(step->first.new_voters == (Voters{{"a", 77}, {"b", 0}, {"c", 0}}));
    cr_assert(!cluster.first_proposal(a, "a", 0s, 30s));    // it has no vote itself
    const auto later = cluster.first_proposal(reconciler, "c", 0s, 30s);
    cr_assert(later && later->second >= step->second + 500ms);
    cluster.behind = {"a"};    // who lacks the newest entry must not vote on the next one
    VoterReconciler again = make_reconciler("b", 0, 0s);
    cr_assert(!cluster.first_proposal(again, "b", 0s, 30s));
}

Test(voter_reconciler, replaces_a_failed_voter_in_time_and_keeps_the_number_of_voters) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    cr_assert(
        !cluster.first_proposal(reconciler, "a", 0s, 20s));    // four tolerate no more failures than three
    cluster.state("c", membership::State::Suspect, time_at(22s));
    cluster.members["c"].last_heard = time_at(20s);
    const auto step = cluster.first_proposal(reconciler, "a", 22s, 40s);
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    // Within the catch-up time (4 s), after which another failure may follow; but not after a short silence.
    cr_assert(step->second > 22s && step->second <= 23s);
}

Test(voter_reconciler, replaces_a_departed_voter_at_once_and_waits_for_unknown_ones) {
    TestCluster w;
    w.add("d", 9, time_at(0s));
    w.state("c", membership::State::Dead, time_at(1s));
    w.members["c"].departed = true;
    VoterReconciler a = make_reconciler("a", 0, 0s);
    const auto step = w.first_proposal(a, "a", 1s, 20s);
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && step->second <= 2s);
    TestCluster cluster;
    cluster.add("d", 9, time_at(10s));
    cluster.members.erase("c");    // this process has just started
    VoterReconciler reconciler = make_reconciler("a", 0, 10s);
    const auto late = cluster.first_proposal(reconciler, "a", 10s, 30s);
    cr_assert(late && late->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && late->second > 14s);
}

Test(voter_reconciler, hands_over_its_vote_before_it_leaves) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler c = make_reconciler("c", 0, 0s);
    cr_assert(!cluster.first_proposal(c, "c", 0s, 2s));
    c.start_leaving();
    const auto step =
        cluster.first_proposal(c, "c", 2s, 2s);    // at once, though others are before it by address
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    cluster.members["c"].info.voter_eligible = false;    // as it then announces
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    const auto others = cluster.first_proposal(reconciler, "a", 0s, 2s);
    cr_assert(others && others->first.new_voters == step->first.new_voters);
    TestCluster alone;
    VoterReconciler last = make_reconciler("c", 0, 0s);
    last.start_leaving();    // nobody takes its vote: two of two tolerate less than two of three, one of
                             // which may return
    cr_assert(!alone.first_proposal(last, "c", 0s, 5s));
}

// Every set of 1 to 9 voters with any number of them unavailable or leaving, and up to four candidates: no
// proposed change tolerates fewer failures than before, and the changes come to an end.
Test(voter_reconciler, no_change_lowers_the_tolerated_failures_and_all_end_in_an_odd_number) {
    std::size_t states = 0;
    for (std::size_t max_failures = 1; max_failures <= 3; ++max_failures)
        for (std::size_t n = 1; n <= 9; ++n)
            for (std::size_t unavailable = 0; unavailable < n; ++unavailable)
                for (std::size_t leaving = 0; unavailable + leaving < n; ++leaving)
                    for (std::size_t candidates = 0; candidates <= 4; ++candidates, ++states) {
                        TestCluster cluster;
                        cluster.entry.voters.clear();
                        cluster.members.clear();
                        const auto name = [](std::size_t i) {
                            return std::string(1, static_cast<char>('a' + i));
                        };
                        for (std::size_t i = 0; i < n + candidates; ++i) {
                            cluster.add(name(i), i, time_at(0s));
                            if (i < n) cluster.entry.voters.push_back({name(i), i});
                            if (i >= n || i == 0) continue;
                            cluster.members[name(i)].info.voter_eligible = i > leaving;
                            if (i + unavailable < n) continue;
                            cluster.state(name(i), membership::State::Dead, time_at(0s));
                            cluster.members[name(i)].departed = true;
                        }
                        const auto tolerated_failures = [&] {
                            const auto& v = cluster.entry.voters;
                            const auto answer =
                                std::count_if(v.begin(), v.end(), [&](const consensus::Replica& replica) {
                                    const auto& member = cluster.members[replica.address];
                                    return member.state == membership::State::Alive &&
                                           member.info.voter_eligible;
                                });
                            return VoterReconciler::tolerated_failures(static_cast<std::size_t>(answer),
                                                                       v.size());
                        };
                        VoterReconciler reconciler = make_reconciler("a", 0, 0s, max_failures);
                        int steps = 0;
                        while (const auto step = cluster.first_proposal(reconciler, "a", 10s, 12s)) {
                            const int before = tolerated_failures();
                            cluster.entry.voters = step->first.new_voters;
                            cr_assert(tolerated_failures() >= before,
                                      "%zu voters, %zu unavailable, %zu leave, %zu come: %d to %d", n,
                                      unavailable, leaving, candidates, before, tolerated_failures());
                            cr_assert(++steps < 10);
                        }
                        const std::size_t here = n - unavailable - leaving,
                                          left = cluster.entry.voters.size();
                        const std::size_t least = 2 * max_failures + 1;
                        // As many failures as the system has to tolerate, wherever there are machines for it.
                        if (here + candidates >= least && left >= least)
                            cr_assert(tolerated_failures() >= static_cast<int>(max_failures),
                                      "%zu voters, %zu unavailable, %zu leave, %zu come: tolerates %d", n,
                                      unavailable, leaving, candidates, tolerated_failures());
                        cr_assert(
                            left % 2 == 1 || left <= least || (unavailable + leaving == 0 && candidates == 0),
                            "%zu voters, %zu unavailable, %zu leave, %zu come: %zu left", n, unavailable,
                            leaving, candidates, left);
                    }
    printf("%zu sets of voters\n", states);
}
