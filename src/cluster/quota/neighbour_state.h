// The state that two neighbouring gateways keep of each other's bucket of one tenant.
#pragma once

#include "base/common/clock.h"
#include "cluster/quota/peers.h"

namespace shaletray::quota {

// Number of neighbours on each side of the ring: adjacent members, and distant ones in large sets.
constexpr int kNearNeighbours = 3;
constexpr int kFarNeighbours = 3;
constexpr int kMaxNeighbours = 2 * (kNearNeighbours + kFarNeighbours);

// Time after which an unanswered request for units counts as failed and may be repeated. Has to exceed the up
// to 20 ms for which an urgent message is delayed before it is sent.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(30);

// The available units of a bucket, as one side last reported them to the other.
struct AvailabilityReport {
    bool known = false;             // false: no report was received or sent yet
    bool under_pressure = false;    // more was requested recently than the bucket held
    float units = 0.0F;             // may be negative: queued requests are subtracted
    TimePoint reported_at{};
};

// The state of one neighbour, for one tenant.
struct NeighbourState {
    PeerTable::Index peer = 0;
    AvailabilityReport received;         // the neighbour's units, as reported to us
    AvailabilityReport announced;        // our units, as reported to the neighbour
    float max_transfer = 0.0F;           // units that we may still transfer to the neighbour
    float pending_request = 0.0F;        // units to be requested with the next message
    float outstanding_request = 0.0F;    // units requested with the last message, not yet answered
    TimePoint requested_at{};

    // Whether a request for units was sent and may still be answered.
    bool awaits_reply(TimePoint now) const { return now < requested_at + kRequestTimeout; }
};

}    // namespace shaletray::quota
