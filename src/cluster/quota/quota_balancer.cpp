#include "cluster/quota/quota_balancer.h"

#include <algorithm>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/time_units.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepInterval = 4s;        // between two searches for idle buckets
constexpr Duration kBucketIdleTimeout = 5s;    // a full bucket without requests for so long is erased
constexpr Duration kWakeInterval = 10ms;       // between two calls of a tenant's queued requests
// Bounds the memory that buckets take, whatever tenants send.
constexpr std::size_t kMaxBuckets = 50'000;
// Refills add up to a full bucket but for a rounding error.
constexpr double kFullFraction = 1.0 - 1e-6;

}    // namespace

// Nothing refills at first, until the transfers of an earlier incarnation have expired.
QuotaBalancer::Impl::Impl(Settings settings, TimePoint now)
    : settings_(std::move(settings)),
      random_(settings_.seed ^ settings_.incarnation),
      refill_clock_(now + kReservationTime),
      limits_(settings_),
      neighbours_(settings_.self),
      last_sweep_(now) {}

// ---- time and buckets ----

void QuotaBalancer::Impl::advance_to(TimePoint now) {
    refill_clock_.advance(now);
    if (!buckets_cleared_ && refill_clock_.current_time() >= refill_clock_.refill_until()) clear_buckets();
}

void QuotaBalancer::Impl::advance_all_buckets() {
    buckets_.for_each([this](BucketTable::Index, TenantBucket& bucket) { bucket.advance_to(refill_clock_); });
}

void QuotaBalancer::Impl::clear_buckets() {
    limits_.on_buckets_cleared(refill_clock_);
    buckets_cleared_ = true;
    buckets_.for_each([this](BucketTable::Index, TenantBucket& bucket) {
        bucket.advance_to(refill_clock_);
        bucket.clear();
    });
}

// Null where the tenant is unknown or has no limit, or there are too many buckets.
TenantBucket* QuotaBalancer::Impl::find_or_create_bucket(std::uint64_t id) {
    if (TenantBucket* bucket = buckets_.find(id)) {
        bucket->advance_to(refill_clock_);
        return bucket;
    }
    const TenantLimit* const limit = limits_.find(id);
    if (limit == nullptr || !limit->is_limited() || buckets_.size() >= kMaxBuckets) return nullptr;
    TenantBucket& bucket = buckets_.insert(id);
    bucket.rate = limit->rate;
    bucket.full_capacity = limits_.full_capacity(*limit);
    bucket.level = limits_.implied_level(*limit, refill_clock_);
    bucket.refilled_until = refill_clock_.integral();
    bucket.capacity_share = bucket.full_capacity * refill_clock_.share();
    bucket.last_used = refill_clock_.current_time();
    return &bucket;
}

// Notes that the neighbours may have to be told of the bucket, with the next routine messages.
void QuotaBalancer::Impl::queue_update(TenantBucket& bucket) {
    if (bucket.update_pending || neighbours_.empty()) return;
    bucket.update_pending = true;
    pending_updates_.push_back(buckets_.index_of(bucket));
    if (next_routine_send_ != TimePoint::max()) return;
    TimePoint first_send = TimePoint::max();
    for (const Neighbour& neighbour : neighbours_)
        first_send = std::min(first_send, neighbour.last_sent + settings_.message_interval);
    next_routine_send_ = std::max(refill_clock_.current_time(), first_send);
}

void QuotaBalancer::Impl::erase_idle_buckets(TimePoint now) {
    last_sweep_ = now;
    std::vector<BucketTable::Index> idle_buckets;
    buckets_.for_each([&](BucketTable::Index index, TenantBucket& bucket) {
        if (bucket.update_pending || bucket.queued > 0 || now < bucket.last_used + kBucketIdleTimeout) return;
        bucket.advance_to(refill_clock_);
        const bool full = bucket.level >= bucket.capacity_share * kFullFraction;
        if (full && bucket.reserved_units() <= 0.0) idle_buckets.push_back(index);
    });
    for (const BucketTable::Index index : idle_buckets) buckets_.erase(index);
}

