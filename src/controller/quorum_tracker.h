// Tracks whether this controller is in contact with a majority of the voters: only then is its state reported
// as current. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/common/clock.h"

namespace shaletray::controller {

// All times derive from the contact timeout (`bounds.contact`), which is raised to 300 ms if it is lower.
// Quorum reads are issued often enough that two may be lost before the last confirmation expires, and retried
// often enough that a controller regains its quorum within the contact timeout after its links are restored.
class QuorumTracker {
public:
    struct Change {
        bool held = false;               // whether the quorum is held from now on
        Duration previous_duration{};    // duration of the previous state
    };
    QuorumTracker(Duration contact_timeout, TimePoint now)
        : contact_timeout_(std::max<Duration>(contact_timeout, kMinContactTimeout)), changed_at_(now) {}
    Duration read_interval() const { return contact_timeout_ / 6; }
    Duration max_retry_interval() const { return contact_timeout_ / 3; }
    // Evaluated at `now`, so that a process that was suspended detects its loss of the quorum before it does
    // anything else.
    bool is_held(TimePoint now) const {
        return confirmed_at_ && now - *confirmed_at_ <= confirmation_validity();
    }
    // Records when a majority last confirmed this controller's entry (none: not yet). Returns a change once.
    std::optional<Change> update(std::optional<TimePoint> confirmed_at, TimePoint now);
    std::uint64_t loss_count() const { return loss_count_; }

private:
    static constexpr Duration kMinContactTimeout = std::chrono::milliseconds(300);
    Duration confirmation_validity() const { return contact_timeout_ / 2; }

    Duration contact_timeout_;
    TimePoint changed_at_;
    std::optional<TimePoint> confirmed_at_;
    bool was_held_ = false;
    std::uint64_t loss_count_ = 0;
};

}    // namespace shaletray::controller
