// Durations as registry.capnp holds them: milliseconds in 32 bits.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include "base/common/clock.h"

namespace shaletray::registry {

// Durations out of range become the nearest value.
inline std::uint32_t to_milliseconds(Duration duration) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

inline Duration from_milliseconds(std::uint32_t count) { return std::chrono::milliseconds(count); }

}    // namespace shaletray::registry
