// Quota token buckets: what this gateway may grant a customer, and when more units arrive.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kPooledLimit = 2.0;           // largest requests; buckets with smaller shares are pooled
constexpr double kReserve = 0.5;               // of the burst, for grants of other gateways meanwhile
constexpr double kForgivenessSeconds = 3.0;    // for debts of a whole set
constexpr std::size_t kMaxCustomers = 50000;
constexpr Duration kIdleTime = 60s;

Gateway::Impl::Customer* Gateway::Impl::customer_for(TimePoint now, CustomerId id, int plan_index,
                                                     int first_gateway, int set_width) {
    if (const auto it = customers_.find(id); it != customers_.end()) return &it->second;
    if (customers_.size() >= kMaxCustomers) return nullptr;
    Customer& customer = customers_[id];
    const PlanSettings& plan = plan_at(plan_index);
    const int width = std::clamp(set_width, 1, settings_.gateways);
    const int position = position_in_set(settings_.me, first_gateway);
    customer.plan = plan_index;
    customer.first_gateway = first_gateway;
    customer.width = width;
    customer.quota = {plan.burst / width, plan.burst / width, plan.rate / width, now};
    const double largest = std::max(1.0, settings_.most_units);
    const int holder_count = std::clamp(static_cast<int>(plan.ceiling_burst / largest), 1, width);
    if (position < holder_count) {    // an earlier process may have spent it: refills from zero
        customer.hard_limit = {0.0, plan.ceiling_burst / holder_count, plan.ceiling_rate / holder_count, now};
        customer.hard_limit.level =
            std::min(customer.hard_limit.burst, customer.hard_limit.rate * seconds(now - started_at_));
    }
    if (position < width && settings_.may_tell) {
        std::set<int> used_positions{position};
        for (int distance = 1; 2 * distance <= width + 1; distance *= 2) {
            for (const int other_position :
                 {(position + distance) % width, ((position - distance) % width + width) % width}) {
                if (!used_positions.insert(other_position).second) continue;
                const PeerId peer{(first_gateway + other_position) % settings_.gateways};
                customer.links.emplace_back(peer, peers_[peer], customer.quota.burst, now);
            }
        }
    }
    customer.pooled = !full_mesh_ && !customer.links.empty() && customer.quota.burst < kPooledLimit * largest;
    customer.reserve = kReserve * plan.burst * (1.0 - static_cast<double>(customer.links.size() + 1) / width);
    return &customer;
}

Gateway::Impl::Customer* Gateway::Impl::customer_from(const PeerEntry& entry, PeerId from, TimePoint now) {
    if (const auto it = customers_.find(entry.customer); it != customers_.end()) return &it->second;
    const std::optional<PeerIntroduction>& intro = entry.introduction;
    if (!intro || static_cast<std::size_t>(intro->plan) >= settings_.plans.size() ||
        intro->first_gateway >= settings_.gateways || intro->width < 2 || intro->width > settings_.gateways)
        return nullptr;
    for (const int member : {settings_.me, static_cast<int>(from)}) {
        if (position_in_set(member, intro->first_gateway) >= intro->width) return nullptr;
    }
    return customer_for(now, entry.customer, intro->plan, intro->first_gateway, intro->width);
}

void Gateway::Impl::refill(Customer& customer, TimePoint now) {
    if (customer.pooled && customer.quota.level < 0.0) {
        const double debt = -std::min(0.0, free_in_set(customer, now)) / customer.width;
        customer.quota.level +=
            std::min(debt, -customer.quota.level) *
            std::min(1.0, seconds(now - customer.quota.refilled_at) / kForgivenessSeconds);
    }
    customer.quota.refill(now);
    customer.hard_limit.refill(now);
    customer.hard_limit.level = std::min(customer.hard_limit.level, hard_limit_burst(customer, now));
}

void Gateway::Impl::on_allowance(const Allowance& allowance, TimePoint now) {
    Customer* customer =
        customer_for(now, allowance.customer, allowance.plan_index, allowance.first_gateway, allowance.width);
    if (customer == nullptr) return;
    refill(*customer, now);
    customer->plan = allowance.plan_index;
    customer->quota.rate = allowance.rate;
    customer->quota.burst = allowance.burst;
    customer->quota.level = std::min(allowance.burst, customer->quota.level + allowance.gain);
    customer->hard_limit = {allowance.ceiling_level, allowance.ceiling_burst, allowance.ceiling_rate, now};
}

bool Gateway::Impl::quota_allows(const Customer& customer, double units, TimePoint now) const {
    const PlanSettings& plan = plan_at(customer.plan);
    if (plan.rate > 0.0 && customer.quota.level < units - 1e-9) {
        const bool alone = !customer.pooled || now - last_peer_message_at_ > kIsolatedAfter;
        if (alone ? customer.quota.level < customer.quota.burst - 1e-9
                  : free_in_set(customer, now) < units + customer.reserve)
            return false;
    }
    return plan.max_out <= 0 || customer.in_flight < std::max(1, plan.max_out / customer.width);
}

double Gateway::Impl::free_in_set(const Customer& customer, TimePoint now) const {
    double units = 0.0;
    for (const Link& link : customer.links) units += estimated_level(customer, link, now);
    return customer.quota.level + units / static_cast<double>(customer.links.size()) * (customer.width - 1);
}

double Gateway::Impl::expected_units(const Customer& customer, double horizon) const {
    if (customer.pooled) return -1.0;    // all gateways of the set would grant the same refill
    double units = customer.quota.level + customer.quota.rate * horizon;
    for (const Link& link : customer.links) {
        if (link.reported) units += std::max(0.0, *link.reported - std::max(0.0, customer.quota.level)) / 2.0;
    }
    return units;
}

Duration Gateway::Impl::refill_time(const Customer& customer, double units, TimePoint now) const {
    if (customer.quota.rate <= 0.0) return Duration(0);
    const double missing = customer.pooled
                               ? (units + customer.reserve - free_in_set(customer, now)) / customer.width
                               : units + customer.backlog - customer.quota.level;
    return from_seconds(std::max(0.0, missing) / customer.quota.rate);
}

void Gateway::Impl::expire_customers(TimePoint now) {
    if (now < next_expiry_at_) return;
    next_expiry_at_ = now + 1s;
    std::set<CustomerId> queued;    // also for capacity, unlike Customer::queue
    for (const auto& [position, request] : queued_) queued.insert(request->arrival.customer);
    for (auto it = customers_.begin(); it != customers_.end();) {
        Customer& customer = it->second;
        const bool idle = now - customer.last_used >= kIdleTime || customers_.size() >= kMaxCustomers / 2;
        refill(customer, now);
        const bool full = customer.quota.level >= customer.quota.burst &&
                          customer.hard_limit.level >= customer.hard_limit.burst &&
                          customer.transfers.empty();
        it = idle && full && customer.in_flight == 0 && !queued.contains(it->first) ? customers_.erase(it)
                                                                                    : std::next(it);
    }
}

}    // namespace shaletray::decision
