// The latest pings of the probe rounds, by which this process judges its own connectivity.
#pragma once

#include <deque>
#include <functional>

#include "cluster/membership/member_table.h"

namespace shaletray::membership {

// A ping of a probe round.
struct PingSample {
    Record* record = nullptr;
    TimePoint sent_at{};
    std::uint32_t sequence_number = 0;
    bool acknowledged = false;    // by the member that was pinged, perhaps through another one

    // Whether anything of the member was received after the ping was sent.
    bool heard_since() const { return record->member->last_heard >= sent_at; }
};

// The last kMaxSamples pings. Does not own the records; forget() has to be called before one is erased.
class PingSamples {
public:
    using Predicate = std::function<bool(const PingSample&)>;

    void add(Record& record, TimePoint sent_at, std::uint32_t sequence_number);
    // The ping with this number was answered; renews last_acknowledged of its member.
    void acknowledge(const Record& record, std::uint32_t sequence_number);
    void forget(const Record& record);
    void clear() { samples_.clear(); }
    // Of the pings sent in the window (at least the last kMinSamples) that are `relevant`, the fraction that
    // is `successful`; 0 where there are none. Pings that may still be answered in time are left out.
    double fraction(TimePoint now, Duration window, const Predicate& relevant,
                    const Predicate& successful) const;
    // Whether this process has heard from few of those that it pinged lately.
    bool is_isolated(TimePoint now) const;

private:
    std::deque<PingSample> samples_;
};

}    // namespace shaletray::membership
