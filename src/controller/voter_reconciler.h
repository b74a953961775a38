// Decides from the membership which controllers should vote on the replicated register, and which change of
// the voters to propose next. Pure: no clock, no sockets.
//
// A set of n voters of which r respond tolerates r - (n / 2 + 1) further failures. No change lowers that
// number: voters that are unavailable or leaving are replaced, and where no candidate is left they are
// dropped as long as that raises the number. A change may replace several voters at once, since it is one log
// entry that the current voters commit, and nothing that depends on it is acknowledged before a majority of
// the new voters has stored it.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "cluster/consensus/replicated_register.h"
#include "cluster/membership/membership.h"
#include "controller/voter_plan.h"

namespace shaletray::controller {

class VoterReconciler {
public:
    struct Settings {
        consensus::Replica self;
        std::size_t max_failures = 1;    // number of machines that may fail at the same time
        // Time after a failure at which the next one may follow: the failed voter must be replaced by then.
        Duration catch_up_time = std::chrono::seconds(4);
    };
    struct VoterChange {
        Voters current_voters, new_voters;    // both sorted
    };
    // Whether a replica has recently reported the newest or nearly the newest log entry.
    using CaughtUpPredicate = std::function<bool(const consensus::Replica&)>;

    VoterReconciler(Settings settings, TimePoint now);
    // Call when this controller is about to stop: its vote passes to a candidate, if there is one.
    void start_leaving() { is_leaving_ = true; }
    // The change that this controller must propose now. None if the voters need no change or another
    // controller proposes first. The first responding voter by address and a leaving voter propose at once;
    // each of the others waits half a second longer than the one before it.
    std::optional<VoterChange> next_change(const consensus::LogEntry& entry, const Members& members,
                                           const CaughtUpPredicate& is_caught_up, TimePoint now);
    // Number of further failures that `voters` voters tolerate when `responding` of them respond. Negative if
    // these are no majority.
    static int tolerated_failures(std::size_t responding, std::size_t voters) {
        return static_cast<int>(responding) - static_cast<int>(voters / 2 + 1);
    }

private:
    enum class VoterStatus { Responding, Leaving, Unknown, Unavailable };
    VoterStatus voter_status(const consensus::Replica& voter, const Members& members, TimePoint now) const;
    VoterStatus own_status(const consensus::Replica& voter) const;
    std::size_t count_responding(const Voters& voters, const Members& members, TimePoint now) const;
    Voters find_candidates(const consensus::LogEntry& entry, const Members& members,
                           const CaughtUpPredicate& is_caught_up, TimePoint now);
    Voters target_voters(const Voters& voters, const Members& members, const Voters& candidates,
                         TimePoint now) const;
    bool lowers_tolerance(const VoterChange& change, const Members& members, TimePoint now) const;
    Duration proposal_delay(const Voters& voters, const Members& members, TimePoint now) const;

    Settings settings_;
    VoterLimits limits_;
    TimePoint started_at_;
    bool is_leaving_ = false;
    std::map<consensus::Replica, TimePoint> candidates_since_;    // when each was first seen
    TimePoint change_wanted_since_{};                             // zero: no change is pending
};

}    // namespace shaletray::controller
