// Implements the part of QuotaBalancer::Impl that decides on requests and plans requests for units to
// neighbours.
#include <algorithm>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/time_units.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// Maximum delay after which rejected clients are advised to retry: longer estimates are too uncertain.
constexpr Duration kMaxRetryAfter = 1s;
// Retry delay while this gateway has no lease or too many buckets: about the duration of such a state.
constexpr Duration kUnavailableRetryAfter = 500ms;
// Requests go to at least two neighbours, so that one of them may fail.
constexpr std::size_t kMinAskedNeighbours = 2;

}    // namespace

AdmissionDecision QuotaBalancer::Impl::reject(Duration retry_after_now, Duration& retry_after) {
    retry_after = retry_after_now;
    ++statistics_.rejected;
    return AdmissionDecision::Rejected;
}

AdmissionDecision QuotaBalancer::Impl::request_unit(const std::string& tenant, Duration max_wait,
                                                    TimePoint now, Duration& retry_after) {
    advance_to(now);
    const std::uint64_t id = tenant_id(tenant);
    TenantBucket* const found_bucket = find_or_create_bucket(id);
    if (found_bucket == nullptr) {
        const TenantLimit* const limit = limits_.find(id);
        if (limit == nullptr || !limit->is_limited()) return AdmissionDecision::Granted;
        return reject(kUnavailableRetryAfter, retry_after);    // too many buckets
    }
    TenantBucket& bucket = *found_bucket;
    if (bucket.name.empty()) bucket.name = tenant;
    bucket.demand = bucket.demand * std::max(0.0, 1.0 - seconds(now - bucket.last_used)) + 1.0;
    bucket.last_used = now;
    if (!may_grant(bucket, now)) {
        ++statistics_.rejected_without_lease;
        return reject(kUnavailableRetryAfter, retry_after);
    }
    if (bucket.consume_unit()) {
        queue_update(bucket);
        ++statistics_.granted;
        return AdmissionDecision::Granted;
    }
    bucket.last_shortage = now;
    queue_update(bucket);
    const double needed_units = 1.0 + bucket.queued - bucket.total_units();
    const Duration until_refilled = to_duration(needed_units / retry_rate(bucket));
    if (expected_units(bucket, needed_units, max_wait, now) < needed_units)
        return reject(reserve_retry_slot(bucket, until_refilled, now), retry_after);
    plan_immediately_ = true;
    bucket.next_plan = now;
    retry_after = std::min(until_refilled, kMaxRetryAfter);
    ++statistics_.queued;
    return AdmissionDecision::Queued;
}

// Returns the units that are refilled or may come from neighbours within `max_wait`. Stops counting at
// `needed_units`.
double QuotaBalancer::Impl::expected_units(const TenantBucket& bucket, double needed_units, Duration max_wait,
                                           TimePoint now) const {
    const RefillClock& clock = clock_of(bucket);
    double expected = bucket.in_set ? refill_rate(bucket, clock) * seconds(max_wait) : 0.0;
    for (std::size_t index = 0; index < bucket.neighbour_count && expected < needed_units; ++index) {
        const NeighbourState& state = bucket.neighbours[index];
        expected += state.awaits_reply(now) ? state.outstanding_request : 0.0;
        expected += bucket.in_set
                        ? obtainable_units(bucket, state, bucket.available_units() - 1.0, clock, now)
                        : requestable_units(bucket, state, clock, now);
    }
    return expected;
}

// Returns the rate at which units for this gateway's requests may be expected, in units per second: its own
// refill, or outside of the set the refill of all members that it may ask.
double QuotaBalancer::Impl::retry_rate(const TenantBucket& bucket) const {
    const double rate = refill_rate(bucket, clock_of(bucket));
    return bucket.in_set ? rate
                         : rate * static_cast<double>(std::max<std::size_t>(1, bucket.neighbour_count));
}

// Returns the retry delay for a rejected request. Each request gets its own time slot, so that retries are
// spread, as far as kMaxRetryAfter allows.
Duration QuotaBalancer::Impl::reserve_retry_slot(TenantBucket& bucket, Duration until_refilled,
                                                 TimePoint now) {
    const Duration slot_length = to_duration(1.0 / retry_rate(bucket));
    bucket.next_retry_slot = std::max(bucket.next_retry_slot + slot_length, now + until_refilled);
    if (bucket.next_retry_slot > now + kMaxRetryAfter)
        bucket.next_retry_slot = now + std::min(until_refilled, kMaxRetryAfter);
    return bucket.next_retry_slot - now;
}

