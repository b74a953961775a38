// Quota stores: what a customer holds here, what that covers, and when more is due. Its part of the quota is
// 1 / width of the plan's; what moves between gateways is in balancing.cpp.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kFineShare = 2.0;    // largest requests in a share: below it stores are read together
constexpr double kKeepFree = 0.5;     // of the burst: what others may be granting meanwhile
constexpr double kForgive = 3.0;      // seconds
constexpr std::size_t kMostCustomers = 50000;
constexpr Duration kIdleCustomer = 60s;

Gateway::Impl::Customer* Gateway::Impl::customer_for(TimePoint now, CustomerId id, int plan_index, int first,
                                                     int set_width) {
    if (const auto it = customers_.find(id); it != customers_.end()) return &it->second;
    if (customers_.size() >= kMostCustomers) return nullptr;
    Customer& c = customers_[id];
    const PlanSettings& p = plan(plan_index);
    const int width = std::clamp(set_width, 1, s_.gateways);
    const int place = place_in_set(s_.me, first);
    c.plan = plan_index;
    c.first = first;
    c.width = width;
    c.quota = {p.burst / width, p.burst / width, p.rate / width, now};
    const double largest = std::max(1.0, s_.most_units);
    // Where a share is too small for one large request, only the first gateways of the set hold any.
    const int holders = std::clamp(static_cast<int>(p.ceiling_burst / largest), 1, width);
    if (place < holders) {    // an earlier life may have spent the share: it counts from this start
        c.ceiling = {0.0, p.ceiling_burst / holders, p.ceiling_rate / holders, now};
        c.ceiling.level = std::min(c.ceiling.cap, c.ceiling.rate * seconds(now - boot_));
    }
    if (place < width && s_.may_tell) {
        // Distances double, both ways, so that pairs agree and units cross a wide set in a few steps.
        std::set<int> seen{place};
        for (int d = 1; 2 * d <= width + 1; d *= 2) {
            for (const int at : {(place + d) % width, ((place - d) % width + width) % width}) {
                if (!seen.insert(at).second) continue;
                const PeerId peer{(first + at) % s_.gateways};
                c.neighbours.emplace_back(peer, peers_[peer], c.quota.cap, now);
            }
        }
    }
    c.fine = !all_hear_ && !c.neighbours.empty() && c.quota.cap < kFineShare * largest;
    // The more of the set is out of sight, the more of the burst is left for what others may be granting.
    c.keep = kKeepFree * p.burst * (1.0 - static_cast<double>(c.neighbours.size() + 1) / width);
    return &c;
}

// Units have to pass through gateways that no request of the customer has reached yet.
Gateway::Impl::Customer* Gateway::Impl::introduced(const PeerEntry& entry, PeerId from, TimePoint now) {
    if (const auto it = customers_.find(entry.customer); it != customers_.end()) return &it->second;
    const std::optional<PeerIntroduction>& i = entry.introduction;
    if (!i || static_cast<std::size_t>(i->plan) >= s_.plans.size() || i->first_gateway >= s_.gateways ||
        i->width < 2 || i->width > s_.gateways)
        return nullptr;
    for (const int member : {s_.me, static_cast<int>(from)}) {
        if (place_in_set(member, i->first_gateway) >= i->width) return nullptr;
    }
    return customer_for(now, entry.customer, i->plan, i->first_gateway, i->width);
}

void Gateway::Impl::refill(Customer& c, TimePoint now) {
    // What went beyond the quota took nothing from it: a set's debts below nothing are forgiven over a while.
    if (c.fine && c.quota.level < 0.0) {
        const double owed = -std::min(0.0, set_free(c, now)) / c.width;
        c.quota.level +=
            std::min(owed, -c.quota.level) * std::min(1.0, seconds(now - c.quota.touched) / kForgive);
    }
    c.quota.refill(now);
    c.ceiling.refill(now);
    c.ceiling.level = std::min(c.ceiling.level, ceiling_cap(c, now));
}

// The ledger outside knows the shares, and what was taken of the ceiling: it was told of each send.
void Gateway::Impl::allowed(const Allowance& e, TimePoint now) {
    Customer* c = customer_for(now, e.customer, e.plan_index, e.first_gateway, e.width);
    if (c == nullptr) return;
    refill(*c, now);
    c->plan = e.plan_index;
    c->quota.rate = e.rate;
    c->quota.cap = e.burst;
    c->quota.level = std::min(e.burst, c->quota.level + e.gain);
    c->ceiling = {e.ceiling_level, e.ceiling_burst, e.ceiling_rate, now};
}

bool Gateway::Impl::covered(const Customer& c, double units, TimePoint now) const {
    const PlanSettings& p = plan(c.plan);
    if (p.rate > 0.0 && c.quota.level < units - 1e-9) {
        // A full store passes any request; a small share that reads with others, where those hold enough.
        const bool alone = !c.fine || now - mail_at_ > kAlone;
        if (alone ? c.quota.level < c.quota.cap - 1e-9 : set_free(c, now) < units + c.keep) return false;
    }
    return p.max_out <= 0 || c.in_flight < std::max(1, p.max_out / c.width);
}

// Free units over the whole set of a fine customer, with the neighbours standing for all others.
double Gateway::Impl::set_free(const Customer& c, TimePoint now) const {
    double told = 0.0;
    for (const Neighbour& n : c.neighbours) told += holds(c, n, now);
    return c.quota.level + told / static_cast<double>(c.neighbours.size()) * (c.width - 1);
}

// Units likely here within `horizon` seconds: own refill, and half of what neighbours have more.
double Gateway::Impl::soon(const Customer& c, double horizon) const {
    if (c.fine) return -1.0;    // all of its gateways would see the same refill, and all grant at once
    double units = c.quota.level + c.quota.rate * horizon;
    for (const Neighbour& n : c.neighbours) {
        if (n.told) units += std::max(0.0, *n.told - std::max(0.0, c.quota.level)) / 2.0;
    }
    return units;
}

// For a refusal's advice: another try may reach any gateway of a set whose stores are read together.
Duration Gateway::Impl::refilled_in(const Customer& c, double units, TimePoint now) const {
    if (c.quota.rate <= 0.0) return Duration(0);
    const double missing =
        c.fine ? (units + c.keep - set_free(c, now)) / c.width : units + c.waiting - c.quota.level;
    return from_seconds(std::max(0.0, missing) / c.quota.rate);
}

void Gateway::Impl::expire(TimePoint now) {
    if (now < next_expire_) return;
    next_expire_ = now + 1s;
    std::set<CustomerId> held;    // those held for room too, which the customer does not count
    for (const auto& [turn, r] : held_) held.insert(r->ask.customer);
    for (auto it = customers_.begin(); it != customers_.end();) {
        Customer& c = it->second;
        const bool old = now - c.used >= kIdleCustomer || customers_.size() >= kMostCustomers / 2;
        refill(c, now);
        const bool full = c.quota.level >= c.quota.cap && c.ceiling.level >= c.ceiling.cap && c.lent.empty();
        it = old && full && c.in_flight == 0 && !held.contains(it->first) ? customers_.erase(it)
                                                                          : std::next(it);
    }
}

}    // namespace shaletray::decision
