// The refill clocks of gateway sets, one per size class. Pure: the caller passes the time.
//
// A member of a set of n gateways refills 1/n of a tenant's rate. A gateway that knows only a fraction of the
// gateways, compared to the divisor that others announce, may wrongly consider itself a member; so it refills
// only that fraction of 1/n. Where the gateways are partitioned into groups whose members know the same
// gateways, the shares sum up to at most one; where each gateway misses others at random, they do so on
// average.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cluster/quota/gateway_sets.h"
#include "cluster/quota/refill_clock.h"

namespace shaletray::quota {

// Not thread-safe.
class RefillClocks {
public:
    explicit RefillClocks(TimePoint start);

    void advance(TimePoint now);
    // Starts refill from `now` until `deadline`, by the quota divisor `divisor`, of which `known_count`
    // gateways are known. Values of `known_count` above `divisor` count as `divisor`. A divisor of 0 stops
    // the refill; the members' capacity is then estimated by `known_count`.
    void set_divisor(std::uint32_t divisor, std::size_t known_count, TimePoint deadline, TimePoint now);

    const RefillClock& operator[](SetSizeClass size_class) const { return clocks_[size_class]; }
    bool is_running(TimePoint now) const { return clocks_.front().is_running(now); }
    TimePoint refill_until() const { return clocks_.front().refill_until(); }
    TimePoint current_time() const { return clocks_.front().current_time(); }
    // Returns the share of a set's member for this divisor and number of known gateways. `divisor`: at least
    // 1.
    static double member_share(std::uint32_t divisor, std::size_t known_count, SetSizeClass size_class);

private:
    std::array<RefillClock, kMaxSetSizeClass + 1> clocks_;
};

}    // namespace shaletray::quota
