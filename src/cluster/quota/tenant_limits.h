// The configured quotas of all tenants, and the units that a tenant without a bucket would hold. Pure.
#pragma once

#include <array>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/quota/gateway_sets.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/quota/refill_clocks.h"

namespace shaletray::quota {

// One tenant's quota. There is one for each configured tenant, so it has to be small.
struct TenantLimit {
    std::uint64_t id = 0;    // tenant_id() of the name
    float rate = 0.0F;       // units per second; 0: no limit
    float burst = 0.0F;
    // The integral of its set's RefillClock at which its bucket would have been empty; 0: at the start of the
    // incarnation. Above the current integral where a new member of the set has to wait.
    double base_integral = 0.0;
    SetSizeClass set_size_class = 0;
    bool in_set = false;    // this gateway is in the tenant's set

    bool is_limited() const { return rate > 0.0F; }
};

// Most tenants send no requests to most gateways, so a bucket is created only when it is needed. This class
// computes the level that the bucket would have if it had always existed. Not thread-safe.
class TenantLimits {
public:
    explicit TenantLimits(const Settings& settings)
        : window_(settings.window), overshoot_(settings.overshoot), slack_(settings.slack) {}

    // Replaces the configuration. A new tenant has the units that its bucket would hold if it had existed
    // since the start of the incarnation. A tenant that was removed before, or had no limit, starts with
    // nothing. Where a set grows, its new members wait for kSetGrowthDelay before they refill.
    void replace(const std::map<std::string, Quota>& quotas_by_tenant, const GatewaySets& sets,
                 const RefillClocks& clocks);
    // Applies a change of the gateways. Where this gateway joins a set, it starts with no units.
    void on_gateways_changed(const GatewaySets& sets, const RefillClocks& clocks);
    // Returns null where the tenant is not configured.
    const TenantLimit* find(std::uint64_t id) const;
    // Returns the units that all gateways together may hold for the tenant: its burst and half of the
    // permitted overshoot (B in tenant_bucket.h).
    double full_capacity(const TenantLimit& limit) const;
    // Returns the level that the tenant's bucket would have if it had always existed.
    double implied_level(const TenantLimit& limit, const RefillClocks& clocks) const;

    // Has to be called when all buckets are emptied, at the clocks' current time.
    void on_buckets_cleared(const RefillClocks& clocks);
    // Has to be called when the share of this size class grows from `old_share`, at the clocks' current time.
    // From then on buckets refill to a higher level.
    void on_share_increase(SetSizeClass size_class, double old_share, const RefillClocks& clocks);

private:
    // Events that affect all tenants with sets of one size class, as values of the integral of its clock.
    struct History {
        double emptied_at = 0.0;            // when all buckets were last emptied
        double share_increased_at = 0.0;    // when the share last grew
        double smallest_old_share = 0.0;    // smallest share before any growth; 0: the share never grew
        // When removed_tenants_ was last full. A removed tenant may be missing in it since, so a new tenant
        // holds at most the units refilled since then.
        double removed_overflow_at = 0.0;
    };
    void mark_removed(std::uint64_t id, const RefillClocks& clocks);
    double base_integral_of(const TenantLimit& limit, const TenantLimit* previous,
                            const RefillClocks& clocks) const;

    Duration window_;
    double overshoot_;
    double slack_;
    std::vector<TenantLimit> limits_;    // sorted by id
    // Tenants that were removed or had no limit in this incarnation.
    boost::unordered_flat_set<std::uint64_t> removed_tenants_;
    std::array<History, kMaxSetSizeClass + 1> histories_{};
};

}    // namespace shaletray::quota
