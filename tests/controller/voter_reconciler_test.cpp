// Which voter changes are proposed, when, and by which controller.
#include "controller/voter_reconciler.h"

#include <criterion/criterion.h>

#include <set>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::VoterReconciler;
using controller::Voters;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

struct Proposal {
    VoterReconciler::VoterChange change;
    Duration proposed_at;    // offset of time_at()
};

// A cluster in which each controller sees the other members as in `members`.
struct TestCluster {
    TestCluster() {
        for (const char* address : {"a", "b", "c"}) {
            entry.voters.push_back({address, 0});
            add(address, 0, time_at(0s));
        }
    }
    void add(const std::string& address, std::uint64_t disk, TimePoint now) {
        membership::Member member;
        member.info.address = address;
        member.info.role = membership::Role::Controller;
        member.info.voter_eligible = true;
        member.info.disk_id = disk;
        member.last_heard = member.state_changed_at = now;
        members[address] = member;
    }
    void set_state(const std::string& address, membership::State to, TimePoint now) {
        members[address].state = to;
        members[address].state_changed_at = now;
    }
    // The first proposal of `self` and its time; the reconciler runs four times a second. Controllers in
    // `behind` lack the newest entry.
    std::optional<Proposal> first_proposal(VoterReconciler& reconciler, const std::string& self,
                                           Duration from, Duration until) {
        for (Duration offset = from; offset <= until; offset += 250ms) {
            auto others = members;
            others.erase(self);
            for (auto& [address, member] : others)
                if (member.state == membership::State::Alive) member.last_heard = time_at(offset);
            const auto is_caught_up = [&](const consensus::Replica& replica) {
                return !behind.contains(replica.address);
            };
            if (auto change = reconciler.next_change(entry, others, is_caught_up, time_at(offset)))
                return Proposal{*change, offset};
        }
        return std::nullopt;
    }
    std::set<std::string> behind;
    consensus::LogEntry entry;
    std::map<std::string, membership::Member> members;
};

VoterReconciler make_reconciler(const std::string& self, std::uint64_t disk, Duration now,
                                std::size_t max_failures = 1) {
    return VoterReconciler({{self, disk}, max_failures, 4s}, time_at(now));
}

}    // namespace

Test(voter_reconciler, keeps_responding_voters) {
    TestCluster cluster;
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    cr_assert(!cluster.first_proposal(reconciler, "a", 0s, 30s));
    cluster.set_state("c", membership::State::Suspect, time_at(1s));    // there is no candidate to replace it
    cr_assert(!cluster.first_proposal(reconciler, "a", 0s, 60s));
}

Test(voter_reconciler, first_responding_voter_readmits_a_wiped_disk) {
    TestCluster cluster;
    cluster.add("a", 77, time_at(0s));
    VoterReconciler voter_a = make_reconciler("a", 77, 0s), voter_b = make_reconciler("b", 0, 0s),
                    reconciler = make_reconciler("c", 0, 0s);
    const auto proposal = cluster.first_proposal(voter_b, "b", 0s, 10s);
    cr_assert(proposal && proposal->proposed_at <= 1250ms);
    cr_assert(proposal->change.current_voters == cluster.entry.voters);
    cr_assert(proposal->change.new_voters == (Voters{{"a", 77}, {"b", 0}, {"c", 0}}));
    cr_assert(!cluster.first_proposal(voter_a, "a", 0s, 30s));    // it has no vote itself
    const auto later_proposal = cluster.first_proposal(reconciler, "c", 0s, 30s);
    cr_assert(later_proposal && later_proposal->proposed_at >= proposal->proposed_at + 500ms);
    cluster.behind = {"a"};    // a controller that lacks the newest entry must not vote on the next one
    VoterReconciler new_reconciler = make_reconciler("b", 0, 0s);
    cr_assert(!cluster.first_proposal(new_reconciler, "b", 0s, 30s));
}

Test(voter_reconciler, replaces_a_failed_voter_in_time_and_keeps_the_number_of_voters) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    cr_assert(
        !cluster.first_proposal(reconciler, "a", 0s, 20s));    // four tolerate no more failures than three
    cluster.set_state("c", membership::State::Suspect, time_at(22s));
    cluster.members["c"].last_heard = time_at(20s);
    const auto proposal = cluster.first_proposal(reconciler, "a", 22s, 40s);
    cr_assert(proposal && proposal->change.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    // Within the catch-up time (4 s), after which another failure may follow, but not after a short silence.
    cr_assert(proposal->proposed_at > 22s && proposal->proposed_at <= 23s);
}

Test(voter_reconciler, replaces_a_departed_voter_at_once_and_waits_for_unknown_ones) {
    TestCluster departed_cluster;
    departed_cluster.add("d", 9, time_at(0s));
    departed_cluster.set_state("c", membership::State::Dead, time_at(1s));
    departed_cluster.members["c"].departed = true;
    VoterReconciler voter_a = make_reconciler("a", 0, 0s);
    const auto proposal = departed_cluster.first_proposal(voter_a, "a", 1s, 20s);
    cr_assert(proposal && proposal->change.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) &&
              proposal->proposed_at <= 2s);
    TestCluster cluster;
    cluster.add("d", 9, time_at(10s));
    cluster.members.erase("c");    // this process has just started
    VoterReconciler reconciler = make_reconciler("a", 0, 10s);
    const auto late_proposal = cluster.first_proposal(reconciler, "a", 10s, 30s);
    cr_assert(late_proposal && late_proposal->change.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}) &&
              late_proposal->proposed_at > 14s);
}

