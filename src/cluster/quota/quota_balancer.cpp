#include "cluster/quota/quota_balancer.h"

#include <algorithm>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/time_units.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepInterval = 4s;        // between two sweeps for idle buckets
constexpr Duration kBucketIdleTimeout = 5s;    // after which a full bucket without requests is erased
constexpr Duration kWakeInterval = 10ms;       // between two wakeups of a tenant's queued requests
// Bounds the memory used by buckets, whatever requests tenants send.
constexpr std::size_t kMaxBuckets = 50'000;
// A bucket counts as full from this fraction on, as refills accumulate rounding errors.
constexpr double kFullFraction = 1.0 - 1e-6;

}    // namespace

// Nothing refills at first, until the transfers of an earlier incarnation have expired.
QuotaBalancer::Impl::Impl(Settings settings, TimePoint now)
    : settings_(std::move(settings)),
      random_(settings_.seed ^ settings_.incarnation),
      refill_clocks_(now + kReservationTime),
      limits_(settings_),
      sets_(settings_.self),
      last_sweep_(now) {}

// ---- time and buckets ----

void QuotaBalancer::Impl::advance_to(TimePoint now) {
    refill_clocks_.advance(now);
    if (!buckets_cleared_ && refill_clocks_.current_time() >= refill_clocks_.refill_until()) clear_buckets();
}

void QuotaBalancer::Impl::advance_all_buckets() {
    buckets_.for_each([this](BucketTable::Index, TenantBucket& bucket) { advance_bucket(bucket); });
}

void QuotaBalancer::Impl::clear_buckets() {
    limits_.on_buckets_cleared(refill_clocks_);
    buckets_cleared_ = true;
    buckets_.for_each([this](BucketTable::Index, TenantBucket& bucket) {
        advance_bucket(bucket);
        bucket.clear();
    });
}

// Returns null where the tenant is unknown or has no limit, or the maximum number of buckets is reached.
TenantBucket* QuotaBalancer::Impl::find_or_create_bucket(std::uint64_t id) {
    if (TenantBucket* bucket = buckets_.find(id)) {
        advance_bucket(*bucket);
        return bucket;
    }
    const TenantLimit* const limit = limits_.find(id);
    if (limit == nullptr || !limit->is_limited() || buckets_.size() >= kMaxBuckets) return nullptr;
    TenantBucket& bucket = buckets_.insert(id);
    bucket.rate = limit->rate;
    bucket.full_capacity = limits_.full_capacity(*limit);
    bucket.set_size_class = limit->set_size_class;
    bucket.in_set = limit->in_set;
    bucket.level = limits_.implied_level(*limit, refill_clocks_);
    bucket.refilled_until = std::max(clock_of(bucket).integral(), limit->base_integral);
    bucket.last_used = refill_clocks_.current_time();
    advance_bucket(bucket);
    select_neighbours(bucket);
    return &bucket;
}

// Schedules a check whether the bucket has to be announced to its neighbours with the next routine messages.
void QuotaBalancer::Impl::queue_update(TenantBucket& bucket) {
    if (bucket.update_pending || bucket.neighbour_count == 0) return;
    bucket.update_pending = true;
    pending_updates_.push_back(buckets_.index_of(bucket));
    if (next_routine_send_ == TimePoint::max())
        next_routine_send_ =
            std::max(refill_clocks_.current_time(), last_routine_send_ + settings_.message_interval);
}

void QuotaBalancer::Impl::erase_idle_buckets(TimePoint now) {
    last_sweep_ = now;
    std::vector<BucketTable::Index> idle_buckets;
    buckets_.for_each([&](BucketTable::Index index, TenantBucket& bucket) {
        if (bucket.update_pending || bucket.queued > 0 || now < bucket.last_used + kBucketIdleTimeout) return;
        advance_bucket(bucket);
        const bool full = bucket.level >= bucket.capacity_share * kFullFraction;
        if (full && bucket.reserved_units() <= 0.0) idle_buckets.push_back(index);
    });
    for (const BucketTable::Index index : idle_buckets) buckets_.erase(index);
}

// ---- configuration and peers ----

void QuotaBalancer::Impl::set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now) {
    advance_to(now);
    advance_all_buckets();
    limits_.replace(quotas_by_tenant, sets_, refill_clocks_);
    apply_limits_to_buckets();
}

void QuotaBalancer::Impl::apply_limits_to_buckets() {
    std::vector<BucketTable::Index> removed_buckets;
    buckets_.for_each([&](BucketTable::Index index, TenantBucket& bucket) {
        const TenantLimit* const limit = limits_.find(bucket.id);
        if (limit == nullptr || !limit->is_limited()) {
            removed_buckets.push_back(index);
            return;
        }
        const double capacity = limits_.full_capacity(*limit);
        if (bucket.rate == limit->rate && bucket.full_capacity == capacity) return;
        bucket.rate = limit->rate;
        bucket.full_capacity = capacity;
        if (bucket.set_size_class != limit->set_size_class) {
            bucket.set_size_class = limit->set_size_class;
            bucket.refilled_until = clock_of(bucket).integral();
        }
        apply_set_to_bucket(bucket, *limit);
        advance_bucket(bucket);
        queue_update(bucket);
    });
    for (const BucketTable::Index index : removed_buckets) {
        // Queued requests are retried and find no limit. The lists hold indices, so they are updated first.
        std::erase(pending_updates_, index);
        std::erase(queued_buckets_, index);
        buckets_.erase(index);
    }
}

