#include "controller/voter_reconciler.h"

#include <algorithm>

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using Voters = std::vector<consensus::Replica>;

constexpr Duration kTurnDelay = 500ms;

Voters::const_iterator find_address(const Voters& voters, const std::string& address) {
    return std::find_if(voters.begin(), voters.end(),
                        [&](const consensus::Replica& replica) { return replica.address == address; });
}

}    // namespace

// One more than the system may lose: so a replacement that is under way takes nothing from what is promised.
VoterReconciler::VoterReconciler(Settings settings, TimePoint now)
    : settings_(std::move(settings)),
      min_voters_(std::max<std::size_t>(3, 2 * settings_.max_failures + 1)),
      max_voters_(std::max<std::size_t>(3, 2 * settings_.max_failures + 3)),
      started_at_(now) {}

// The next machine may be lost `catch_up` after a replacement came: its place has to be taken before that.
VoterReconciler::VoterStatus VoterReconciler::voter_status(const consensus::Replica& voter,
                                                           const Members& members, TimePoint now) const {
    if (voter.address == settings_.self.address)
        return voter != settings_.self ? VoterStatus::Unavailable
               : is_leaving_           ? VoterStatus::Leaving
                                       : VoterStatus::Responding;
    const Duration contact_timeout = settings_.catch_up_time * 5 / 8;
    const auto member_entry = members.find(voter.address);
    if (member_entry == members.end())
        return now - started_at_ > settings_.catch_up_time ? VoterStatus::Unavailable : VoterStatus::Unknown;
    const membership::Member& member = member_entry->second;
    if (member.state == membership::State::Alive && member.info.disk_id == voter.disk_id)
        return member.info.voter_eligible ? VoterStatus::Responding : VoterStatus::Leaving;
    if (member.state == membership::State::Alive || member.departed)
        return VoterStatus::Unavailable;    // another disk, or a goodbye
    return now - std::max(member.last_heard, started_at_) > contact_timeout ? VoterStatus::Unavailable
                                                                            : VoterStatus::Unknown;
}

// Those that may begin to vote: they have the decree already, and were seen for a while.
Voters VoterReconciler::find_candidates(const consensus::LogEntry& entry, const Members& members,
                                        const CaughtUpPredicate& is_caught_up, TimePoint now) {
    Voters candidates;
    std::map<consensus::Replica, TimePoint> seen_since;
    for (const auto& [address, member] : members) {
        const membership::MemberInfo& info = member.info;
        if (info.role != membership::Role::Controller || !info.voter_eligible ||
            member.state != membership::State::Alive)
            continue;
        const consensus::Replica candidate{address, info.disk_id};
        if (std::find(entry.voters.begin(), entry.voters.end(), candidate) != entry.voters.end()) continue;
        const auto known = candidates_since_.find(candidate);
        const TimePoint since = known == candidates_since_.end() ? now : known->second;
        seen_since[candidate] = since;
        if (now - since >= settings_.catch_up_time / 8 && is_caught_up(candidate))
            candidates.push_back(candidate);
    }
    candidates_since_ = std::move(seen_since);
    return candidates;
}

