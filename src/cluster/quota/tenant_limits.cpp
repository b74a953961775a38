#include "cluster/quota/tenant_limits.h"

#include <algorithm>

#include "cluster/quota/message.h"
#include "cluster/quota/time_units.h"

namespace shaletray::quota {
namespace {

// Bounds the memory that removed tenants take: 8 bytes each.
constexpr std::size_t kMaxRemovedTenants = 65'536;

std::vector<TenantLimit> limits_by_id(const std::map<std::string, Quota>& quotas_by_tenant) {
    std::vector<TenantLimit> limits;
    limits.reserve(quotas_by_tenant.size());
    for (const auto& [name, quota] : quotas_by_tenant) {
        const auto rate = static_cast<float>(std::max(0.0, quota.rate));
        const auto burst = static_cast<float>(std::max(0.0, quota.burst));
        limits.push_back({tenant_id(name), rate, burst, 0.0});
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

double TenantLimits::implied_level(const TenantLimit& limit, const RefillClock& clock) const {
    const double capacity = full_capacity(limit);
    double level = limit.rate * (clock.integral() - std::max(empty_integral_, limit.base_integral));
    if (smallest_old_share_ > 0.0) {
        const double refilled_since = limit.rate * (clock.integral() - share_increase_integral_);
        level = std::min(level, capacity * smallest_old_share_ + refilled_since);
    }
    return std::clamp(level, 0.0, capacity * clock.share());
}

const TenantLimit* TenantLimits::find(std::uint64_t id) const {
    const auto found =
        std::lower_bound(limits_.begin(), limits_.end(), id,
                         [](const TenantLimit& limit, std::uint64_t value) { return limit.id < value; });
    return found != limits_.end() && found->id == id ? &*found : nullptr;
}

void TenantLimits::mark_removed(std::uint64_t id, const RefillClock& clock) {
    if (removed_tenants_.size() < kMaxRemovedTenants) {
        removed_tenants_.insert(id);
    } else {
        overflow_base_integral_ = clock.integral();
    }
}

double TenantLimits::base_integral_of(const TenantLimit& limit, const TenantLimit* previous,
                                      const RefillClock& clock) const {
    if (previous == nullptr || !previous->is_limited())
        return removed_tenants_.contains(limit.id) ? clock.integral() : overflow_base_integral_;
    if (previous->rate == limit.rate && previous->burst == limit.burst) return previous->base_integral;
    // It keeps what it had, as far as that is still allowed.
    const double level = std::min(implied_level(*previous, clock), full_capacity(limit) * clock.share());
    return clock.integral() - level / limit.rate;
}

void TenantLimits::replace(const std::map<std::string, Quota>& quotas_by_tenant, const RefillClock& clock) {
    std::vector<TenantLimit> new_limits = limits_by_id(quotas_by_tenant);
    auto old_limit = limits_.begin();
    for (TenantLimit& limit : new_limits) {
        for (; old_limit != limits_.end() && old_limit->id < limit.id; ++old_limit)
            mark_removed(old_limit->id, clock);
        const bool existed = old_limit != limits_.end() && old_limit->id == limit.id;
        if (limit.is_limited()) {
            limit.base_integral = base_integral_of(limit, existed ? &*old_limit : nullptr, clock);
        } else {
            mark_removed(limit.id, clock);
        }
        if (existed) ++old_limit;
    }
    for (; old_limit != limits_.end(); ++old_limit) mark_removed(old_limit->id, clock);
    limits_ = std::move(new_limits);
}

void TenantLimits::on_share_increase(double old_share, const RefillClock& clock) {
    smallest_old_share_ = smallest_old_share_ > 0.0 ? std::min(smallest_old_share_, old_share) : old_share;
    share_increase_integral_ = clock.integral();
}

}    // namespace shaletray::quota
