// Sending attempts, handling their outcomes, and deciding on retries.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr int kHungFactor = 10;    // times the typical latency of the class

bool Gateway::Impl::try_send(Request& request, TimePoint now) {
    Customer& customer = *request.customer;
    if (!units_allowed(request, customer, now)) return false;
    if (static_cast<double>(in_flight_) >= max_in_flight_) return false;
    if (now + latency_of(request) > request.deadline) return false;    // too late for the client
    Server* server = select_server(request, now);
    if (server == nullptr) return false;
    dequeue(request);
    if (!request.charged) {
        request.charged = true;
        if (!request.over_quota) customer.quota.level -= request.arrival.units;
        customers_to_balance_.insert(request.arrival.customer);
        customer.hard_limit.level -= request.arrival.units;
        retry_tokens_ = std::min(settings_.retry_burst, retry_tokens(now) + settings_.retry_share);
    }
    const double work = seconds(latency_of(request));
    if (capacity_share(*server, now) < 1.0) server->slow_start_budget -= work;
    else warm_work_ += work;
    if (server->in_flight == 0) server->silent_since = now;
    ++customer.in_flight;
    request.attempts.push_back({server->entry.host, now});
    adjust_in_flight(request.attempts.back(), 1);
    schedule_tick(now + kBusyTick);
    actions_->push_back(Send{request.arrival.request, server->entry.host, Duration(0)});
    return true;
}

double Gateway::Impl::retry_tokens(TimePoint now) {
    const double earned = settings_.retry_refill_per_s * seconds(now - std::exchange(retry_tokens_at_, now));
    return retry_tokens_ = std::min(settings_.retry_burst, retry_tokens_ + earned);
}

void Gateway::Impl::adjust_in_flight(Attempt& attempt, int delta) {
    if (attempt.hung) return;
    in_flight_ += delta;
    if (const auto it = servers_.find(attempt.host); it != servers_.end()) it->second.in_flight += delta;
}

void Gateway::Impl::detect_hung_attempts(TimePoint now) {
    for (auto& [id, request] : requests_) {
        if (request.attempts.empty() || request.attempts.back().state != Run::Pending || request.streaming)
            continue;
        Attempt& attempt = request.attempts.back();
        if (attempt.hung || now - attempt.sent_at < kHungFactor * latency_of(request) ||
            latency_of(request) > class_of(request).aim / 7)
            continue;
        const auto it = servers_.find(attempt.host);
        if (it == servers_.end() || it->second.silent_since < attempt.sent_at + 2 * latency_of(request))
            continue;
        adjust_in_flight(attempt, -1);
        attempt.hung = true;
    }
}

void Gateway::Impl::cancel_for_retry(RequestId id, Request& request, TimePoint now) {
    Attempt& attempt = request.attempts.back();
    const ClassSettings& policy = class_of(request);
    if (attempt.state != Run::Pending || attempt.cancelled || request.streaming || !settings_.may_cancel ||
        policy.repeat == Repeat::Unsafe)
        return;
    if (static_cast<int>(request.attempts.size()) >= max_attempts(request) || retry_tokens(now) < 1.0) return;
    if (policy.repeat == Repeat::Keyed && now - request.attempts.front().sent_at + kBusyTick >= policy.window)
        return;
    if (now + latency_of(request) > std::min(request.deadline, request.arrived_at + policy.aim)) return;
    attempt.cancelled = true;
    actions_->push_back(CancelAttempt{id, static_cast<int>(request.attempts.size()) - 1});
}

void Gateway::Impl::record_latency(Server& server, const AttemptFinished& event, const Request& request,
                                   TimePoint now) {
    const double took = std::max(1e-4, seconds(event.took));
    double& typical = typical_latency_[static_cast<std::size_t>(request.arrival.class_index)];
    typical = typical == 0.0 ? took : typical * (took > typical ? 1.03 : 1.0 / 1.03);    // follows the median
    server.slowness = std::clamp(0.95 * server.slowness + 0.05 * std::min(5.0, took / typical), 0.5, 4.0);
    adjust_limit(now, std::min(2.0, took / std::max(1e-3, seconds(class_of(request).aim))));
}

