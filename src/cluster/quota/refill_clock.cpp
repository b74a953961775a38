#include "cluster/quota/refill_clock.h"

#include <algorithm>

#include "cluster/quota/time_units.h"

namespace shaletray::quota {

void RefillClock::advance(TimePoint now) {
    if (now <= current_time_) return;
    const TimePoint end = std::min(now, refill_until_);
    if (divisor_ > 0 && end > current_time_) integral_ += seconds(end - current_time_) * share_;
    current_time_ = now;
}

void RefillClock::set_divisor(std::uint32_t divisor, TimePoint deadline, TimePoint now) {
    advance(now);
    divisor_ = divisor;
    refill_until_ = deadline;
    if (divisor > 0) share_ = 1.0 / divisor;
}

double RefillClock::integral_at(TimePoint time) const {
    if (divisor_ == 0) return integral_;
    const TimePoint end = std::min(current_time_, refill_until_);
    return time < end ? integral_ - seconds(end - time) * share_ : integral_;
}

}    // namespace shaletray::quota
