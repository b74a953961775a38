#include "controller/quorum_tracker.h"

#include <algorithm>
#include <utility>

namespace shaletray::controller {

std::optional<QuorumTracker::Change> QuorumTracker::update(std::optional<TimePoint> confirmed_at,
                                                           TimePoint now) {
    confirmed_at_ = confirmed_at;
    if (is_held(now) == was_held_) return std::nullopt;
    was_held_ = !was_held_;
    loss_count_ += !was_held_;
    const TimePoint changed_at =
        was_held_ ? now : std::min(now, *confirmed_at_ + contact_timeout_ / 2);    // as nobody looked
    return Change{was_held_, changed_at - std::exchange(changed_at_, changed_at)};
}

}    // namespace shaletray::controller
