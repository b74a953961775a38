// Rate-limits the rounds in which a controller sends changes, so that a burst of changes costs one message to
// each recipient instead of one for each change. Pure.
#pragma once

#include <cstddef>

#include "base/common/clock.h"

namespace shaletray::controller {

// The first change after an idle period is sent at once; changes that follow wait for the end of the interval
// and are sent together. The interval grows with the number of recipients, which bounds the messages per
// second. Not thread-safe.
class NotificationPacer {
public:
    struct Settings {
        Duration interval_per_recipient = std::chrono::milliseconds(1);
        Duration min_interval = std::chrono::milliseconds(20);
        // Longest delay of a change. Must stay far below the bounds on the propagation of configurations and
        // of draining servers, which are seconds.
        Duration max_interval = std::chrono::milliseconds(300);
    };
    explicit NotificationPacer(Settings settings) : settings_(settings) {}

    bool is_due(TimePoint now) const { return now >= next_round_; }
    // Earliest time of the next round.
    TimePoint next_round() const { return next_round_; }
    // Records that a round was sent to this number of recipients.
    void record_round(std::size_t recipients, TimePoint now);

private:
    Settings settings_;
    TimePoint next_round_{};
};

}    // namespace shaletray::controller
