// Limits and counters of the connections between processes.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/common/clock.h"
#include "cluster/transport/message.h"

namespace shaletray::transport {

struct ConnectionLimits {
    std::size_t max_queued_bytes = 8 * 1024 * 1024;      // queue per peer
    std::size_t max_message_bytes = 80 * 1024 * 1024;    // per session message; a configuration fits
    std::size_t max_inbound_connections = 512;
    Duration dial_timeout = std::chrono::milliseconds(1000);
    // A peer that accepts no data for this time has failed. Used for TCP_USER_TIMEOUT and for the progress
    // check of OutboundSession.
    Duration peer_timeout = std::chrono::milliseconds(2000);
};

// Messages of one kind and their payload bytes since the start of the process, without messages to itself.
struct KindTraffic {
    std::uint64_t sent = 0, sent_bytes = 0;
    std::uint64_t received = 0, received_bytes = 0;
};

// Messages and bytes since the start of the process.
struct ConnectionCounters {
    std::uint64_t sent = 0, sent_bytes = 0;
    std::uint64_t received = 0, received_bytes = 0;
    std::uint64_t dropped = 0;      // not sent, or not completely sent when a connection failed
    std::uint64_t malformed = 0;    // datagrams or connections with malformed input
    std::array<KindTraffic, kKindCount> by_kind{};
    KindTraffic& of(Kind kind) { return by_kind.at(index_of(kind)); }
    const KindTraffic& of(Kind kind) const { return by_kind.at(index_of(kind)); }
};

// Frames that sessions hold since their peers do not take them yet.
struct SendBacklog {
    std::size_t bytes = 0;
    Duration oldest_age{};    // of the frame that waits for longest
};

// Returns "sent_KIND=messages/bytes received_KIND=messages/bytes" for each kind of message with traffic, for
// the log.
std::string describe_traffic(const ConnectionCounters& counters);

}    // namespace shaletray::transport