// ---- configuration and peers ----

void QuotaBalancer::Impl::set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now) {
    advance_to(now);
    limits_.replace(quotas_by_tenant, refill_clock_);
    apply_limits_to_buckets();
}

void QuotaBalancer::Impl::apply_limits_to_buckets() {
    std::vector<BucketTable::Index> removed_buckets;
    buckets_.for_each([&](BucketTable::Index index, TenantBucket& bucket) {
        bucket.advance_to(refill_clock_);
        const TenantLimit* const limit = limits_.find(bucket.id);
        if (limit == nullptr || !limit->is_limited()) {
            removed_buckets.push_back(index);
            return;
        }
        const double capacity = limits_.full_capacity(*limit);
        if (bucket.rate == limit->rate && bucket.full_capacity == capacity) return;
        bucket.rate = limit->rate;
        bucket.full_capacity = capacity;
        bucket.advance_to(refill_clock_);
        queue_update(bucket);
    });
    for (const BucketTable::Index index : removed_buckets) {
        // Queued requests try again and find no limit. The lists hold indices, so they are cleaned first.
        std::erase(pending_updates_, index);
        std::erase(queued_buckets_, index);
        buckets_.erase(index);
    }
}

void QuotaBalancer::Impl::set_peers(PeerSet peer_set, TimePoint now) {
    advance_to(now);
    update_share(peer_set.divisor, peer_set.refill_until, now);
    const auto previous_indices = neighbours_.set_ring(std::move(peer_set.ring), now);
    if (previous_indices) move_neighbour_states(*previous_indices);
}

void QuotaBalancer::Impl::update_share(std::uint32_t divisor, TimePoint refill_until, TimePoint now) {
    const double old_share = refill_clock_.share();
    const bool share_changes = divisor > 0 && old_share > 0.0 && 1.0 / divisor != old_share;
    if (share_changes) advance_all_buckets();
    if (share_changes && 1.0 / divisor > old_share) limits_.on_share_increase(old_share, refill_clock_);
    refill_clock_.set_divisor(divisor, refill_until, now);
    if (refill_clock_.is_running(now)) buckets_cleared_ = false;
    if (share_changes) advance_all_buckets();
}

// What each bucket knows of the neighbours follows them to their new indices.
void QuotaBalancer::Impl::move_neighbour_states(const Neighbours::IndexMapping& previous_indices) {
    buckets_.for_each([&](BucketTable::Index, TenantBucket& bucket) {
        const auto old_states = bucket.neighbours;
        bucket.neighbours = {};
        for (std::size_t index = 0; index < previous_indices.size(); ++index) {
            if (previous_indices[index]) bucket.neighbours[index] = old_states[*previous_indices[index]];
        }
        queue_update(bucket);
    });
}

// ---- timing ----

void QuotaBalancer::Impl::tick(TimePoint now, Actions& actions) {
    advance_to(now);
    plan_immediately_ = false;
    for (const BucketTable::Index index : queued_buckets_) {
        TenantBucket& bucket = buckets_[index];
        bucket.advance_to(refill_clock_);
        wake_queued(bucket, now, actions);
        plan_requests(bucket, now);
    }
    send_urgent(now, actions);
    if (now >= next_routine_send_) send_routine(now, actions);
    if (now >= last_sweep_ + kSweepInterval) erase_idle_buckets(now);
}

void QuotaBalancer::Impl::wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions) {
    if (bucket.queued <= 0 || bucket.name.empty() || !bucket.has_unit()) return;
    if (now < bucket.last_wakeup + kWakeInterval || !refill_clock_.is_running(now)) return;
    bucket.last_wakeup = now;
    actions.replenished_tenants.push_back(bucket.name);
}

