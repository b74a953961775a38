// Computes the target set of voters step by step from the current set. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/consensus/replicated_register.h"
#include "cluster/membership/membership.h"

namespace shaletray::controller {

// Sorted, unless it is a set that is being edited.
using Voters = std::vector<consensus::Replica>;
// The known members of the cluster except this process, by internal address.
using Members = std::map<std::string, membership::Member>;

// Bounds on the number of voters: voters are not dropped below min_voters nor added above max_voters.
struct VoterLimits {
    std::size_t min_voters = 3, max_voters = 3;
};

// For a single use: mark the unavailable voters, replace or drop them, resize the set, then read targets().
// `members` must outlive the plan. Candidates are replicas that may become voters; each is used at most once.
// Candidates whose zone has the fewest voters are preferred, then the lowest replica.
class VoterPlan {
public:
    VoterPlan(Voters current, Voters candidates, const Members& members, VoterLimits limits);

    // Marks the voter as unavailable. A candidate at its address (the same machine with another disk)
    // replaces it immediately, so that one address never has two votes; otherwise it stays marked.
    void mark_unavailable(const consensus::Replica& voter);
    // Replaces marked voters by candidates, as far as there are any.
    void replace_unavailable();
    // Drops marked voters that have no replacement where that lowers the size of a majority: one of an even
    // number, or two at once.
    void drop_unavailable();
    // Adds a candidate to an even number of voters, which raises the tolerated failures by one.
    void add_to_even_number();
    // Grows the set in pairs up to max_voters, since an even number tolerates no more failures than one voter
    // fewer. First removes a voter that makes the number even; it can replace another voter later.
    void resize();
    bool has_unavailable() const { return !unavailable_.empty(); }
    // The resulting set, sorted.
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
