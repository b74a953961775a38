// The refill clocks of the sets of gateways, one for each size. Pure: the caller hands in the time.
//
// A member of a set of n gateways refills 1/n of a tenant's rate. A gateway that knows a part of the gateways
// only, by the divisor that others announce, may take itself for a member wrongly; so it refills that part of
// 1/n. Where gateways that know the same others are apart, their parts sum up to one at most; where each
// misses others at random, they do so on average.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cluster/quota/gateway_sets.h"
#include "cluster/quota/refill_clock.h"

namespace shaletray::quota {

class RefillClocks {
public:
    explicit RefillClocks(TimePoint start);

    void advance(TimePoint now);
    // From `now` until `deadline`, by a quota divisor of `divisor` gateways of which `known` are known, at
    // most as many. A divisor of 0 stops the refill; what members hold is then estimated by `known`.
    void set_divisor(std::uint32_t divisor, std::size_t known, TimePoint deadline, TimePoint now);

    const RefillClock& operator[](SetSizeClass size_class) const { return clocks_[size_class]; }
    bool is_running(TimePoint now) const { return clocks_.front().is_running(now); }
    TimePoint refill_until() const { return clocks_.front().refill_until(); }
    TimePoint current_time() const { return clocks_.front().current_time(); }
    // The share of a set's member by these. `divisor`: at least 1.
    static double member_share(std::uint32_t divisor, std::size_t known, SetSizeClass size_class);

private:
    std::array<RefillClock, kMaxSetSizeClass + 1> clocks_;
};

}    // namespace shaletray::quota
