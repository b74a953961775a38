// Exponential backoff with jitter between connection attempts.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "base/common/clock.h"

namespace shaletray::transport {

// Doubles the delay with each attempt, up to kMaxDelay. Each delay is shortened by a random jitter of up to a
// quarter, so that processes that lost the same peer do not all reconnect at once.
class Backoff {
public:
    static constexpr Duration kInitialDelay = std::chrono::milliseconds(200);
    static constexpr Duration kMaxDelay = std::chrono::milliseconds(1000);

    explicit Backoff(std::uint32_t seed) : random_(seed) {}

    // Returns the delay before the next attempt.
    Duration next_delay();
    // Restarts from the initial delay.
    void reset() { delay_ = kInitialDelay; }

private:
    std::minstd_rand random_;
    Duration delay_ = kInitialDelay;
};

}    // namespace shaletray::transport
