// Concurrency limit, admission of requests over quota, and detection of servers that are slow for one class.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kOverQuotaShare = 0.5;     // of concurrency limit and latency goal, for over-quota requests
constexpr int kSlowFactor = 5;              // times the typical latency of the class
constexpr double kSlowHalfLife = 4.0;       // seconds
constexpr double kMinSlowAttempts = 2.5;    // (decayed) of a class at a server
constexpr double kMinSlowShare = 0.3;       // of all attempts of the class there
constexpr double kSlowOutlierFactor = 3.0;    // times the median server's share

void Gateway::Impl::adjust_limit(TimePoint now, double ratio) {
    latency_ratio_ = 0.95 * latency_ratio_ + 0.05 * ratio;
    const double count = static_cast<double>(servers_.size());
    if (latency_ratio_ > settings_.latency_goal && now - limit_cut_at_ > 200ms) {
        const double used = std::min(max_in_flight_, 1.2 * static_cast<double>(in_flight_ + 1));
        max_in_flight_ = std::max(1.0 + settings_.least_out * count / sharing(), used * 0.85);
        limit_cut_at_ = now;
    } else if (latency_ratio_ <= settings_.latency_goal &&
               static_cast<double>(in_flight_) > 0.8 * max_in_flight_) {
        max_in_flight_ = std::min(100.0 * count, max_in_flight_ + std::max(1.0, count / 4) / max_in_flight_);
    }
}

bool Gateway::Impl::admits_over_quota(const Request& request) const {
    const PlanSettings& plan = plan_at(request.arrival.plan_index);
    if (request.charged || request.over_quota || plan.over_worth <= plan.over_cost) return false;
    return latency_ratio_ < kOverQuotaShare * settings_.latency_goal &&
           static_cast<double>(in_flight_) < kOverQuotaShare * max_in_flight_;
}

void Gateway::Impl::add_pace(Server& server, int class_index, bool slow, TimePoint now) {
    ClassLatency& latency = server.class_latency[class_index];
    latency.decay(now, kSlowHalfLife);
    (slow ? latency.slow : latency.on_time) += 1.0;
}

bool Gateway::Impl::slow_outlier(const Server& server, int class_index, TimePoint now) const {
    const auto decayed = [&](const Server& candidate) {
        const auto it = candidate.class_latency.find(class_index);
        ClassLatency latency = it == candidate.class_latency.end() ? ClassLatency{} : it->second;
        latency.decay(now, kSlowHalfLife);
        return latency;
    };
    const ClassLatency own = decayed(server);
    if (own.slow < kMinSlowAttempts || own.slow_share() < kMinSlowShare) return false;
    std::vector<double> shares;
    for (const Server* other : draw_order_) shares.push_back(decayed(*other).slow_share());
    const auto median = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), median, shares.end());
    return own.slow_share() > kSlowOutlierFactor * *median;
}

void Gateway::Impl::detect_slow_attempts(TimePoint now) {
    for (auto& [id, request] : requests_) {
        if (request.attempts.empty() || request.attempts.back().state != Run::Pending || request.streaming)
            continue;
        Attempt& attempt = request.attempts.back();
        if (now - attempt.sent_at < kSlowFactor * latency_of(request)) continue;
        const auto it = servers_.find(attempt.host);
        if (it == servers_.end()) continue;
        if (!std::exchange(attempt.slow, true)) add_pace(it->second, request.arrival.class_index, true, now);
        if (slow_outlier(it->second, request.arrival.class_index, now)) cancel_for_retry(id, request, now);
    }
}

}    // namespace shaletray::decision
