// Conversion of durations to and from registry.capnp: milliseconds in 32 bits.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include "base/common/clock.h"

namespace shaletray::registry {

// Clamps durations to the range.
inline std::uint32_t to_milliseconds(Duration duration) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

inline Duration from_milliseconds(std::uint32_t count) { return std::chrono::milliseconds(count); }

}    // namespace shaletray::registry
