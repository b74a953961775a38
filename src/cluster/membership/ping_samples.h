// The latest pings of the probe rounds, from which this process estimates its own connectivity.
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
    bool acknowledged = false;    // by the pinged member, directly or through another one

    // Whether the member proved that it runs after the ping was sent.
    bool has_contact_since() const { return record->member->last_heard >= sent_at; }
};

// The last kMaxSamples pings. Does not own the records: call remove_record() before erasing one.
class PingSamples {
public:
    using Predicate = std::function<bool(const PingSample&)>;

    void add(Record& record, TimePoint sent_at, std::uint32_t sequence_number);
    // Marks the ping with this number as answered, and renews last_acknowledged of its member.
    void acknowledge(const Record& record, std::uint32_t sequence_number);
    // Removes the pings of the record.
    void remove_record(const Record& record);
    void clear() { samples_.clear(); }
    // The fraction of `successful` pings among the `relevant` ones sent in the window (at least the last
    // kMinSamples); 0 if there are none. Pings whose ack timeout has not expired are not counted.
    double fraction(TimePoint now, Duration window, const Predicate& relevant,
                    const Predicate& successful) const;
    // Whether only few of the recently pinged members have since proved that they run.
    bool is_isolated(TimePoint now) const;

private:
    std::deque<PingSample> samples_;
};

}    // namespace shaletray::membership