// When the queued requests of a bucket are next looked at.
TimePoint QuotaBalancer::Impl::queue_deadline(const TenantBucket& bucket) const {
    const TimePoint now = refill_clock_.current_time();
    const double rate = refill_rate(bucket, refill_clock_);
    if (rate <= 0.0 || !refill_clock_.is_running(now)) return bucket.next_plan;
    const Duration until_unit = to_duration(std::max(0.0, 1.0 - bucket.total_units()) / rate);
    const TimePoint wakeup = std::max(bucket.last_wakeup + kWakeInterval, now + until_unit);
    return std::min(wakeup, bucket.next_plan);
}

TimePoint QuotaBalancer::Impl::next_deadline() const {
    if (plan_immediately_) return refill_clock_.current_time();
    TimePoint deadline = next_routine_send_;
    for (const Neighbour& neighbour : neighbours_) {
        if (neighbour.urgent) deadline = std::min(deadline, neighbour.last_sent + settings_.urgent_interval);
    }
    for (const BucketTable::Index index : queued_buckets_)
        deadline = std::min(deadline, queue_deadline(buckets_[index]));
    if (buckets_.size() > 0) deadline = std::min(deadline, last_sweep_ + kSweepInterval);
    return deadline;
}

// ---- observation ----

// Works on copies, since looking changes nothing.
double QuotaBalancer::Impl::available_units(const std::string& tenant, TimePoint now) const {
    RefillClock clock = refill_clock_;
    clock.advance(now);
    if (now >= clock.refill_until()) return 0.0;
    const std::uint64_t id = tenant_id(tenant);
    if (const auto index = buckets_.index_of(id)) {
        TenantBucket bucket = buckets_[*index];
        bucket.advance_to(clock);
        return bucket.total_units();
    }
    const TenantLimit* const limit = limits_.find(id);
    return limit == nullptr ? 0.0 : limits_.implied_level(*limit, clock);
}

std::map<std::string, double> QuotaBalancer::Impl::available_units_by_tenant(TimePoint now) const {
    std::map<std::string, double> units_by_tenant;
    buckets_.for_each([&](BucketTable::Index, const TenantBucket& bucket) {
        if (!bucket.name.empty()) units_by_tenant[bucket.name] = available_units(bucket.name, now);
    });
    return units_by_tenant;
}

Statistics QuotaBalancer::Impl::statistics() const {
    Statistics result = statistics_;
    result.buckets = buckets_.size();
    return result;
}

// ---- the public class ----

QuotaBalancer::QuotaBalancer(Settings settings, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
QuotaBalancer::QuotaBalancer(const QuotaBalancer& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
QuotaBalancer::QuotaBalancer(QuotaBalancer&&) noexcept = default;
QuotaBalancer& QuotaBalancer::operator=(QuotaBalancer&&) noexcept = default;
QuotaBalancer::~QuotaBalancer() = default;
void QuotaBalancer::set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now) {
    impl_->set_quotas(quotas_by_tenant, now);
}
void QuotaBalancer::set_peers(PeerSet peer_set, TimePoint now) { impl_->set_peers(std::move(peer_set), now); }
AdmissionDecision QuotaBalancer::request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                              Duration& retry_after) {
    return impl_->request_unit(tenant, max_wait, now, retry_after);
}
void QuotaBalancer::adjust_queued(const std::string& tenant, int change) {
    impl_->adjust_queued(tenant, change);
}
void QuotaBalancer::return_unit(const std::string& tenant, TimePoint now) { impl_->return_unit(tenant, now); }
void QuotaBalancer::on_message(const std::string& from, std::string_view bytes, TimePoint now,
                               Actions& actions) {
    impl_->on_message(from, bytes, now, actions);
}
void QuotaBalancer::tick(TimePoint now, Actions& actions) { impl_->tick(now, actions); }
TimePoint QuotaBalancer::next_deadline() const { return impl_->next_deadline(); }
double QuotaBalancer::available_units(const std::string& tenant, TimePoint now) const {
    return impl_->available_units(tenant, now);
}
std::map<std::string, double> QuotaBalancer::available_units_by_tenant(TimePoint now) const {
    return impl_->available_units_by_tenant(now);
}
Statistics QuotaBalancer::statistics() const { return impl_->statistics(); }

}    // namespace shaletray::quota
