#include "cluster/quota/tenant_bucket.h"

#include <algorithm>

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPressed = 500ms;    // after the last request that found too little

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
std::int64_t step_of(TimePoint t) { return t.time_since_epoch() / kHoldStep; }
std::size_t place(std::int64_t step) {
    return static_cast<std::size_t>((step % kHoldSteps + kHoldSteps) % kHoldSteps);
}

}    // namespace

void Flow::advance(TimePoint now) {
    if (now <= now_) return;
    const TimePoint end = std::min(now, until_);
    if (divisor_ > 0 && end > now_) sum_ += seconds(end - now_) * part_;
    now_ = now;
}

void Flow::set(std::uint32_t divisor, TimePoint until, TimePoint now) {
    advance(now);
    divisor_ = divisor;
    until_ = until;
    if (divisor > 0) part_ = 1.0 / divisor;
}

double Flow::sum_at(TimePoint t) const {
    if (divisor_ == 0) return sum_;
    const TimePoint end = std::min(now_, until_);
    return t < end ? sum_ - seconds(end - t) * part_ : sum_;
}

double Store::held() const {
    double sum = 0.0;
    for (const float amount : given) sum += amount;
    return sum;
}

void Store::refill(double sum) {
    if (sum <= at) return;
    level += std::clamp(rate * (sum - at), 0.0, std::max(0.0, cap - level - held()));
    at = sum;
}

void Store::settle(const Flow& flow) {
    const TimePoint now = flow.now();
    cap = size * flow.part();
    // While room was held, the store could not refill into it: step by step as it came free.
    const std::int64_t last = step_of(now - kHold) - 1;    // the newest step that has run out
    for (std::int64_t step = given_step - kHoldSteps + 1; step <= std::min(last, given_step); ++step) {
        float& amount = given[place(step)];
        if (amount <= 0.0F) continue;
        refill(flow.sum_at(TimePoint((step + 1) * kHoldStep) + kHold));
        amount = 0.0F;
    }
    refill(flow.sum());
    level = std::min(level, std::max(0.0, cap - held()));
    if (passing > 0.0) {
        if (now >= passing_until) passing = 0.0;
        const double fits = std::clamp(cap - held() - level, 0.0, passing);
        level += fits;
        passing -= fits;
    }
}

bool Store::take() {
    constexpr double kWhole = 1.0 - 1e-9;
    if (units() < kWhole) return false;
    const double passed = std::min(passing, 1.0);
    passing -= passed;
    level = std::max(0.0, level - (1.0 - passed));
    return true;
}

// After settle: places of steps that have run out are empty.
void Store::give(double amount, TimePoint now) {
    given_step = std::max(given_step, step_of(now));
    level = std::max(0.0, level - amount);
    given[place(given_step)] += static_cast<float>(amount);
}

void Store::receive(double amount, TimePoint ends) {
    const double fits = std::clamp(cap - held() - level, 0.0, amount);
    level += fits;
    if (amount - fits <= 0.0) return;
    passing_until = passing > 0.0 ? std::min(passing_until, ends) : ends;
    passing += amount - fits;
}

void Store::drain() { level = passing = 0.0; }

bool Store::pressed(TimePoint now) const { return waiting > 0 || now < short_at + kPressed; }

}    // namespace shaletray::quota