void QuotaBalancer::Impl::set_peers(PeerSet peer_set, TimePoint now) {
    advance_to(now);
    const bool ring_changed = peer_set.ring != ring_;
    if (ring_changed) ring_ = std::move(peer_set.ring);
    const bool sets_changed = sets_.set_gateways(peer_set.sharers.empty() ? ring_ : peer_set.sharers);
    if (sets_changed) {
        advance_all_buckets();
        limits_.on_gateways_changed(sets_, refill_clocks_);
    }
    update_share(peer_set.divisor, peer_set.refill_until, now);
    if (!ring_changed && !sets_changed) return;
    apply_sets_to_buckets();
    erase_unused_peers(now);
}

void QuotaBalancer::Impl::update_share(std::uint32_t divisor, TimePoint refill_until, TimePoint now) {
    std::array<double, kMaxSetSizeClass + 1> old_shares{};
    bool share_changes = false;
    for (std::size_t i = 0; i < old_shares.size(); ++i) {
        const auto size_class = static_cast<SetSizeClass>(i);
        old_shares[i] = refill_clocks_[size_class].share();
        if (divisor == 0 || old_shares[i] == 0.0) continue;
        const double new_share = RefillClocks::member_share(divisor, sets_.gateway_count(), size_class);
        if (new_share == old_shares[i]) continue;
        share_changes = true;
        if (new_share > old_shares[i]) limits_.on_share_increase(size_class, old_shares[i], refill_clocks_);
    }
    if (share_changes) advance_all_buckets();
    refill_clocks_.set_divisor(divisor, sets_.gateway_count(), refill_until, now);
    if (refill_clocks_.is_running(now)) buckets_cleared_ = false;
    if (share_changes) advance_all_buckets();
}

// ---- timing ----

void QuotaBalancer::Impl::tick(TimePoint now, Actions& actions) {
    advance_to(now);
    plan_immediately_ = false;
    for (const BucketTable::Index index : queued_buckets_) {
        TenantBucket& bucket = buckets_[index];
        advance_bucket(bucket);
        wake_queued(bucket, now, actions);
        plan_requests(bucket, now);
    }
    send_urgent(now, actions);
    if (now >= next_routine_send_) send_routine(now, actions);
    if (now >= last_sweep_ + kSweepInterval) erase_idle_buckets(now);
}

void QuotaBalancer::Impl::wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions) {
    if (bucket.queued <= 0 || bucket.name.empty() || !bucket.has_unit()) return;
    if (now < bucket.last_wakeup + kWakeInterval || !may_grant(bucket, now)) return;
    bucket.last_wakeup = now;
    actions.replenished_tenants.push_back(bucket.name);
}

// Returns when the queued requests of a bucket have to be processed next.
TimePoint QuotaBalancer::Impl::queue_deadline(const TenantBucket& bucket) const {
    const TimePoint now = refill_clocks_.current_time();
    const double rate = refill_rate(bucket, clock_of(bucket));
    if (!bucket.in_set || rate <= 0.0 || !refill_clocks_.is_running(now)) return bucket.next_plan;
    const Duration until_unit = to_duration(std::max(0.0, 1.0 - bucket.total_units()) / rate);
    const TimePoint wakeup = std::max(bucket.last_wakeup + kWakeInterval, now + until_unit);
    return std::min(wakeup, bucket.next_plan);
}

TimePoint QuotaBalancer::Impl::next_deadline() const {
    if (plan_immediately_) return refill_clocks_.current_time();
    TimePoint deadline = next_routine_send_;
    for (const PeerTable::Index peer : urgent_peers_)
        deadline = std::min(deadline, peers_[peer].last_sent + settings_.urgent_interval);
    for (const BucketTable::Index index : queued_buckets_)
        deadline = std::min(deadline, queue_deadline(buckets_[index]));
    if (buckets_.size() > 0) deadline = std::min(deadline, last_sweep_ + kSweepInterval);
    return deadline;
}

// ---- observation ----

// Works on copies, as observation must not change the state.
double QuotaBalancer::Impl::available_units(const std::string& tenant, TimePoint now) const {
    RefillClocks clocks = refill_clocks_;
    clocks.advance(now);
    if (now >= clocks.refill_until()) return 0.0;
    const std::uint64_t id = tenant_id(tenant);
    if (const auto index = buckets_.index_of(id)) {
        TenantBucket bucket = buckets_[*index];
        bucket.advance_to(clocks[bucket.set_size_class]);
        return bucket.total_units();
    }
    const TenantLimit* const limit = limits_.find(id);
    return limit == nullptr ? 0.0 : limits_.implied_level(*limit, clocks);
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

// ---- forwarding from the public class ----

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
