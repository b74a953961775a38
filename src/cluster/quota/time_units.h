// Durations as the floating-point seconds in which rates are configured, and back.
#pragma once

#include <cmath>
#include <cstdint>

#include "base/common/clock.h"

namespace shaletray::quota {

inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Rounded up to a microsecond. What is longer than eleven days counts as "practically never".
inline Duration to_duration(double duration_s) {
    constexpr double kLongestSeconds = 1e6;
    constexpr Duration kPracticallyNever = std::chrono::microseconds(1'000'000'000'000);
    if (duration_s < kLongestSeconds) return Duration(static_cast<std::int64_t>(std::ceil(duration_s * 1e6)));
    return kPracticallyNever;
}

}    // namespace shaletray::quota
