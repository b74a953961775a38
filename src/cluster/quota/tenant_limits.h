// The configured quotas of all tenants, and what a tenant without a bucket would hold. Pure.
#pragma once

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/quota/quota_balancer.h"
#include "cluster/quota/refill_clock.h"

namespace shaletray::quota {

// One tenant's quota. Kept for all tenants, so it is small.
struct TenantLimit {
    std::uint64_t id = 0;    // tenant_id() of the name
    float rate = 0.0F;       // units per second; 0: no limit
    float burst = 0.0F;
    // The RefillClock's integral at which its bucket would have been empty; 0: when the incarnation started.
    double base_integral = 0.0;

    bool is_limited() const { return rate > 0.0F; }
};

// Most tenants send nothing to most gateways, so that a bucket is made only when one is needed. This class
// computes the level that the bucket would have if it had always existed.
class TenantLimits {
public:
    explicit TenantLimits(const Settings& settings)
        : window_(settings.window), overshoot_(settings.overshoot), slack_(settings.slack) {}

    // A new configuration. A tenant that is new has as much as its bucket would have had since the start; one
    // that was removed before or had no limit starts with nothing.
    void replace(const std::map<std::string, Quota>& quotas_by_tenant, const RefillClock& clock);
    // Null where the tenant isn't configured.
    const TenantLimit* find(std::uint64_t id) const;
    // Units that all gateways together may hold for the tenant: its burst and half of the permitted overshoot
    // (B of tenant_bucket.h).
    double full_capacity(const TenantLimit& limit) const;
    // The level of the tenant's bucket if it had always existed.
    double implied_level(const TenantLimit& limit, const RefillClock& clock) const;

    // All buckets were emptied at the clock's current time.
    void on_buckets_cleared(const RefillClock& clock) { empty_integral_ = clock.integral(); }
    // This gateway's share grows from `old_share` at the clock's current time: buckets refill to more from
    // there.
    void on_share_increase(double old_share, const RefillClock& clock);

private:
    void mark_removed(std::uint64_t id, const RefillClock& clock);
    double base_integral_of(const TenantLimit& limit, const TenantLimit* previous,
                            const RefillClock& clock) const;

    Duration window_;
    double overshoot_;
    double slack_;
    std::vector<TenantLimit> limits_;    // sorted by id
    // Tenants that were removed in this incarnation, or had no limit.
    boost::unordered_flat_set<std::uint64_t> removed_tenants_;
    // The integral when that set last had no room: no new tenant has more than what it refilled since.
    double overflow_base_integral_ = 0.0;
    double empty_integral_ = 0.0;             // when all buckets were last empty
    double share_increase_integral_ = 0.0;    // when the share last grew
    double smallest_old_share_ = 0.0;         // the smallest share before any growth; 0: it never grew
};

}    // namespace shaletray::quota
