#include "controller/voter_reconciler.h"

#include <algorithm>
#include <utility>

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;

// Twice the register's round timeout, so that a proposal is usually committed before the next voter proposes.
constexpr Duration kProposalStagger = 500ms;

bool contains(const Voters& voters, const consensus::Replica& replica) {
    return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

// The upper limit tolerates one failure more than the system has to, so that a replacement in progress does
// not lower the promised fault tolerance.
VoterLimits voter_limits(std::size_t max_failures) {
    return {std::max<std::size_t>(3, 2 * max_failures + 1), std::max<std::size_t>(3, 2 * max_failures + 3)};
}

}    // namespace

VoterReconciler::VoterReconciler(Settings settings, TimePoint now)
    : settings_(std::move(settings)), limits_(voter_limits(settings_.max_failures)), started_at_(now) {}

VoterReconciler::VoterStatus VoterReconciler::own_status(const consensus::Replica& voter) const {
    if (voter != settings_.self) return VoterStatus::Unavailable;    // another disk at this address
    return is_leaving_ ? VoterStatus::Leaving : VoterStatus::Responding;
}

// A voter counts as unavailable early enough to be replaced within the catch-up time.
VoterReconciler::VoterStatus VoterReconciler::voter_status(const consensus::Replica& voter,
                                                           const Members& members, TimePoint now) const {
    if (voter.address == settings_.self.address) return own_status(voter);
    const Duration contact_timeout = settings_.catch_up_time * 5 / 8;
    const auto entry = members.find(voter.address);
    if (entry == members.end()) {
        const bool had_time_to_appear = now - started_at_ > settings_.catch_up_time;
        return had_time_to_appear ? VoterStatus::Unavailable : VoterStatus::Unknown;
    }
    const membership::Member& member = entry->second;
    const bool is_alive = member.state == membership::State::Alive;
    if (is_alive && member.info.disk_id == voter.disk_id)
        return member.info.voter_eligible ? VoterStatus::Responding : VoterStatus::Leaving;
    if (is_alive || member.departed) return VoterStatus::Unavailable;    // another disk, or it has departed
    const Duration silence = now - std::max(member.last_heard, started_at_);
    return silence > contact_timeout ? VoterStatus::Unavailable : VoterStatus::Unknown;
}

std::size_t VoterReconciler::count_responding(const Voters& voters, const Members& members,
                                              TimePoint now) const {
    const auto is_responding = [&](const consensus::Replica& voter) {
        return voter_status(voter, members, now) == VoterStatus::Responding;
    };
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), is_responding));
}

// Controllers that may become voters: they have the newest entry and have been members for min_presence.
Voters VoterReconciler::find_candidates(const consensus::LogEntry& entry, const Members& members,
                                        const CaughtUpPredicate& is_caught_up, TimePoint now) {
    const Duration min_presence = settings_.catch_up_time / 8;
    Voters candidates;
    std::map<consensus::Replica, TimePoint> seen_since;
    for (const auto& [address, member] : members) {
        if (!may_vote(member)) continue;
        const consensus::Replica candidate{address, member.info.disk_id};
        if (contains(entry.voters, candidate)) continue;
        const auto known = candidates_since_.find(candidate);
        const TimePoint since = known == candidates_since_.end() ? now : known->second;
        seen_since[candidate] = since;
        if (now - since >= min_presence && is_caught_up(candidate)) candidates.push_back(candidate);
    }
    candidates_since_ = std::move(seen_since);
    return candidates;
}

Voters VoterReconciler::target_voters(const Voters& voters, const Members& members, const Voters& candidates,
                                      TimePoint now) const {
    VoterPlan plan(voters, candidates, members, limits_);
    bool has_unknown = false;
    for (const consensus::Replica& voter : voters) {
        const VoterStatus status = voter_status(voter, members, now);
        if (status == VoterStatus::Unknown) has_unknown = true;
        if (status == VoterStatus::Unavailable || status == VoterStatus::Leaving)
            plan.mark_unavailable(voter);
    }
    plan.replace_unavailable();
    plan.drop_unavailable();
    plan.add_to_even_number();
    if (!plan.has_unavailable() && !has_unknown) plan.resize();
    return plan.targets();
}

bool VoterReconciler::lowers_tolerance(const VoterChange& change, const Members& members,
                                       TimePoint now) const {
    const auto tolerance_of = [&](const Voters& voters) {
        return tolerated_failures(count_responding(voters, members, now), voters.size());
    };
    return tolerance_of(change.new_voters) < tolerance_of(change.current_voters);
}

// Time that is left to the responding voters before this one to propose the change.
Duration VoterReconciler::proposal_delay(const Voters& voters, const Members& members, TimePoint now) const {
    if (is_leaving_) return Duration(0);
    const auto proposes_before_self = [&](const consensus::Replica& voter) {
        return voter.address < settings_.self.address &&
               voter_status(voter, members, now) == VoterStatus::Responding;
    };
    return std::count_if(voters.begin(), voters.end(), proposes_before_self) * kProposalStagger;
}

std::optional<VoterReconciler::VoterChange> VoterReconciler::next_change(
    const consensus::LogEntry& entry, const Members& members, const CaughtUpPredicate& is_caught_up,
    TimePoint now) {
    const Voters& voters = entry.voters;
    const Voters candidates = find_candidates(entry, members, is_caught_up, now);
    if (!contains(voters, settings_.self)) return std::nullopt;
    VoterChange change{voters, target_voters(voters, members, candidates, now)};
    if (change.new_voters == voters || lowers_tolerance(change, members, now)) {
        change_wanted_since_ = TimePoint{};
        return std::nullopt;
    }
    if (change_wanted_since_ == TimePoint{}) change_wanted_since_ = now;
    if (now - change_wanted_since_ < proposal_delay(voters, members, now)) return std::nullopt;
    return change;
}

}    // namespace shaletray::controller
