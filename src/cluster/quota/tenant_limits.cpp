#include "cluster/quota/tenant_limits.h"

#include <algorithm>

#include "cluster/quota/message.h"
#include "cluster/quota/time_units.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// Bounds the memory used for removed tenants, 8 bytes each.
constexpr std::size_t kMaxRemovedTenants = 65'536;
// How long new members of a set that has grown wait until they refill. The other members may still use the
// previous configuration, by which they hold larger shares, at the latest until their lease on the quotas
// expires.
constexpr Duration kSetGrowthDelay = 10s;

std::vector<TenantLimit> limits_by_id(const std::map<std::string, Quota>& quotas_by_tenant) {
    std::vector<TenantLimit> limits;
    limits.reserve(quotas_by_tenant.size());
    for (const auto& [name, quota] : quotas_by_tenant) {
        const auto rate = static_cast<float>(std::max(0.0, quota.rate));
        const auto burst = static_cast<float>(std::max(0.0, quota.burst));
        limits.push_back({.id = tenant_id(name), .rate = rate, .burst = burst});
    }
    std::sort(limits.begin(), limits.end(),
              [](const TenantLimit& a, const TenantLimit& b) { return a.id < b.id; });
    return limits;
}

}    // namespace

double TenantLimits::full_capacity(const TenantLimit& limit) const {
    const double rate = limit.rate;
    const double burst = limit.burst;
    return burst + 0.5 * ((rate * seconds(window_) + burst) * overshoot_ + slack_);
}

double TenantLimits::implied_level(const TenantLimit& limit, const RefillClocks& clocks) const {
    if (!limit.in_set) return 0.0;
    const RefillClock& clock = clocks[limit.set_size_class];
    const History& history = histories_[limit.set_size_class];
    const double capacity = full_capacity(limit);
    double level = limit.rate * (clock.integral() - std::max(history.emptied_at, limit.base_integral));
    if (history.smallest_old_share > 0.0) {
        const double refilled_since = limit.rate * (clock.integral() - history.share_increased_at);
        level = std::min(level, capacity * history.smallest_old_share + refilled_since);
    }
    return std::clamp(level, 0.0, capacity * clock.share());
}

const TenantLimit* TenantLimits::find(std::uint64_t id) const {
    const auto found =
        std::lower_bound(limits_.begin(), limits_.end(), id,
                         [](const TenantLimit& limit, std::uint64_t value) { return limit.id < value; });
    return found != limits_.end() && found->id == id ? &*found : nullptr;
}

void TenantLimits::mark_removed(std::uint64_t id, const RefillClocks& clocks) {
    if (removed_tenants_.size() < kMaxRemovedTenants) {
        removed_tenants_.insert(id);
        return;
    }
    for (std::size_t i = 0; i < histories_.size(); ++i)
        histories_[i].removed_overflow_at = clocks[static_cast<SetSizeClass>(i)].integral();
}

double TenantLimits::base_integral_of(const TenantLimit& limit, const TenantLimit* previous,
                                      const RefillClocks& clocks) const {
    const RefillClock& clock = clocks[limit.set_size_class];
    if (previous == nullptr || !previous->is_limited()) {
        return removed_tenants_.contains(limit.id) ? clock.integral()
                                                   : histories_[limit.set_size_class].removed_overflow_at;
    }
    if (previous->rate == limit.rate && previous->burst == limit.burst) return previous->base_integral;
    if (limit.in_set && !previous->in_set) return clock.integral() + clock.share() * seconds(kSetGrowthDelay);
    // The tenant keeps its implied level, as far as the new limit allows.
    const double level = std::min(implied_level(*previous, clocks), full_capacity(limit) * clock.share());
    return clock.integral() - level / limit.rate;
}

void TenantLimits::replace(const std::map<std::string, Quota>& quotas_by_tenant, const GatewaySets& sets,
                           const RefillClocks& clocks) {
    std::vector<TenantLimit> new_limits = limits_by_id(quotas_by_tenant);
    auto old_limit = limits_.begin();
    for (TenantLimit& limit : new_limits) {
        for (; old_limit != limits_.end() && old_limit->id < limit.id; ++old_limit)
            mark_removed(old_limit->id, clocks);
        const bool existed = old_limit != limits_.end() && old_limit->id == limit.id;
        if (limit.is_limited()) {
            limit.set_size_class = set_size_class(full_capacity(limit));
            limit.in_set = sets.is_member(limit.id, limit.set_size_class);
            limit.base_integral = base_integral_of(limit, existed ? &*old_limit : nullptr, clocks);
        } else {
            mark_removed(limit.id, clocks);
        }
        if (existed) ++old_limit;
    }
    for (; old_limit != limits_.end(); ++old_limit) mark_removed(old_limit->id, clocks);
    limits_ = std::move(new_limits);
}

void TenantLimits::on_gateways_changed(const GatewaySets& sets, const RefillClocks& clocks) {
    for (TenantLimit& limit : limits_) {
        if (!limit.is_limited()) continue;
        const bool was_in_set = limit.in_set;
        limit.in_set = sets.is_member(limit.id, limit.set_size_class);
        const double integral = clocks[limit.set_size_class].integral();
        if (limit.in_set && !was_in_set) limit.base_integral = std::max(limit.base_integral, integral);
    }
}

void TenantLimits::on_buckets_cleared(const RefillClocks& clocks) {
    for (std::size_t i = 0; i < histories_.size(); ++i)
        histories_[i].emptied_at = clocks[static_cast<SetSizeClass>(i)].integral();
}

void TenantLimits::on_share_increase(SetSizeClass size_class, double old_share, const RefillClocks& clocks) {
    History& history = histories_[size_class];
    history.smallest_old_share =
        history.smallest_old_share > 0.0 ? std::min(history.smallest_old_share, old_share) : old_share;
    history.share_increased_at = clocks[size_class].integral();
}

}    // namespace shaletray::quota
