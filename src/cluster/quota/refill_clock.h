// Measures the time during which this gateway may refill its buckets. Pure: the caller passes the time.
#pragma once

#include "base/common/clock.h"

namespace shaletray::quota {

// The integral of this gateway's share over the time in which this incarnation may refill, in seconds. A
// bucket's refill between two points in time is its tenant's rate times the difference of the integral. Not
// thread-safe.
class RefillClock {
public:
    explicit RefillClock(TimePoint start) : current_time_(start) {}

    // Advances the clock to `now`. Ignores earlier times.
    void advance(TimePoint now);
    // Starts refill at this share of the rate, from `now` until `deadline`.
    void start(double share, TimePoint deadline, TimePoint now);
    // Stops refill at `now`. `share` is the share that a member would refill.
    void stop(double share, TimePoint now);

    // Whether refill is allowed at `now`.
    bool is_running(TimePoint now) const { return running_ && now < refill_until_; }
    double integral() const { return integral_; }
    // Returns the integral at `time`, which has to be between the last change of the share and the current
    // time.
    double integral_at(TimePoint time) const;
    // The last known share, also while refill is stopped; initially 0.
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
