// The ceiling: a second store that no grant may pass, over all gateways.
// Invariant: over all gateways, levels plus rights under way that can still be taken up never exceed the true
// store. Shares of rate and burst sum to the plan's; what is lent lowers the lender's cap until it is void.
#include "decision/gateway_state.h"

namespace shaletray::decision {

double Gateway::Impl::ceiling_cap(Customer& c, TimePoint now) const {
    std::erase_if(c.lent, [&](const Lent& l) { return l.until <= now; });
    double cap = c.ceiling.cap;
    for (const Lent& l : c.lent) cap -= l.units;
    return std::max(0.0, cap);
}

bool Gateway::Impl::ceiling_allows(const Customer& c, double units) const {
    return plan(c.plan).ceiling_rate <= 0.0 || c.ceiling.level >= units - 1e-9;
}

}    // namespace shaletray::decision
