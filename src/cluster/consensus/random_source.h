// A small random generator that can be copied together with the state that uses it.
#pragma once

#include <cstdint>
#include <string>

#include "base/common/clock.h"

namespace shaletray::consensus {

// SplitMix64. Equal seeds give equal sequences.
class RandomSource {
public:
    RandomSource() = default;
    // Seeds the generator from all that distinguishes this start of this replica from others.
    RandomSource(std::uint64_t seed, TimePoint started_at, std::uint64_t disk_id, const std::string& address);

    std::uint64_t next();
    // A duration in [lower, upper), or `lower` if these are equal.
    Duration next(Duration lower, Duration upper);

private:
    std::uint64_t state_ = 0;
};

// Formats the value as 16 hexadecimal digits.
std::string to_hex(std::uint64_t value);

}    // namespace shaletray::consensus
