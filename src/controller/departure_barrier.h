// Delays the acknowledgement of a server's departure until a majority of the controllers that vote has
// recorded it. A server exits soon after the acknowledgement, so every gateway that might still send to it
// must be notified in time, even if the controller that the server called is partitioned from them at that
// moment. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::controller {

// Each departure waits for the acknowledgement of the registry's sequence number at which it was recorded.
// Not thread-safe. Callbacks run inside the calls below and must not call back into the barrier.
class DepartureBarrier {
public:
    // Below the second after which a server considers its call failed and calls another controller.
    static constexpr Duration kTimeout = std::chrono::milliseconds(800);
    enum class Result {
        Confirmed,    // a majority of the voters has recorded the departure
        TimedOut      // not confirmed in time: the server must call another controller
    };
    using Callback = std::function<void(Result)>;

    void wait(std::uint64_t sequence, TimePoint now, Callback on_done);
    // A majority of the voters has acknowledged this registry's changes up to `sequence`.
    void on_majority_acknowledged(std::uint64_t sequence);
    // Times out departures whose deadline has passed. Call at next_deadline() or later.
    void expire(TimePoint now);
    // Deadline of the oldest pending departure; TimePoint::max() if there is none.
    TimePoint next_deadline() const;
    bool empty() const { return pending_.empty(); }
    // Times out all pending departures. Call when this controller's incarnation has risen: its changes are
    // then numbered anew, so the pending sequence numbers can no longer be confirmed.
    void reset();

private:
    struct PendingDeparture {
        std::uint64_t sequence = 0;
        TimePoint deadline{};
        Callback on_done;
    };
    // Completes the departures for which the predicate holds.
    void finish(const std::function<bool(const PendingDeparture&)>& should_finish, Result result);

    std::vector<PendingDeparture> pending_;    // in the order of their deadlines
};

}    // namespace shaletray::controller
