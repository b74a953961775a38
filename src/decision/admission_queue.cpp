// Arrival, and the requests held for units or for room.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kHoldShare = 0.5;          // of the time left inside the aim
constexpr double kRoomShare = 0.2;          // the same for room at the servers: queues come on top
constexpr Duration kAnswerMargin = 20ms;    // held requests are answered this long before the client goes
constexpr std::size_t kFewHeld = 128;       // up to here all are looked at after each answer

void Gateway::Impl::arrive(const RequestArrived& ask, TimePoint now) {
    check(s_, ask);
    Request& r = requests_[ask.request] = Request{};
    r.ask = ask;
    r.arrived = now;
    r.deadline = now + ask.budget;
    r.hold_until = now + from_seconds(kHoldShare * seconds(inside_aim(r)));
    earn_messages();
    Customer* c = customer_for(now, ask.customer, ask.plan_index, ask.first_gateway, ask.width);
    if (c == nullptr) return finish(r, now);
    r.of = c;
    c->used = now;
    refill(*c, now);
    const bool units = c->queue.empty() && has_units(r, *c, now);
    if (units && try_send(r, now)) return;
    // A customer far over its quota: units that will not come in time are not waited for.
    if (!units && plan(c->plan).rate > 0.0 &&
        soon(*c, seconds(r.hold_until - now)) < std::min(ask.units, c->quota.cap) + c->waiting) {
        return finish(r, now);
    }
    if (units) wait_for_room(r, now);
    hold(r, now);    // which may end it
    if (Request* held = units ? nullptr : find(ask.request); held && held->held) wait_for_units(*held, true);
}

// What of the aim, or of the client's time, is left beside being served.
Duration Gateway::Impl::inside_aim(const Request& r) const {
    const Duration wanted = std::min(class_of(r).aim, r.ask.budget);
    return std::max(Duration(0), wanted - std::min(2 * typical_latency(r), wanted / 2));
}

void Gateway::Impl::hold(Request& r, TimePoint now) {
    if (r.held) return;
    r.hold_until = std::min(r.hold_until, r.deadline - kAnswerMargin);
    if (r.hold_until <= now) return finish(r, now);
    r.held = true;
    r.turn = ++turns_;
    held_[r.turn] = for_room_[r.turn] = &r;
    arm(std::min(now + kBusyTick, r.hold_until));
}

void Gateway::Impl::unhold(Request& r) {
    if (!r.held) return;
    r.held = false;
    held_.erase(r.turn);
    for_room_.erase(r.turn);
    wait_for_units(r, false);
}

// A request held for room at the servers must not stand in the way of its customer's others.
void Gateway::Impl::wait_for_units(Request& r, bool waits) {
    if (r.wants_units == waits) return;
    r.wants_units = waits;
    Customer& c = *r.of;
    if (waits) c.queue[r.turn] = &r;
    else c.queue.erase(r.turn);
    if (waits) for_room_.erase(r.turn);
    else if (r.held) for_room_[r.turn] = &r;
    active_.insert(r.ask.customer);
    c.waiting = c.queue.empty() ? 0.0 : c.waiting + (waits ? r.ask.units : -r.ask.units);
}

// Load shedding: a long queue here would be the servers' queue, moved.
void Gateway::Impl::wait_for_room(Request& r, TimePoint now) {
    if (r.short_of_room) return;
    r.short_of_room = true;
    r.hold_until = std::min(r.hold_until, now + from_seconds(kRoomShare * seconds(inside_aim(r))));
}

bool Gateway::Impl::has_units(const Request& r, Customer& c, TimePoint now) {
    refill(c, now);
    return r.counted || ((r.beyond || covered(c, r.ask.units, now)) && ceiling_allows(c, r.ask.units));
}

// Ends, sends or holds on. False where it is held for units.
bool Gateway::Impl::go_on(Request& r, TimePoint now) {
    if (now >= r.hold_until) return finish(r, now), true;
    const bool units = has_units(r, *r.of, now);
    wait_for_units(r, !units);
    if (units && !try_send(r, now)) wait_for_room(r, now);
    return units;
}

void Gateway::Impl::pump(TimePoint now) {
    std::set<CustomerId> blocked;    // in order within a customer
    for (auto it = held_.begin(); it != held_.end();) {
        Request& r = *(it++)->second;
        const CustomerId customer = r.ask.customer;
        if (!r.counted && now < r.hold_until && blocked.contains(customer)) continue;
        if (!go_on(r, now)) blocked.insert(customer);
    }
}

// After an answer: what is held for room, and for units of its customer. The others' turn is at the tick.
void Gateway::Impl::pump_freed(TimePoint now) {
    if (held_.size() <= kFewHeld) return pump(now);
    for (auto it = for_room_.begin(); it != for_room_.end() && static_cast<double>(in_flight_) < limit_;)
        go_on(*(it++)->second, now);
    while (freed_ != nullptr && !freed_->queue.empty()) {
        if (!go_on(*freed_->queue.begin()->second, now)) break;
    }
}

}    // namespace shaletray::decision
