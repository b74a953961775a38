// How many units neighbours have and may be expected to transfer. Pure functions; amounts are in units.
#pragma once

#include "cluster/quota/message.h"
#include "cluster/quota/tenant_bucket.h"

namespace shaletray::quota {

// Sums of refills may fall short of a whole unit by so much.
constexpr double kRoundingError = 1e-9;

// The rate at which each member of the tenant's set refills its part of the quota, in units per second.
double refill_rate(const TenantBucket& bucket, const RefillClock& clock);
// The step in which units are moved: a small part of the bucket, at most a whole unit.
double transfer_granularity(const TenantBucket& bucket);
// The units that were reported and those refilled since. A gateway under pressure refills none that would
// last. One that reported nothing is taken for full.
double estimate_units(const TenantBucket& bucket, const AvailabilityReport& report, const RefillClock& clock,
                      TimePoint now);
// What the neighbour would transfer on request to a gateway that has `available` units: half of the
// difference, out of what it has.
double obtainable_units(const TenantBucket& bucket, const NeighbourState& state, double available,
                        const RefillClock& clock, TimePoint now);
// What a member of the set would give to a gateway outside of it that asks: whole units only.
double requestable_units(const TenantBucket& bucket, const NeighbourState& state, const RefillClock& clock,
                         TimePoint now);
// How much a neighbour may transfer unasked: the free capacity here, divided in proportion to what the
// neighbours have above us, so that those who transfer at the same time don't overfill the bucket.
double max_transfer_from(const TenantBucket& bucket, std::size_t neighbour_index, const RefillClock& clock,
                         TimePoint now);

}    // namespace shaletray::quota
