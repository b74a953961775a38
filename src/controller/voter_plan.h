// The set of voters that a reconciler works towards, built up step by step from the current one. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/consensus/replicated_register.h"
#include "cluster/membership/membership.h"

namespace shaletray::controller {

// Sorted, or in the order of a set that is being edited.
using Voters = std::vector<consensus::Replica>;
// The known members of the cluster by their internal address, without this process.
using Members = std::map<std::string, membership::Member>;

// Bounds on the number of voters: none is dropped below the lower, none is added above the upper one.
struct VoterLimits {
    std::size_t min_voters = 3, max_voters = 3;
};

// One use: mark the voters to be replaced, resolve them, resize the set, take the result. `members` has to
// outlive the plan. Candidates are replicas that may start to vote; each is used at most once. Among several,
// the one whose zone has the fewest voters is taken, then the lowest.
class VoterPlan {
public:
    VoterPlan(Voters current, Voters candidates, const Members& members, VoterLimits limits);

    // This voter cannot be counted on. A candidate at its address (the same machine with another disk) takes
    // its place at once, so that one address never has two votes; otherwise it waits for replace_unavailable.
    void mark_unavailable(const consensus::Replica& voter);
    // Candidates take the places of the voters that were marked.
    void replace_unavailable();
    // Drops marked voters that nobody can replace, where that lowers what a majority is: one of an even
    // number, or two at once.
    void drop_unavailable();
    // Adds one candidate to an even number of voters: it raises the tolerated failures by one.
    void add_to_even_number();
    // To the upper limit, in pairs: an even number tolerates no more failures than one fewer. A voter that
    // makes the number even is left out first, and is a candidate for any other's place later.
    void resize();
    bool has_unavailable() const { return !unavailable_.empty(); }
    // Sorted.
    Voters targets() const;

private:
    bool has_even_number() const { return targets_.size() % 2 == 0; }
    std::string zone_of(const consensus::Replica& replica) const;
    std::size_t count_in_zone(const std::string& zone) const;
    bool is_better_candidate(const consensus::Replica& left, const consensus::Replica& right) const;
    consensus::Replica take_best_candidate();
    void drop_last_unavailable();

    Voters targets_, candidates_, unavailable_;
    const Members& members_;
    VoterLimits limits_;
};

}    // namespace shaletray::controller
