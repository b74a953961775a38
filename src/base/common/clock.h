// The process's time: Unix microseconds, read once at the start and advanced by the steady clock from there,
// so that a step of the system clock neither sets it back nor makes timers fire early.
#pragma once

#include <chrono>

#include "decision/control.h"

namespace shaletray {

using decision::Duration;
using decision::TimePoint;

// Source of time; tests replace it with virtual time.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

// Monotonic time of this machine. Safe from any thread.
class SystemClock : public Clock {
public:
    TimePoint now() const override {
        return TimePoint(unix_time_at_start_) +
               std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - steady_start_);
    }

private:
    std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
    Duration unix_time_at_start_ =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
};

}    // namespace shaletray
