// The time during which this gateway may refill its buckets. Pure: the caller hands in the time.
#pragma once

#include "base/common/clock.h"

namespace shaletray::quota {

// The integral of this gateway's share over the time in which this incarnation may refill, in seconds. A
// bucket's refill between two moments is its tenant's rate times the difference of the integral.
class RefillClock {
public:
    explicit RefillClock(TimePoint start) : current_time_(start) {}

    // Moves on to `now`. An earlier time is ignored.
    void advance(TimePoint now);
    // From `now` until `deadline`, refill runs at this part of the rate.
    void start(double share, TimePoint deadline, TimePoint now);
    // No refill from `now` on. `share` is what a member would refill.
    void stop(double share, TimePoint now);

    // Whether refill is allowed at `now`.
    bool is_running(TimePoint now) const { return running_ && now < refill_until_; }
    double integral() const { return integral_; }
    // The integral at `time`, which lies between the last change of the share and the current time.
    double integral_at(TimePoint time) const;
    // The share as last known, also while refill is stopped; 0 at first.
    double share() const { return share_; }
    TimePoint refill_until() const { return refill_until_; }
    TimePoint current_time() const { return current_time_; }

private:
    double integral_ = 0.0;
    double share_ = 0.0;
    bool running_ = false;
    TimePoint current_time_{};
    TimePoint refill_until_{};
};

}    // namespace shaletray::quota
