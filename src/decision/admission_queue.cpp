// Admission of requests, and the queue of those that wait for quota or for capacity at the servers.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kUnitHoldShare = 0.5;         // of the slack within the latency target
constexpr double kCapacityHoldShare = 0.2;     // smaller, as queueing at the servers comes on top
constexpr Duration kDeadlineMargin = 20ms;     // queued requests are answered this long before their deadline
constexpr std::size_t kFullScanLimit = 128;    // longer queues are not scanned whole after each outcome

void Gateway::Impl::on_request_arrived(const RequestArrived& arrival, TimePoint now) {
    validate(settings_, arrival);
    Request& request = requests_[arrival.request] = Request{};
    request.arrival = arrival;
    request.arrived_at = now;
    request.deadline = now + arrival.budget;
    request.hold_until = now + from_seconds(kUnitHoldShare * seconds(slack_within_target(request)));
    earn_send_budget();
    Customer* customer =
        customer_for(now, arrival.customer, arrival.plan_index, arrival.first_gateway, arrival.width);
    if (customer == nullptr) return reject_or_fail(request, now);
    request.customer = customer;
    customer->last_used = now;
    refill(*customer, now);
    const bool has_quota = customer->queue.empty() && units_allowed(request, *customer, now);
    if (has_quota && try_send(request, now)) return;
    if (!has_quota && plan_at(customer->plan).rate > 0.0 &&
        expected_units(*customer, seconds(request.hold_until - now)) <
            std::min(arrival.units, customer->quota.burst) + customer->backlog) {
        return reject_or_fail(request, now);
    }
    if (has_quota) shorten_hold(request, now);
    enqueue(request, now);    // may reject and remove the request
    if (Request* held = has_quota ? nullptr : find_request(arrival.request); held && held->held)
        set_queued_for_units(*held, true);
}

Duration Gateway::Impl::slack_within_target(const Request& request) const {
    const Duration target = std::min(class_of(request).aim, request.arrival.budget);
    return std::max(Duration(0), target - std::min(2 * latency_of(request), target / 2));
}

void Gateway::Impl::enqueue(Request& request, TimePoint now) {
    if (request.held) return;
    request.hold_until = std::min(request.hold_until, request.deadline - kDeadlineMargin);
    if (request.hold_until <= now) return reject_or_fail(request, now);
    request.held = true;
    request.queue_position = ++last_queue_position_;
    queued_[request.queue_position] = capacity_queue_[request.queue_position] = &request;
    schedule_tick(std::min(now + kBusyTick, request.hold_until));
}

void Gateway::Impl::dequeue(Request& request) {
    if (!request.held) return;
    request.held = false;
    queued_.erase(request.queue_position);
    capacity_queue_.erase(request.queue_position);
    set_queued_for_units(request, false);
}

void Gateway::Impl::set_queued_for_units(Request& request, bool queued) {
    if (request.queued_for_units == queued) return;
    request.queued_for_units = queued;
    Customer& customer = *request.customer;
    if (queued) customer.queue[request.queue_position] = &request;
    else customer.queue.erase(request.queue_position);
    if (queued) capacity_queue_.erase(request.queue_position);
    else if (request.held) capacity_queue_[request.queue_position] = &request;
    customers_to_balance_.insert(request.arrival.customer);
    customer.backlog = customer.queue.empty()
                           ? 0.0
                           : customer.backlog + (queued ? request.arrival.units : -request.arrival.units);
}

void Gateway::Impl::shorten_hold(Request& request, TimePoint now) {
    if (request.hold_shortened) return;
    request.hold_shortened = true;
    request.hold_until = std::min(
        request.hold_until, now + from_seconds(kCapacityHoldShare * seconds(slack_within_target(request))));
}

bool Gateway::Impl::units_allowed(const Request& request, Customer& customer, TimePoint now) {
    refill(customer, now);
    return request.charged || ((request.over_quota || quota_allows(customer, request.arrival.units, now)) &&
                               hard_limit_allows(customer, request.arrival.units));
}

bool Gateway::Impl::resume_request(Request& request, TimePoint now) {
    if (now >= request.hold_until) return reject_or_fail(request, now), true;
    const bool units_available = units_allowed(request, *request.customer, now);
    set_queued_for_units(request, !units_available);
    if (units_available && !try_send(request, now)) shorten_hold(request, now);
    return units_available;
}

void Gateway::Impl::dispatch_queue(TimePoint now) {
    std::set<CustomerId> blocked;    // keeps the order within a customer
    for (auto it = queued_.begin(); it != queued_.end();) {
        Request& request = *(it++)->second;
        const CustomerId customer_id = request.arrival.customer;
        if (!request.charged && now < request.hold_until && blocked.contains(customer_id)) continue;
        if (!resume_request(request, now)) blocked.insert(customer_id);
    }
}

void Gateway::Impl::dispatch_after_outcome(TimePoint now) {
    if (queued_.size() <= kFullScanLimit) return dispatch_queue(now);
    for (auto it = capacity_queue_.begin();
         it != capacity_queue_.end() && static_cast<double>(in_flight_) < max_in_flight_;)
        resume_request(*(it++)->second, now);
    while (freed_customer_ != nullptr && !freed_customer_->queue.empty()) {
        if (!resume_request(*freed_customer_->queue.begin()->second, now)) break;
    }
}

}    // namespace shaletray::decision
