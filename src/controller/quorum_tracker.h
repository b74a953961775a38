// Whether this lighthouse is in contact with a majority of the voters: only then is what it holds handed out
// as current. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/common/clock.h"

namespace shaletray::controller {

class Quorum {
public:
    struct Change {
        bool held = false;
        Duration after{};    // how long it was the other way
    };
    // All times derive from bounds.contact, taken as 300 ms at least: a quorum read is asked for often enough
    // for two to be lost before the last one that was answered is too old, and one tried again often enough
    // for a lighthouse that is back in contact to be whole within it.
    Quorum(Duration contact, TimePoint now)
        : contact_(std::max<Duration>(contact, std::chrono::milliseconds(300))), since_(now) {}
    Duration ask_every() const { return contact_ / 6; }
    Duration longest_wait() const { return contact_ / 3; }
    // As of `now`, which a frozen process learns when it wakes, before anything else.
    bool held(TimePoint now) const { return confirmed_ && now - *confirmed_ <= contact_ / 2; }
    // When a majority last bore out the decree held here (none: not yet); what that changes, once each.
    std::optional<Change> look(std::optional<TimePoint> confirmed, TimePoint now);
    std::uint64_t losses() const { return losses_; }

private:
    Duration contact_;
    TimePoint since_;
    std::optional<TimePoint> confirmed_;
    bool held_ = false;
    std::uint64_t losses_ = 0;
};

}    // namespace shaletray::controller