void Gateway::Impl::on_attempt_finished(const AttemptFinished& event, TimePoint now) {
    const auto it = servers_.find(event.host);
    Server* server = it == servers_.end() ? nullptr : &it->second;
    Request* request = find_request(event.request);
    if (server != nullptr) on_server_outcome(*server, event, now);
    if (request == nullptr || event.attempt < 0 ||
        static_cast<std::size_t>(event.attempt) >= request->attempts.size())
        return;
    Attempt& attempt = request->attempts[static_cast<std::size_t>(event.attempt)];
    if (attempt.state != Run::Pending) return;
    adjust_in_flight(attempt, -1);
    const bool not_run = event.outcome == Outcome::Full || event.outcome == Outcome::ConnectFailed ||
                         event.outcome == Outcome::NotSent;
    attempt.state = not_run ? Run::NotRun : Run::MaybeRun;
    const bool refund_token = settings_.retry_refunds && not_run && event.outcome != Outcome::Full;
    if (!refund_token) request->reached_server = true, request->retry_token = false;    // the token is spent
    Customer& customer = *request->customer;
    --customer.in_flight;
    freed_customer_ = &customer;
    if (event.outcome == Outcome::Ok) {
        if (server != nullptr) record_latency(*server, event, *request, now);
        if (server != nullptr && !attempt.slow) add_pace(*server, request->arrival.class_index, false, now);
        if (event.settled_units > 0.0 && settings_.settles && !request->over_quota) {
            customer.quota.level -= event.settled_units - request->arrival.units;
            customers_to_balance_.insert(request->arrival.customer);
        }
    } else if (event.outcome == Outcome::Timeout && server != nullptr &&
               server->silent_since <= attempt.sent_at) {
        adjust_limit(now, 1.5);    // if the server responded meanwhile, the attempt hung: no sign of load
    }
    if (event.final || event.outcome == Outcome::Ok) return remove_request(*request);
    if (event.outcome == Outcome::NotSent) return reject_or_fail(*request, now);
    on_attempt_failed(*request, now);
}

void Gateway::Impl::on_attempt_failed(Request& request, TimePoint now) {
    const ClassSettings& policy = class_of(request);
    const Duration time_left =
        (policy.late_share > 0.0 ? request.deadline
                                 : std::min(request.deadline, request.arrived_at + policy.aim)) -
        now;
    const bool takes_token = request.reached_server && !request.retry_token;
    if ((takes_token && retry_tokens(now) < 1.0) || time_left < latency_of(request))
        return reject_or_fail(request, now);
    if (std::none_of(draw_order_.begin(), draw_order_.end(),
                     [&](Server* server) { return permitted(request, server, now); }))
        return reject_or_fail(request, now);
    if (takes_token) retry_tokens_ -= 1.0;
    request.retry_token = request.reached_server;
    if (try_send(request, now)) return;
    request.hold_until = now + time_left / 2;
    enqueue(request, now);
}

void Gateway::Impl::reject_or_fail(Request& request, TimePoint now) {
    if (admits_over_quota(request) && request.customer != nullptr) {
        request.over_quota = true;
        if (try_send(request, now)) return;
    }
    if (permitted(request, nullptr, now)) {
        const Duration wait = request.customer == nullptr
                                  ? Duration(0)
                                  : refill_time(*request.customer, request.arrival.units, now);
        actions_->push_back(
            Refuse{request.arrival.request, std::clamp(wait, Duration(0), settings_.max_retry_after)});
    } else {
        actions_->push_back(Fail{request.arrival.request});
    }
    remove_request(request);
}

void Gateway::Impl::remove_request(Request& request) {
    dequeue(request);
    if (!request.attempts.empty() && request.attempts.back().state == Run::Pending) {
        adjust_in_flight(request.attempts.back(), -1);
        --request.customer->in_flight;
    } else if (request.retry_token && settings_.retry_refunds) {
        retry_tokens_ = std::min(settings_.retry_burst, retry_tokens_ + 1.0);
    }
    requests_.erase(request.arrival.request);
}

}    // namespace shaletray::decision
