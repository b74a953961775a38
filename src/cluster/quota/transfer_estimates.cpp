#include "cluster/quota/transfer_estimates.h"

#include <algorithm>
#include <cmath>

#include "cluster/quota/time_units.h"

namespace shaletray::quota {
namespace {

// Number of transfer steps from an empty to a full bucket: fine enough to balance, with few enough messages.
constexpr double kStepsPerBucket = 8.0;

// Returns a neighbour's weight among those that may transfer units to us.
double transfer_weight(const TenantBucket& bucket, const NeighbourState& state, const RefillClock& clock,
                       TimePoint now) {
    const double advantage = estimate_units(bucket, state.received, clock, now) - bucket.available_units();
    return std::max(0.0, advantage) + bucket.member_capacity / kStepsPerBucket;
}

}    // namespace

double refill_rate(const TenantBucket& bucket, const RefillClock& clock) {
    return bucket.rate * clock.share();
}

double transfer_granularity(const TenantBucket& bucket) {
    return std::clamp(bucket.member_capacity / kStepsPerBucket, 1.0 / kFractionsPerUnit, 1.0);
}

double estimate_units(const TenantBucket& bucket, const AvailabilityReport& report, const RefillClock& clock,
                      TimePoint now) {
    if (!report.known) return bucket.member_capacity;
    if (report.under_pressure || report.units >= bucket.member_capacity) return report.units;
    const double refilled = refill_rate(bucket, clock) * seconds(now - report.reported_at);
    return std::min(bucket.member_capacity, report.units + refilled);
}

double requestable_units(const TenantBucket& bucket, const NeighbourState& state, const RefillClock& clock,
                         TimePoint now) {
    // Other gateways may take what a member under pressure refills, but it may still have some units, so its
    // refill is counted.
    AvailabilityReport report = state.received;
    report.under_pressure = false;
    return std::floor(std::max(0.0, estimate_units(bucket, report, clock, now)) + kRoundingError);
}

double obtainable_units(const TenantBucket& bucket, const NeighbourState& state, double available,
                        const RefillClock& clock, TimePoint now) {
    const double neighbour_units = estimate_units(bucket, state.received, clock, now);
    if (neighbour_units < 0.5 * transfer_granularity(bucket)) return 0.0;
    return std::clamp(0.5 * (neighbour_units - available), 0.0, neighbour_units);
}

double max_transfer_from(const TenantBucket& bucket, std::size_t neighbour_index, const RefillClock& clock,
                         TimePoint now) {
    const double free_capacity = bucket.capacity_share - bucket.reserved_units() - bucket.available_units();
    if (free_capacity <= 0.0) return 0.0;
    double total_weight = 0.0;
    for (std::size_t index = 0; index < bucket.neighbour_count; ++index)
        total_weight += transfer_weight(bucket, bucket.neighbours[index], clock, now);
    if (total_weight <= 0.0) return 0.0;
    const double weight = transfer_weight(bucket, bucket.neighbours[neighbour_index], clock, now);
    return free_capacity * weight / total_weight;
}

}    // namespace shaletray::quota
