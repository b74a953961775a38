#include "cluster/quota/tenant_bucket.h"

#include <algorithm>

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPressureDuration = 500ms;    // after the last request that found too little

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
std::int64_t step_of(TimePoint time) { return time.time_since_epoch() / kReservationStep; }
std::size_t step_index(std::int64_t step) {
    return static_cast<std::size_t>((step % kReservationSteps + kReservationSteps) % kReservationSteps);
}

}    // namespace

void RefillClock::advance(TimePoint now) {
    if (now <= current_time_) return;
    const TimePoint end = std::min(now, refill_until_);
    if (divisor_ > 0 && end > current_time_) integral_ += seconds(end - current_time_) * share_;
    current_time_ = now;
}

void RefillClock::set_divisor(std::uint32_t divisor, TimePoint deadline, TimePoint now) {
    advance(now);
    divisor_ = divisor;
    refill_until_ = deadline;
    if (divisor > 0) share_ = 1.0 / divisor;
}

double RefillClock::integral_at(TimePoint time) const {
    if (divisor_ == 0) return integral_;
    const TimePoint end = std::min(current_time_, refill_until_);
    return time < end ? integral_ - seconds(end - time) * share_ : integral_;
}

double TenantBucket::reserved_units() const {
    double total = 0.0;
    for (const float amount : transferred) total += amount;
    return total;
}

void TenantBucket::refill_to(double integral) {
    if (integral <= refilled_until) return;
    level += std::clamp(rate * (integral - refilled_until), 0.0,
                        std::max(0.0, capacity_share - level - reserved_units()));
    refilled_until = integral;
}

void TenantBucket::advance_to(const RefillClock& clock) {
    const TimePoint now = clock.current_time();
    capacity_share = full_capacity * clock.share();
    // While room was held, the store could not refill into it: step by step as it came free.
    const std::int64_t last_expired_step =
        step_of(now - kReservationTime) - 1;    // the newest step that has run out
    for (std::int64_t step = newest_step - kReservationSteps + 1;
         step <= std::min(last_expired_step, newest_step); ++step) {
        float& amount = transferred[step_index(step)];
        if (amount <= 0.0F) continue;
        refill_to(clock.integral_at(TimePoint((step + 1) * kReservationStep) + kReservationTime));
        amount = 0.0F;
    }
    refill_to(clock.integral());
    level = std::min(level, std::max(0.0, capacity_share - reserved_units()));
    if (expiring_units > 0.0) {
        if (now >= expiring_until) expiring_units = 0.0;
        const double fitting = std::clamp(capacity_share - reserved_units() - level, 0.0, expiring_units);
        level += fitting;
        expiring_units -= fitting;
    }
}

bool TenantBucket::consume_unit() {
    constexpr double kOneUnit = 1.0 - 1e-9;
    if (total_units() < kOneUnit) return false;
    const double from_expiring = std::min(expiring_units, 1.0);
    expiring_units -= from_expiring;
    level = std::max(0.0, level - (1.0 - from_expiring));
    return true;
}

// After settle: places of steps that have run out are empty.
void TenantBucket::transfer_out(double amount, TimePoint now) {
    newest_step = std::max(newest_step, step_of(now));
    level = std::max(0.0, level - amount);
    transferred[step_index(newest_step)] += static_cast<float>(amount);
}

void TenantBucket::transfer_in(double amount, TimePoint expires_at) {
    const double fitting = std::clamp(capacity_share - reserved_units() - level, 0.0, amount);
    level += fitting;
    if (amount - fitting <= 0.0) return;
    expiring_until = expiring_units > 0.0 ? std::min(expiring_until, expires_at) : expires_at;
    expiring_units += amount - fitting;
}

void TenantBucket::clear() { level = expiring_units = 0.0; }

bool TenantBucket::under_pressure(TimePoint now) const {
    return queued > 0 || now < last_shortage + kPressureDuration;
}

}    // namespace shaletray::quota
