#include "cluster/quota/refill_clock.h"

#include <algorithm>

#include "cluster/quota/time_units.h"

namespace shaletray::quota {

void RefillClock::advance(TimePoint now) {
    if (now <= current_time_) return;
    const TimePoint end = std::min(now, refill_until_);
    if (running_ && end > current_time_) integral_ += seconds(end - current_time_) * share_;
    current_time_ = now;
}

void RefillClock::start(double share, TimePoint deadline, TimePoint now) {
    advance(now);
    running_ = true;
    refill_until_ = deadline;
    share_ = share;
}

void RefillClock::stop(double share, TimePoint now) {
    advance(now);
    running_ = false;
    share_ = share;
}

double RefillClock::integral_at(TimePoint time) const {
    if (!running_) return integral_;
    const TimePoint end = std::min(current_time_, refill_until_);
    return time < end ? integral_ - seconds(end - time) * share_ : integral_;
}

}    // namespace shaletray::quota
