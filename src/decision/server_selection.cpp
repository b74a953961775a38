// Which servers a request may be sent to, and which of them it is sent to.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr std::size_t kMaxCandidates = 4;
constexpr double kSlowCost = 20.0;        // cost factor of a slow outlier
constexpr int kInitialTargetRatio = 8;    // target over typical latency until one is observed

bool Gateway::Impl::permitted(const Request& request, const Server* target, TimePoint now) const {
    const ClassSettings& policy = class_of(request);
    const Attempt* first_run = nullptr;    // first attempt that may have run
    for (const Attempt& attempt : request.attempts) {
        if (attempt.state == Run::Pending && target != nullptr) return false;
        if (attempt.state != Run::NotRun && first_run == nullptr) first_run = &attempt;
    }
    if (target == nullptr) {
        if (first_run == nullptr || policy.repeat == Repeat::Safe) return true;
        return policy.repeat == Repeat::Keyed && policy.group == KeyGroup::All;
    }
    if (request.streaming || static_cast<int>(request.attempts.size()) >= max_attempts(request) ||
        now >= request.deadline)
        return false;
    if (request.arrival.only_host != HostId{} && request.arrival.only_host != target->entry.host)
        return false;
    if (target->entry.state != HostState::Healthy) return false;    // draining servers get nothing new
    if (first_run == nullptr || policy.repeat == Repeat::Safe) return true;
    if (policy.repeat == Repeat::Unsafe || now - first_run->sent_at >= policy.window) return false;
    if (policy.group == KeyGroup::All) return true;
    const auto first_server = servers_.find(first_run->host);
    if (first_server == servers_.end()) return false;
    return policy.group == KeyGroup::Zone ? first_server->second.entry.zone == target->entry.zone
                                          : first_server->second.entry.cell == target->entry.cell;
}

Duration Gateway::Impl::latency_of(std::size_t class_index) const {
    const double observed = typical_latency_[class_index];
    return observed > 0.0 ? from_seconds(observed) : settings_.classes[class_index].aim / kInitialTargetRatio;
}

bool Gateway::Impl::usable(const Request& request, const Server& server, TimePoint now, bool fallback) const {
    if (!permitted(request, &server, now)) return false;
    const double share = capacity_share(server, now);
    if (share < 1.0 && server.slow_start_budget <= 0.0) return false;
    if (fallback) return true;
    for (const Attempt& attempt : request.attempts) {
        if (attempt.host == server.entry.host) return false;    // it failed there before
    }
    if (now < server.avoid_until) return false;
    if (server.ejected) {    // trial traffic: one request at a time that may be repeated
        return now >= server.ejected_until && !server.unreachable && server.in_flight == 0 &&
               class_of(request).repeat == Repeat::Safe;
    }
    return !is_unresponsive(server, now);
}

double Gateway::Impl::selection_cost(const Request& request, const Server& server, TimePoint now) const {
    const double other_load = server.reported == TimePoint{}
                                  ? 0.0
                                  : server.other_load * std::exp2(-seconds(now - server.reported) / 0.5);
    const double decay = std::exp2(-seconds(now - server.counted_at) / kFailureHalfLife);
    const double failing = server.failures * decay / (1.0 + (server.successes + server.failures) * decay);
    const double zone_factor = server.entry.zone == settings_.zone ? 1.0 : 1.1;
    const double capacity = std::max(
        0.01, server.entry.rating * (fleet::is_sparse(settings_) ? 1.0 : capacity_share(server, now)));
    const double slow = slow_outlier(server, request.arrival.class_index, now) ? kSlowCost : 1.0;
    return (1.0 + server.in_flight + other_load) * server.slowness * (1.0 + 10.0 * failing) * slow *
           zone_factor / capacity;
}

Gateway::Impl::Server* Gateway::Impl::select_server(const Request& request, TimePoint now) {
    std::vector<Server*> candidates;
    for (std::size_t i = 0; i < draw_order_.size() && candidates.size() < kMaxCandidates; ++i) {
        std::swap(draw_order_[i], draw_order_[i + random_() % (draw_order_.size() - i)]);
        if (!usable(request, *draw_order_[i], now, false)) continue;
        const double share = capacity_share(*draw_order_[i], now);
        if (share >= 1.0 || !fleet::is_sparse(settings_) || fleet::draw_cold(settings_, share, random_()))
            candidates.push_back(draw_order_[i]);
    }
    for (std::size_t i = 0; i < draw_order_.size() && candidates.empty(); ++i) {
        if (usable(request, *draw_order_[i], now, true)) candidates.push_back(draw_order_[i]);
    }
    if (candidates.empty()) return nullptr;
    const auto cheaper = [&](const Server* left, const Server* right) {
        return selection_cost(request, *left, now) < selection_cost(request, *right, now);
    };
    return *std::min_element(candidates.begin(), candidates.end(), cheaper);
}

}    // namespace shaletray::decision
