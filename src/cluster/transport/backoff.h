// Delays between attempts to reach a peer.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "base/common/clock.h"

namespace shaletray::transport {

// Doubles the delay with each attempt, up to a bound. Each delay is shortened by a random part of up to a
// quarter, so that processes that lost the same peer do not dial it all at once.
class Backoff {
public:
    static constexpr Duration kInitialDelay = std::chrono::milliseconds(200);
    static constexpr Duration kMaxDelay = std::chrono::milliseconds(1000);

    explicit Backoff(std::uint32_t seed) : random_(seed) {}

    // The delay before the next attempt.
    Duration next_delay();
    // Starts again from the initial delay.
    void reset() { delay_ = kInitialDelay; }

private:
    std::minstd_rand random_;
    Duration delay_ = kInitialDelay;
};

}    // namespace shaletray::transport
