// Whether this lighthouse is in contact with a majority of the voters: only then is what it holds handed out
// as current. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/common/clock.h"

namespace shaletray::controller {

class QuorumTracker {
public:
    struct Change {
        bool held = false;
        Duration previous_duration{};    // how long it was the other way
    };
    // All times derive from bounds.contact, taken as 300 ms at least: a quorum read is asked for often enough
    // for two to be lost before the last one that was answered is too old, and one tried again often enough
    // for a lighthouse that is back in contact to be whole within it.
    QuorumTracker(Duration contact_timeout, TimePoint now)
        : contact_timeout_(std::max<Duration>(contact_timeout, std::chrono::milliseconds(300))),
          changed_at_(now) {}
    Duration read_interval() const { return contact_timeout_ / 6; }
    Duration max_retry_interval() const { return contact_timeout_ / 3; }
    // As of `now`, which a frozen process learns when it wakes, before anything else.
    bool is_held(TimePoint now) const {
        return confirmed_at_ && now - *confirmed_at_ <= contact_timeout_ / 2;
    }
    // When a majority last bore out the decree held here (none: not yet); what that changes, once each.
    std::optional<Change> update(std::optional<TimePoint> confirmed_at, TimePoint now);
    std::uint64_t loss_count() const { return loss_count_; }

private:
    Duration contact_timeout_;
    TimePoint changed_at_;
    std::optional<TimePoint> confirmed_at_;
    bool was_held_ = false;
    std::uint64_t loss_count_ = 0;
};

}    // namespace shaletray::controller
