#include "controller/voter_plan.h"

#include <algorithm>
#include <utility>

namespace shaletray::controller {

VoterPlan::VoterPlan(Voters current, Voters candidates, const Members& members, VoterLimits limits)
    : targets_(std::move(current)), candidates_(std::move(candidates)), members_(members), limits_(limits) {}

void VoterPlan::mark_unavailable(const consensus::Replica& voter) {
    const auto has_same_address = [&](const consensus::Replica& candidate) {
        return candidate.address == voter.address;
    };
    const auto successor = std::find_if(candidates_.begin(), candidates_.end(), has_same_address);
    if (successor == candidates_.end()) {
        unavailable_.push_back(voter);
        return;
    }
    std::replace(targets_.begin(), targets_.end(), voter, *successor);
    candidates_.erase(successor);
}

void VoterPlan::replace_unavailable() {
    while (!unavailable_.empty() && !candidates_.empty()) {
        const consensus::Replica replacement = take_best_candidate();
        std::replace(targets_.begin(), targets_.end(), unavailable_.back(), replacement);
        unavailable_.pop_back();
    }
}

void VoterPlan::drop_unavailable() {
    if (has_even_number() && !unavailable_.empty() && targets_.size() > limits_.min_voters)
        drop_last_unavailable();
    while (unavailable_.size() >= 2 && targets_.size() >= limits_.min_voters + 2) {
        drop_last_unavailable();
        drop_last_unavailable();
    }
}

void VoterPlan::add_to_even_number() {
    if (has_even_number() && !candidates_.empty()) targets_.push_back(take_best_candidate());
}

void VoterPlan::resize() {
    if (has_even_number() && targets_.size() > limits_.min_voters) {
        const auto most_dispensable = std::max_element(
            targets_.begin(), targets_.end(),
            [this](const auto& left, const auto& right) { return is_better_candidate(left, right); });
        targets_.erase(most_dispensable);
    }
    while (!has_even_number() && candidates_.size() >= 2 && targets_.size() + 2 <= limits_.max_voters) {
        targets_.push_back(take_best_candidate());
        targets_.push_back(take_best_candidate());
    }
}

Voters VoterPlan::targets() const {
    Voters sorted = targets_;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

std::string VoterPlan::zone_of(const consensus::Replica& replica) const {
    const auto entry = members_.find(replica.address);
    return entry == members_.end() ? std::string() : entry->second.info.zone;
}

std::size_t VoterPlan::count_in_zone(const std::string& zone) const {
    const auto count = std::count_if(targets_.begin(), targets_.end(), [&](const consensus::Replica& target) {
        return zone_of(target) == zone;
    });
    return static_cast<std::size_t>(count);
}

bool VoterPlan::is_better_candidate(const consensus::Replica& left, const consensus::Replica& right) const {
    return std::pair(count_in_zone(zone_of(left)), left) < std::pair(count_in_zone(zone_of(right)), right);
}

consensus::Replica VoterPlan::take_best_candidate() {
    const auto best = std::min_element(
        candidates_.begin(), candidates_.end(),
        [this](const auto& left, const auto& right) { return is_better_candidate(left, right); });
    const consensus::Replica candidate = *best;
    candidates_.erase(best);
    return candidate;
}

void VoterPlan::drop_last_unavailable() {
    std::erase(targets_, unavailable_.back());
    unavailable_.pop_back();
}

}    // namespace shaletray::controller
