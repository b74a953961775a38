// Helpers shared by the tests of the balancer.
#pragma once

#include <string>

#include "cluster/quota/balancer_world.h"

namespace shaletray::quota::world {

// Returns the bound on grants in a window that tenant_bucket.h derives: the quota and half of the permitted
// overshoot.
inline double bound_with_half_overshoot(const Quota& tenant_quota) {
    const double quota = tenant_quota.rate * 5.0 + tenant_quota.burst;
    return quota + 0.5 * (quota * 0.1 + 20.0);
}

// Returns a tenant whose clients reach some gateways up to five times as often as others.
inline Tenant make_tenant(World& world, const std::string& name, Quota quota) {
    Tenant result{name, quota, {}};
    for (std::size_t index = 0; index < world.gateways.size(); ++index)
        result.weight.push_back(1.0 + 4.0 * world.chance());
    return result;
}

}    // namespace shaletray::quota::world
