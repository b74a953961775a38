#include "controller/quorum_tracker.h"

#include <algorithm>
#include <utility>

namespace shaletray::controller {

std::optional<QuorumTracker::Change> QuorumTracker::update(std::optional<TimePoint> confirmed_at,
                                                           TimePoint now) {
    confirmed_at_ = confirmed_at;
    if (is_held(now) == was_held_) return std::nullopt;
    was_held_ = !was_held_;
    if (!was_held_) ++loss_count_;
    // A loss is dated to the expiry of the last confirmation, not to its detection.
    const TimePoint changed_at = was_held_ ? now : std::min(now, *confirmed_at_ + confirmation_validity());
    return Change{was_held_, changed_at - std::exchange(changed_at_, changed_at)};
}

}    // namespace shaletray::controller
