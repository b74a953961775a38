// Tracks whether this controller is in contact with a majority of the voters: only then is what it holds
// handed out as current. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/common/clock.h"

namespace shaletray::controller {

// All times derive from the contact timeout (`bounds.contact`), taken as 300 ms at least. Quorum reads are
// issued often enough for two to be lost before the last confirmed one is too old, and are retried often
// enough for a controller whose links return to have its quorum back within the contact timeout.
class QuorumTracker {
public:
    struct Change {
        bool held = false;               // whether there is contact from now on
        Duration previous_duration{};    // how long the opposite held
    };
    QuorumTracker(Duration contact_timeout, TimePoint now)
        : contact_timeout_(std::max<Duration>(contact_timeout, kMinContactTimeout)), changed_at_(now) {}
    Duration read_interval() const { return contact_timeout_ / 6; }
    Duration max_retry_interval() const { return contact_timeout_ / 3; }
    // As of `now`, so that a process that was suspended knows it is out of date before it does anything else.
    bool is_held(TimePoint now) const {
        return confirmed_at_ && now - *confirmed_at_ <= validity_of_confirmation();
    }
    // Records when a majority last confirmed the entry held here (none: not yet). Reports each change once.
    std::optional<Change> update(std::optional<TimePoint> confirmed_at, TimePoint now);
    std::uint64_t loss_count() const { return loss_count_; }

private:
    static constexpr Duration kMinContactTimeout = std::chrono::milliseconds(300);
    Duration validity_of_confirmation() const { return contact_timeout_ / 2; }

    Duration contact_timeout_;
    TimePoint changed_at_;
    std::optional<TimePoint> confirmed_at_;
    bool was_held_ = false;
    std::uint64_t loss_count_ = 0;
};

}    // namespace shaletray::controller
