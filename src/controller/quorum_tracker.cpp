#include "controller/quorum_tracker.h"

#include <algorithm>
#include <utility>

namespace shaletray::controller {

std::optional<Quorum::Change> Quorum::look(std::optional<TimePoint> confirmed, TimePoint now) {
    confirmed_ = confirmed;
    if (held(now) == held_) return std::nullopt;
    held_ = !held_;
    losses_ += !held_;
    const TimePoint from = held_ ? now : std::min(now, *confirmed_ + contact_ / 2);    // as nobody looked
    return Change{held_, from - std::exchange(since_, from)};
}

}    // namespace shaletray::controller
