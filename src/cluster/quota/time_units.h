// Conversions between durations and floating-point seconds, the unit in which rates are configured.
#pragma once

#include <cmath>
#include <cstdint>

#include "base/common/clock.h"

namespace shaletray::quota {

inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Rounds up to a microsecond. Durations above 1e6 s (11.5 days) are limited to that value, which stands for
// never.
inline Duration to_duration(double duration_s) {
    constexpr double kMaxSeconds = 1e6;
    constexpr Duration kMaxDuration = std::chrono::microseconds(1'000'000'000'000);
    if (duration_s < kMaxSeconds) return Duration(static_cast<std::int64_t>(std::ceil(duration_s * 1e6)));
    return kMaxDuration;
}

}    // namespace shaletray::quota