void QuotaBalancer::Impl::adjust_queued(const std::string& tenant, int change) {
    const std::optional<BucketTable::Index> index = buckets_.index_of(tenant_id(tenant));
    if (!index) return;
    TenantBucket& bucket = buckets_[*index];
    const bool had_queued = bucket.queued > 0;
    bucket.queued = std::max(0, bucket.queued + change);
    if (bucket.queued > 0 && !had_queued) queued_buckets_.push_back(*index);
    if (bucket.queued == 0 && had_queued) std::erase(queued_buckets_, *index);
}

void QuotaBalancer::Impl::return_unit(const std::string& tenant, TimePoint now) {
    advance_to(now);
    TenantBucket* const bucket = buckets_.find(tenant_id(tenant));
    if (bucket == nullptr || !refill_clocks_.is_running(now)) return;
    advance_bucket(*bucket);
    bucket->return_unit();
    queue_update(*bucket);
    if (bucket->queued > 0) plan_immediately_ = true;
}

void QuotaBalancer::Impl::RequestCandidates::insert(const RequestCandidate& candidate) {
    std::size_t position = count++;
    for (; position > 0 && items[position - 1].obtainable < candidate.obtainable; --position)
        items[position] = items[position - 1];
    items[position] = candidate;
}

void QuotaBalancer::Impl::plan_requests(TenantBucket& bucket, TimePoint now) {
    if (now < bucket.next_plan) return;
    bucket.next_plan = now + kRequestTimeout;
    if (bucket.in_set) {
        plan_requests_to_neighbours(bucket, now);
    } else {
        plan_requests_to_members(bucket, now);
    }
}

// Adds the neighbours that may be asked. Returns the number of units in requests that are not answered yet.
double QuotaBalancer::Impl::collect_candidates(const TenantBucket& bucket, TimePoint now,
                                               RequestCandidates& candidates) const {
    const RefillClock& clock = clock_of(bucket);
    double outstanding = 0.0;
    for (std::size_t index = 0; index < bucket.neighbour_count; ++index) {
        const NeighbourState& state = bucket.neighbours[index];
        if (state.awaits_reply(now)) {
            outstanding += state.outstanding_request;
            continue;
        }
        const double obtainable = bucket.in_set
                                      ? obtainable_units(bucket, state, bucket.available_units(), clock, now)
                                      : requestable_units(bucket, state, clock, now);
        if (obtainable > 0.0) candidates.insert({obtainable, index});
    }
    return outstanding;
}

// While requests are queued, asks the neighbours with the most units: as few as cover the needed units even
// if one of them fails.
void QuotaBalancer::Impl::plan_requests_to_neighbours(TenantBucket& bucket, TimePoint now) {
    double needed_units = bucket.queued - bucket.total_units();
    if (needed_units <= 0.0) return;
    RequestCandidates candidates;
    needed_units -= collect_candidates(bucket, now, candidates);
    if (needed_units <= 0.0 || candidates.count == 0) return;

    const double largest = candidates.items[0].obtainable;
    double total = 0.0;
    std::size_t asked = 0;
    while (asked < candidates.count && (asked < kMinAskedNeighbours || total - largest < needed_units))
        total += candidates.items[asked++].obtainable;
    const double total_without_largest = total - largest;
    // Includes the requests that are expected until the next routine message, at the current rate.
    const double wanted_units = needed_units + bucket.demand * seconds(settings_.message_interval);
    const double fraction = total_without_largest > wanted_units ? wanted_units / total_without_largest : 1.0;
    for (std::size_t i = 0; i < asked; ++i) {
        const RequestCandidate& candidate = candidates.items[i];
        NeighbourState& state = bucket.neighbours[candidate.neighbour_index];
        state.pending_request = static_cast<float>(candidate.obtainable * fraction + 1.0 / kFractionsPerUnit);
        mark_urgent(state.peer);
    }
    queue_update(bucket);
}

}    // namespace shaletray::quota
