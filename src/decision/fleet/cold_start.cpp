#include "decision/fleet/cold_start.h"

#include <algorithm>
#include <chrono>

namespace shaletray::decision::fleet {
namespace {

// Shares of the work that the rule allows (fall_multiple times the server's part, N per window of `fall`).
constexpr double kTargetShare = 0.5;
// The limit where random draws keep to the target as well. At N = 10, at most 7.5 attempts are expected and
// 22 allowed, which a window exceeds with a probability of 5 in a million. With a limit of N it would be 3 in
// 10,000, and a release has hundreds of windows.
constexpr double kMaxShare = 0.75;
constexpr double kMaxSaved = 0.5;    // part of a window's budget that may be saved up

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}    // namespace

bool is_sparse(const Settings& settings) {
    return (settings.sharing > 0 ? settings.sharing : settings.gateways) > kInitialInFlight;
}

double capacity_share(const Settings& settings, TimePoint since, TimePoint now) {
    if (since == TimePoint{} || settings.cold <= Duration(0) || now - since >= settings.cold) return 1.0;
    return settings.start_capacity +
           (1.0 - settings.start_capacity) * seconds(now - since) / seconds(settings.cold);
}

bool draw_cold(const Settings& settings, double share, std::uint64_t random) {
    const double probability = kTargetShare * settings.fall_multiple * share;
    return static_cast<double>(random >> 11) * 0x1p-53 < probability;
}

double slow_start_budget(const Settings& settings, double budget, double share, double warm_rate,
                         bool any_warm, double elapsed) {
    const double rate = share * (is_sparse(settings) && any_warm ? kMaxShare : kTargetShare) *
                        settings.fall_multiple * warm_rate;
    return std::min(budget + rate * elapsed, rate * seconds(settings.fall) * kMaxSaved + 1e-6);
}

}    // namespace shaletray::decision::fleet
