// Estimates of the units that neighbours have and may transfer. Pure functions; amounts are in units.
#pragma once

#include "cluster/quota/message.h"
#include "cluster/quota/tenant_bucket.h"

namespace shaletray::quota {

// Rounding errors of refills by which a sum may be below a whole unit.
constexpr double kRoundingError = 1e-9;

// Returns the rate at which each member of the tenant's set refills, in units per second.
double refill_rate(const TenantBucket& bucket, const RefillClock& clock);
// Returns the step in which units are moved: a small fraction of the bucket, at most one unit.
double transfer_granularity(const TenantBucket& bucket);
// Returns the reported units plus those refilled since. A gateway under pressure is assumed to use its refill
// at once, and a bucket without a report is assumed to be full.
double estimate_units(const TenantBucket& bucket, const AvailabilityReport& report, const RefillClock& clock,
                      TimePoint now);
// Returns the units that the neighbour would transfer on request to a gateway that has `available` units:
// half of the difference, at most the units it has.
double obtainable_units(const TenantBucket& bucket, const NeighbourState& state, double available,
                        const RefillClock& clock, TimePoint now);
// Returns the whole units that a member of the set would transfer on request to a gateway outside of the set.
double requestable_units(const TenantBucket& bucket, const NeighbourState& state, const RefillClock& clock,
                         TimePoint now);
// Returns how many units a neighbour may transfer without a request: a part of this bucket's free capacity,
// divided in proportion to the neighbours' surplus over this gateway, so that simultaneous transfers do not
// overfill the bucket.
double max_transfer_from(const TenantBucket& bucket, std::size_t neighbour_index, const RefillClock& clock,
                         TimePoint now);

}    // namespace shaletray::quota
