#include "decision/fleet/cold_start.h"

#include <algorithm>
#include <chrono>

namespace shaletray::decision::fleet {
namespace {

constexpr double kAim = 0.5;    // of what the rule allows
// The most of it, where draws keep to the aim beside. At N = 10, 7.5 are expected at most and 22 allowed: a
// chance of 5 in a million a window. At all of N it would be 3 in 10,000, and a release has hundreds of
// windows.
constexpr double kMost = 0.75;
constexpr double kStored = 0.5;    // of a window's budget

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}    // namespace

bool sparse(const Settings& s) { return (s.sharing > 0 ? s.sharing : s.gateways) > kStartOut; }

double cold_share(const Settings& s, TimePoint since, TimePoint now) {
    if (since == TimePoint{} || s.cold <= Duration(0) || now - since >= s.cold) return 1.0;
    return s.start_capacity + (1.0 - s.start_capacity) * seconds(now - since) / seconds(s.cold);
}

bool cold_drawn(const Settings& s, double share, std::uint64_t random) {
    const double chance = kAim * s.fall_multiple * share;
    return static_cast<double>(random >> 11) * 0x1p-53 < chance;
}

double cold_budget(const Settings& s, double budget, double share, double each, bool warm, double dt) {
    const double rate = share * (sparse(s) && warm ? kMost : kAim) * s.fall_multiple * each;
    return std::min(budget + rate * dt, rate * seconds(s.fall) * kStored + 1e-6);
}

}    // namespace shaletray::decision::fleet
