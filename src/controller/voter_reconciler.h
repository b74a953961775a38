// Who should vote on the register: the wanted set of voters, by what the convoy knows, and the next step to
// it. Pure.
//
// A set of n voters of which a answer bears a - (n / 2 + 1) further losses. No step lowers that number:
// voters that are away or leave are replaced, and where nobody can take their places they are left out as
// long as that raises it. A step may change several voters at once, since it is one decree of the old voters,
// and nothing is answered from it before a majority of the new ones keeps it (lamp.h).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/replicated_register.h"
#include "cluster/membership/membership.h"

namespace shaletray::controller {

class VoterReconciler {
public:
    struct Settings {
        consensus::Replica self;
        std::size_t max_failures = 1;    // machines that the system may lose at once, by its settings
        Duration catch_up_time = std::chrono::seconds(4);    // after which the next ones may be lost
    };
    struct VoterChange {
        std::vector<consensus::Replica> current_voters, new_voters;    // sorted
    };
    // Whether a lighthouse has said lately that it holds the newest decree, or nearly so.
    using CaughtUpPredicate = std::function<bool(const consensus::Replica&)>;

    VoterReconciler(Settings settings, TimePoint now);
    // This lighthouse is about to end: it hands its vote on, if somebody can take it.
    void start_leaving() { is_leaving_ = true; }
    // The step that this lighthouse is to propose now; none: the voters are as they should be, or it is
    // another one's turn. The first voter by address acts at once, as does one that leaves; the others each
    // half a second later.
    std::optional<VoterChange> next_change(const consensus::LogEntry& entry,
                                           const std::map<std::string, membership::Member>& members,
                                           const CaughtUpPredicate& is_caught_up, TimePoint now);
    // The losses that voters bear of whom so many answer; below 0: they have no majority.
    static int tolerated_failures(std::size_t responding, std::size_t voters) {
        return static_cast<int>(responding) - static_cast<int>(voters / 2 + 1);
    }

private:
    using Members = std::map<std::string, membership::Member>;
    enum class VoterStatus { Responding, Leaving, Unknown, Unavailable };
    VoterStatus voter_status(const consensus::Replica& voter, const Members& members, TimePoint now) const;
    std::vector<consensus::Replica> find_candidates(const consensus::LogEntry& entry, const Members& members,
                                                    const CaughtUpPredicate& is_caught_up, TimePoint now);
    std::vector<consensus::Replica> target_voters(const std::vector<consensus::Replica>& voters,
                                                  const Members& members,
                                                  std::vector<consensus::Replica> candidates,
                                                  TimePoint now) const;

    Settings settings_;
    std::size_t min_voters_, max_voters_;    // voters: none are left out below, none added above
    TimePoint started_at_;
    bool is_leaving_ = false;
    std::map<consensus::Replica, TimePoint> candidates_since_;    // newcomers, and since when
    TimePoint change_wanted_since_{};
};

}    // namespace shaletray::controller