Voters VoterReconciler::target_voters(const Voters& voters, const Members& members, Voters candidates,
                                      TimePoint now) const {
    Voters targets = voters;
    const auto zone_of = [&](const consensus::Replica& replica) {
        const auto member_entry = members.find(replica.address);
        return member_entry == members.end() ? std::string() : member_entry->second.info.zone;
    };
    const auto count_in_zone = [&](const std::string& zone) {
        return std::count_if(targets.begin(), targets.end(),
                             [&](const consensus::Replica& target) { return zone_of(target) == zone; });
    };
    // The newcomer whose zone has fewest voters.
    const auto take_candidate = [&] {
        const auto best_candidate = std::min_element(
            candidates.begin(), candidates.end(), [&](const auto& first, const auto& second) {
                return std::pair(count_in_zone(zone_of(first)), first) <
                       std::pair(count_in_zone(zone_of(second)), second);
            });
        const consensus::Replica taken = *best_candidate;
        candidates.erase(best_candidate);
        return taken;
    };
    Voters unavailable;    // of `to`, these cannot be counted on
    bool has_unknown = false;
    for (const consensus::Replica& voter : voters) {
        const VoterStatus status = voter_status(voter, members, now);
        has_unknown = has_unknown || status == VoterStatus::Unknown;
        if (status != VoterStatus::Unavailable && status != VoterStatus::Leaving) continue;
        // One address is one voter: an emptied disk takes its own place rather than another's.
        const auto same_address = find_address(candidates, voter.address);
        if (same_address == candidates.end()) {
            unavailable.push_back(voter);
            continue;
        }
        std::replace(targets.begin(), targets.end(), voter, *same_address);
        candidates.erase(same_address);
    }
    while (!unavailable.empty() && !candidates.empty()) {
        std::replace(targets.begin(), targets.end(), unavailable.back(), take_candidate());
        unavailable.pop_back();
    }
    // Nobody is there for these: two fewer, or one of an even number, lower what a majority is.
    const auto drop_unavailable = [&] {
        std::erase(targets, unavailable.back());
        unavailable.pop_back();
    };
    if (targets.size() % 2 == 0 && !unavailable.empty() && targets.size() > min_voters_) drop_unavailable();
    while (unavailable.size() >= 2 && targets.size() >= min_voters_ + 2) {
        drop_unavailable();
        drop_unavailable();
    }
    if (targets.size() % 2 == 0 && !candidates.empty()) targets.push_back(take_candidate());
    if (unavailable.empty() && !has_unknown) {
        // An even number bears no more than one fewer, and the one left out can replace any other.
        if (targets.size() % 2 == 0 && targets.size() > min_voters_)
            targets.erase(
                std::max_element(targets.begin(), targets.end(), [&](const auto& left, const auto& right) {
                    return std::pair(count_in_zone(zone_of(left)), left) <
                           std::pair(count_in_zone(zone_of(right)), right);
                }));
        while (targets.size() % 2 == 1 && candidates.size() >= 2 && targets.size() + 2 <= max_voters_) {
            targets.push_back(take_candidate());
            targets.push_back(take_candidate());
        }
    }
    std::sort(targets.begin(), targets.end());
    return targets;
}

std::optional<VoterReconciler::VoterChange> VoterReconciler::next_change(
    const consensus::LogEntry& entry, const Members& members, const CaughtUpPredicate& is_caught_up,
    TimePoint now) {
    const Voters& voters = entry.voters;
    const consensus::Replica& self = settings_.self;
    const Voters candidates = find_candidates(entry, members, is_caught_up, now);
    if (std::find(voters.begin(), voters.end(), self) == voters.end()) return std::nullopt;
    const auto count_responding = [&](const Voters& voter_set) {
        return static_cast<std::size_t>(
            std::count_if(voter_set.begin(), voter_set.end(), [&](const consensus::Replica& set_voter) {
                return voter_status(set_voter, members, now) == VoterStatus::Responding;
            }));
    };
    VoterChange change{voters, target_voters(voters, members, candidates, now)};
    if (change.new_voters == voters ||
        tolerated_failures(count_responding(change.new_voters), change.new_voters.size()) <
            tolerated_failures(count_responding(voters), voters.size())) {
        change_wanted_since_ = TimePoint{};
        return std::nullopt;
    }
    if (change_wanted_since_ == TimePoint{}) change_wanted_since_ = now;
    const auto rank =
        is_leaving_ ? 0 : std::count_if(voters.begin(), voters.end(), [&](const consensus::Replica& voter) {
            return voter.address < self.address &&
                   voter_status(voter, members, now) == VoterStatus::Responding;
        });
    if (now - change_wanted_since_ < rank * kTurnDelay) return std::nullopt;
    return change;
}

}    // namespace shaletray::controller
