// Who is voted into the voters, and by whose proposal.
#include "controller/voter_reconciler.h"

#include <criterion/criterion.h>

#include <set>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::VoterReconciler;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

// Lighthouses by their address; each sees the others as `members` says.
struct TestCluster {
    TestCluster() {
        for (const char* a : {"a", "b", "c"}) {
            decree.voters.push_back({a, 0});
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
    // What `me` proposes, and when, looking four times a second; `behind` have not learnt the decree yet.
    std::optional<std::pair<VoterReconciler::VoterChange, Duration>> first(VoterReconciler& reconciler,
                                                                           const std::string& me,
                                                                           Duration from, Duration until) {
        for (Duration offset = from; offset <= until; offset += 250ms) {
            auto others = members;
            others.erase(me);
            for (auto& [address, m] : others)
                if (m.state == membership::State::Alive) m.last_heard = time_at(offset);
            const auto is_caught_up = [&](const consensus::Replica& replica) {
                return !behind.contains(replica.address);
            };
            if (auto step = reconciler.next_change(decree, others, is_caught_up, time_at(offset)))
                return std::pair(*step, offset);
        }
        return std::nullopt;
    }
    std::set<std::string> behind;
    consensus::LogEntry decree;
    std::map<std::string, membership::Member> members;
};

}    // namespace

VoterReconciler steward(const std::string& me, std::uint64_t disk, Duration now, std::size_t losses = 1) {
    return VoterReconciler({{me, disk}, losses, 4s}, time_at(now));
}
using Voters = std::vector<consensus::Replica>;

Test(steward, leaves_the_voters_alone_who_are_whole) {
    TestCluster cluster;
    VoterReconciler reconciler = steward("a", 0, 0s);
    cr_assert(!cluster.first(reconciler, "a", 0s, 30s));
    cluster.state("c", membership::State::Suspect, time_at(1s));    // nobody could take its place
    cr_assert(!cluster.first(reconciler, "a", 0s, 60s));
}

Test(steward, votes_an_emptied_disk_in_again_by_the_first_that_may) {
    TestCluster cluster;
    cluster.add("a", 77, time_at(0s));
    VoterReconciler a = steward("a", 77, 0s), b = steward("b", 0, 0s), reconciler = steward("c", 0, 0s);
    const auto step = cluster.first(b, "b", 0s, 10s);
    cr_assert(step && step->second <= 1250ms);
    cr_assert(step->first.current_voters == cluster.decree.voters);
    cr_assert(step->first.new_voters == (Voters{{"a", 77}, {"b", 0}, {"c", 0}}));
    cr_assert(!cluster.first(a, "a", 0s, 30s));    // it has no vote itself
    const auto later = cluster.first(reconciler, "c", 0s, 30s);
    cr_assert(later && later->second >= step->second + 500ms);
    cluster.behind = {"a"};    // who has not learnt what was decided does not vote on what follows
    VoterReconciler again = steward("b", 0, 0s);
    cr_assert(!cluster.first(again, "b", 0s, 30s));
}

Test(steward, gives_a_lost_ones_place_to_a_newcomer_in_time_and_does_not_add_to_the_voters) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler reconciler = steward("a", 0, 0s);
    cr_assert(!cluster.first(reconciler, "a", 0s, 20s));    // four bear no more than three
    cluster.state("c", membership::State::Suspect, time_at(22s));
    cluster.members["c"].last_heard = time_at(20s);
    const auto step = cluster.first(reconciler, "a", 22s, 40s);
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    // Within catch_up (4 s) of the loss, after which another one may follow; but not of a short silence.
    cr_assert(step->second > 22s && step->second <= 23s);
}

Test(steward, replaces_who_said_goodbye_at_once_and_waits_for_those_it_has_not_met) {
    TestCluster w;
    w.add("d", 9, time_at(0s));
    w.state("c", membership::State::Dead, time_at(1s));
    w.members["c"].departed = true;
    VoterReconciler a = steward("a", 0, 0s);
    const auto step = w.first(a, "a", 1s, 20s);
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && step->second <= 2s);
    TestCluster cluster;
    cluster.add("d", 9, time_at(10s));
    cluster.members.erase("c");    // this process has just begun
    VoterReconciler reconciler = steward("a", 0, 10s);
    const auto late = cluster.first(reconciler, "a", 10s, 30s);
    cr_assert(late && late->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) && late->second > 14s);
}

Test(steward, hands_its_vote_on_before_it_leaves) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler c = steward("c", 0, 0s);
    cr_assert(!cluster.first(c, "c", 0s, 2s));
    c.start_leaving();
    const auto step = cluster.first(c, "c", 2s, 2s);    // though others would come first
    cr_assert(step && step->first.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    cluster.members["c"].info.voter_eligible = false;    // as it says of itself then
    VoterReconciler reconciler = steward("a", 0, 0s);
    const auto others = cluster.first(reconciler, "a", 0s, 2s);
    cr_assert(others && others->first.new_voters == step->first.new_voters);
    TestCluster alone;
    VoterReconciler last = steward("c", 0, 0s);
    last.start_leaving();    // nobody takes it: two of two bear less than two of three with one that comes
                             // back
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
                        TestCluster cluster;
                        cluster.decree.voters.clear();
                        cluster.members.clear();
                        const auto name = [](std::size_t i) {
                            return std::string(1, static_cast<char>('a' + i));
                        };
                        for (std::size_t i = 0; i < n + fresh; ++i) {
                            cluster.add(name(i), i, time_at(0s));
                            if (i < n) cluster.decree.voters.push_back({name(i), i});
                            if (i >= n || i == 0) continue;
                            cluster.members[name(i)].info.voter_eligible = i > leaving;
                            if (i + away < n) continue;
                            cluster.state(name(i), membership::State::Dead, time_at(0s));
                            cluster.members[name(i)].departed = true;
                        }
                        const auto bears = [&] {
                            const auto& v = cluster.decree.voters;
                            const auto answer =
                                std::count_if(v.begin(), v.end(), [&](const consensus::Replica& replica) {
                                    const auto& member = cluster.members[replica.address];
                                    return member.state == membership::State::Alive &&
                                           member.info.voter_eligible;
                                });
                            return VoterReconciler::tolerated_failures(static_cast<std::size_t>(answer),
                                                                       v.size());
                        };
                        VoterReconciler reconciler = steward("a", 0, 0s, losses);
                        int steps = 0;
                        while (const auto step = cluster.first(reconciler, "a", 10s, 12s)) {
                            const int before = bears();
                            cluster.decree.voters = step->first.new_voters;
                            cr_assert(bears() >= before,
                                      "%zu voters, %zu away, %zu leave, %zu come: %d to %d", n, away, leaving,
                                      fresh, before, bears());
                            cr_assert(++steps < 10);
                        }
                        const std::size_t here = n - away - leaving, left = cluster.decree.voters.size();
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
