#include "cluster/quota/tenant_bucket.h"

#include <algorithm>

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// How long a tenant counts as under pressure after the last request that found no unit: two message
// intervals.
constexpr Duration kPressureDuration = 500ms;
// A unit counts as whole from this amount on, as refills accumulate rounding errors.
constexpr double kOneUnit = 1.0 - 1e-9;

std::int64_t step_of(TimePoint time) { return time.time_since_epoch() / kReservationStep; }

// The index of a step in the ring buffer `transferred`; steps may be negative.
std::size_t step_index(std::int64_t step) {
    return static_cast<std::size_t>((step % kReservationSteps + kReservationSteps) % kReservationSteps);
}

}    // namespace

double TenantBucket::reserved_units() const {
    double total = 0.0;
    for (const float amount : transferred) total += amount;
    return total;
}

void TenantBucket::refill_to(double integral) {
    if (integral <= refilled_until || !in_set) return;
    level += std::clamp(rate * (integral - refilled_until), 0.0,
                        std::max(0.0, capacity_share - level - reserved_units()));
    refilled_until = integral;
}

// Ends the reservations that have expired. A bucket cannot refill into reserved capacity, so the refill is
// replayed up to the end of each reservation.
void TenantBucket::end_reservations(const RefillClock& clock) {
    const std::int64_t last_expired_step = step_of(clock.current_time() - kReservationTime) - 1;
    const std::int64_t last_step = std::min(last_expired_step, newest_step);
    for (std::int64_t step = newest_step - kReservationSteps + 1; step <= last_step; ++step) {
        float& amount = transferred[step_index(step)];
        if (amount <= 0.0F) continue;
        const TimePoint step_end((step + 1) * kReservationStep);
        refill_to(clock.integral_at(step_end + kReservationTime));
        amount = 0.0F;
    }
}

void TenantBucket::absorb_expiring_units(TimePoint now) {
    if (expiring_units <= 0.0) return;
    if (now >= expiring_until) expiring_units = 0.0;
    const double fitting = std::clamp(capacity_share - reserved_units() - level, 0.0, expiring_units);
    level += fitting;
    expiring_units -= fitting;
}

void TenantBucket::advance_to(const RefillClock& clock) {
    member_capacity = full_capacity * clock.share();
    capacity_share = in_set ? member_capacity : 0.0;
    end_reservations(clock);
    refill_to(clock.integral());
    level = std::min(level, std::max(0.0, capacity_share - reserved_units()));
    absorb_expiring_units(clock.current_time());
}

bool TenantBucket::has_unit() const { return total_units() >= kOneUnit; }

bool TenantBucket::consume_unit() {
    if (!has_unit()) return false;
    const double from_expiring = std::min(expiring_units, 1.0);
    expiring_units -= from_expiring;
    level = std::max(0.0, level - (1.0 - from_expiring));
    return true;
}

void TenantBucket::return_unit() { level += std::clamp(capacity_share - reserved_units() - level, 0.0, 1.0); }

void TenantBucket::transfer_out(double amount, TimePoint now) {
    newest_step = std::max(newest_step, step_of(now));
    level = std::max(0.0, level - amount);
    transferred[step_index(newest_step)] += static_cast<float>(amount);
}

void TenantBucket::transfer_in(double amount, TimePoint expires_at) {
    const double fitting = std::clamp(capacity_share - reserved_units() - level, 0.0, amount);
    level += fitting;
    const double excess = amount - fitting;
    if (excess <= 0.0) return;
    expiring_until = expiring_units > 0.0 ? std::min(expiring_until, expires_at) : expires_at;
    expiring_units += excess;
}

void TenantBucket::clear() { level = expiring_units = 0.0; }

void TenantBucket::join_set(double start) {
    in_set = true;
    refilled_until = start;
}

void TenantBucket::leave_set() {
    clear();
    in_set = false;
    capacity_share = 0.0;
}

NeighbourState* TenantBucket::find_neighbour(PeerTable::Index peer) {
    for (std::size_t index = 0; index < neighbour_count; ++index)
        if (neighbours[index].peer == peer) return &neighbours[index];
    return nullptr;
}

bool TenantBucket::under_pressure(TimePoint now) const {
    return queued > 0 || now < last_shortage + kPressureDuration;
}

}    // namespace shaletray::quota
