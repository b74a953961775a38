// The hard limit: a second token bucket per customer that no grant may exceed, over all gateways.
#include "decision/gateway_state.h"

namespace shaletray::decision {

double Gateway::Impl::hard_limit_burst(Customer& customer, TimePoint now) const {
    std::erase_if(customer.transfers, [&](const PendingTransfer& sent) { return sent.expires_at <= now; });
    double capacity = customer.hard_limit.burst;
    for (const PendingTransfer& transfer : customer.transfers) capacity -= transfer.units;
    return std::max(0.0, capacity);
}

bool Gateway::Impl::hard_limit_allows(const Customer& customer, double units) const {
    return plan_at(customer.plan).ceiling_rate <= 0.0 || customer.hard_limit.level >= units - 1e-9;
}

}    // namespace shaletray::decision
