// Bounds and counters of a process's connections to the others.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/common/clock.h"

namespace shaletray::transport {

struct ConnectionLimits {
    std::size_t max_queued_bytes = 8 * 1024 * 1024;      // waiting for one peer
    std::size_t max_message_bytes = 80 * 1024 * 1024;    // of one session message: a configuration fits
    std::size_t max_inbound_connections = 512;
    Duration dial_timeout = std::chrono::milliseconds(1000);
    // A peer that accepts no data for so long has failed: for TCP_USER_TIMEOUT and our own check.
    Duration peer_timeout = std::chrono::milliseconds(2000);
};

// Messages and their bytes since the start.
struct ConnectionCounters {
    std::uint64_t sent = 0, sent_bytes = 0;
    std::uint64_t received = 0, received_bytes = 0;
    std::uint64_t dropped = 0;      // not sent, or lost with a connection before they were sent completely
    std::uint64_t malformed = 0;    // received bytes that are no message
};

}    // namespace shaletray::transport