Test(voter_reconciler, hands_over_its_vote_before_it_leaves) {
    TestCluster cluster;
    cluster.add("d", 9, time_at(0s));
    VoterReconciler voter_c = make_reconciler("c", 0, 0s);
    cr_assert(!cluster.first_proposal(voter_c, "c", 0s, 2s));
    voter_c.start_leaving();
    const auto proposal =
        cluster.first_proposal(voter_c, "c", 2s, 2s);    // at once, although others precede it by address
    cr_assert(proposal && proposal->change.new_voters == (Voters{{"a", 0}, {"b", 0}, {"d", 9}}));
    cluster.members["c"].info.voter_eligible = false;    // as it then announces
    VoterReconciler reconciler = make_reconciler("a", 0, 0s);
    const auto other_proposal = cluster.first_proposal(reconciler, "a", 0s, 2s);
    cr_assert(other_proposal && other_proposal->change.new_voters == proposal->change.new_voters);
    TestCluster cluster_without_candidate;
    VoterReconciler leaving = make_reconciler("c", 0, 0s);
    leaving.start_leaving();    // no candidate for its vote: two of two tolerate fewer failures than
                                // two of three, one of which may return
    cr_assert(!cluster_without_candidate.first_proposal(leaving, "c", 0s, 5s));
}

namespace {

struct VoterSetCase {
    std::size_t max_failures, voters, unavailable, leaving, candidates;

    std::string text() const {
        return std::to_string(voters) + " voters, " + std::to_string(unavailable) + " unavailable, " +
               std::to_string(leaving) + " leaving, " + std::to_string(candidates) + " candidates";
    }
};

std::string address_of(std::size_t index) { return std::string(1, static_cast<char>('a' + index)); }

// Order of the controllers: one responding voter, the leaving voters, further responding voters, the
// unavailable voters, and the candidates.
TestCluster make_cluster(const VoterSetCase& set) {
    TestCluster cluster;
    cluster.entry.voters.clear();
    cluster.members.clear();
    for (std::size_t i = 0; i < set.voters + set.candidates; ++i) {
        cluster.add(address_of(i), i, time_at(0s));
        if (i >= set.voters) continue;
        cluster.entry.voters.push_back({address_of(i), i});
        if (i == 0) continue;
        membership::Member& member = cluster.members[address_of(i)];
        member.info.voter_eligible = i > set.leaving;
        if (i + set.unavailable < set.voters) continue;
        cluster.set_state(address_of(i), membership::State::Dead, time_at(0s));
        member.departed = true;
    }
    return cluster;
}

int tolerated_failures(const TestCluster& cluster) {
    const Voters& voters = cluster.entry.voters;
    const auto is_responding = [&](const consensus::Replica& voter) {
        const membership::Member& member = cluster.members.at(voter.address);
        return member.state == membership::State::Alive && member.info.voter_eligible;
    };
    const auto responding = std::count_if(voters.begin(), voters.end(), is_responding);
    return VoterReconciler::tolerated_failures(static_cast<std::size_t>(responding), voters.size());
}

void apply_all_changes(TestCluster& cluster, const VoterSetCase& set) {
    VoterReconciler reconciler = make_reconciler("a", 0, 0s, set.max_failures);
    int changes = 0;
    while (const auto proposal = cluster.first_proposal(reconciler, "a", 10s, 12s)) {
        const int before = tolerated_failures(cluster);
        cluster.entry.voters = proposal->change.new_voters;
        cr_assert(tolerated_failures(cluster) >= before, "%s: from %d to %d", set.text().c_str(), before,
                  tolerated_failures(cluster));
        cr_assert(++changes < 10);
    }
}

void check_voter_set(const VoterSetCase& set) {
    TestCluster cluster = make_cluster(set);
    apply_all_changes(cluster, set);
    const std::size_t responding = set.voters - set.unavailable - set.leaving;
    const std::size_t voters = cluster.entry.voters.size(), min_voters = 2 * set.max_failures + 1;
    // The voters tolerate the required number of failures wherever there are enough machines.
    if (responding + set.candidates >= min_voters && voters >= min_voters)
        cr_assert(tolerated_failures(cluster) >= static_cast<int>(set.max_failures), "%s: tolerates %d",
                  set.text().c_str(), tolerated_failures(cluster));
    const bool is_complete = set.unavailable + set.leaving == 0 && set.candidates == 0;
    cr_assert(voters % 2 == 1 || voters <= min_voters || is_complete, "%s: %zu voters are left",
              set.text().c_str(), voters);
}

}    // namespace

// For every set of 1 to 9 voters with any number of them unavailable or leaving, and up to four candidates:
// no proposed change lowers the tolerated failures, and the sequence of changes ends.
Test(voter_reconciler, no_change_lowers_the_tolerated_failures_and_all_end_in_an_odd_number) {
    std::size_t cases = 0;
    for (std::size_t max_failures = 1; max_failures <= 3; ++max_failures)
        for (std::size_t voters = 1; voters <= 9; ++voters)
            for (std::size_t unavailable = 0; unavailable < voters; ++unavailable)
                for (std::size_t leaving = 0; unavailable + leaving < voters; ++leaving)
                    for (std::size_t candidates = 0; candidates <= 4; ++candidates, ++cases)
                        check_voter_set({max_failures, voters, unavailable, leaving, candidates});
    printf("%zu sets of voters\n", cases);
}
