#include "cluster/quota/quota_balancer.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "cluster/quota/message.h"
#include "cluster/quota/tenant_bucket.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kRequestTimeout = 30ms;    // a neighbour that was asked in vain
constexpr Duration kMaxEchoDelay =
    120s;    // an echo of what was heard longer ago says too little of a gift's age
constexpr Duration kFormerPeerRetention = 2s;    // what was heard of a pilot that is no neighbour any more
constexpr Duration kSweepInterval = 4s;          // between two looks for stores to forget
constexpr Duration kBucketIdleTimeout = 5s;      // a full store that was not touched for so long is forgotten
constexpr Duration kMaxRetryAfter = 1s;
constexpr Duration kUnavailableRetryAfter = 500ms;
constexpr Duration kWakeInterval = 10ms;
constexpr double kAnnounceThreshold = 0.4;                  // of a full store: smaller changes are not told
constexpr double kSmallTransferProbability = 1.0 / 16.0;    // that a gap of one unit is moved after all
constexpr std::size_t kMaxSmallRingSize = 16;               // up to so many pilots, the nearest are enough
constexpr std::size_t kMaxBuckets = 50'000;
constexpr std::size_t kMaxRemovedTenants = 65'536;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration to_duration(double duration_s) {
    return duration_s < 1e6 ? Duration(static_cast<std::int64_t>(std::ceil(duration_s * 1e6)))
                            : Duration(1'000'000'000'000);
}
double round_down_to_fraction(double units) {
    return std::floor(units * kFractionsPerUnit) / kFractionsPerUnit;
}

// How far away on the ring the neighbours are. In a large fleet a tenant's requests come to few pilots, far
// from most units; so there are further ones at growing distances, over which units travel in a few steps.
std::vector<std::size_t> neighbour_distances(std::size_t ring_size) {
    std::vector<std::size_t> result;
    const auto add_distance = [&](std::size_t distance) {
        if (distance >= 1 && distance <= ring_size / 2 && (result.empty() || distance > result.back()))
            result.push_back(distance);
    };
    for (std::size_t distance = 1; distance <= kNearNeighbours; ++distance) add_distance(distance);
    if (ring_size <= kMaxSmallRingSize) return result;
    const double growth_factor =
        std::pow(static_cast<double>(ring_size) / 2.0 / kNearNeighbours, 1.0 / (kFarNeighbours + 0.5));
    double distance = kNearNeighbours;
    for (int i = 0; i < kFarNeighbours; ++i)
        add_distance(static_cast<std::size_t>(std::lround(distance *= growth_factor)));
    return result;
}

struct TenantLimit {    // of one tenant; kept for all of them, so it is small
    std::uint64_t id = 0;
    float rate = 0.0F, burst = 0.0F;
    double base_integral =
        0.0;    // the flow at which its store would have been empty; 0: the life's beginning
};

struct Neighbour {
    std::string address;
    std::uint64_t incarnation = 0, sequence = 0, timestamp = 0;    // as heard; life 0: never
    TimePoint last_heard{}, last_sent{};
    bool urgent = false;    // a request waits for the next message to it
};

struct EntryDraft {
    std::uint32_t bucket_index = 0;
    Entry entry;
    double priority = 0.0;
};

}    // namespace

class QuotaBalancer::Impl {
public:
    // Nothing refills at first: until an earlier life's gifts have ended.
    Impl(Settings settings, TimePoint now)
        : settings_(std::move(settings)),
          random_(settings_.seed ^ settings_.incarnation),
          refill_clock_(now + kReservationTime),
          last_sweep_(now) {}

    void set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now);
    void set_peers(PeerSet peer_set, TimePoint now);
    AdmissionDecision request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                   Duration& retry_after);
    void adjust_queued(const std::string& tenant, int change);
    void return_unit(const std::string& tenant, TimePoint now);
    void on_message(const std::string& from, std::string_view bytes, TimePoint now, Actions& actions);
    void tick(TimePoint now, Actions& actions);
    TimePoint next_deadline() const;
    double available_units(const std::string& tenant, TimePoint now) const;
    Statistics statistics() const {
        Statistics result = statistics_;
        result.buckets = bucket_by_tenant_.size();
        return result;
    }

private:
    double full_capacity_of(double rate, double burst) const {    // B of store.h
        return burst +
               0.5 * ((rate * seconds(settings_.window) + burst) * settings_.overshoot + settings_.slack);
    }
    void advance_to(TimePoint now);
    double implied_level(const TenantLimit& limit, const RefillClock& clock) const;
    TenantLimit* find_limit(std::uint64_t id);
    TenantBucket* find_bucket(std::uint64_t id);
    TenantBucket* find_or_create_bucket(
        std::uint64_t id);    // null: no such tenant, or without a limit, or too many stores
    void erase_bucket(std::uint32_t bucket_index);
    void clear_buckets();
    void queue_update(TenantBucket& bucket);
    bool is_recently_heard(const Neighbour& neighbour, TimePoint now) const {
        return neighbour.incarnation != 0 && now - neighbour.last_heard <= kMaxEchoDelay;
    }
    double refill_rate_of(const TenantBucket& bucket) const { return bucket.rate * refill_clock_.share(); }
    double transfer_granularity(const TenantBucket& bucket) const {
        return std::clamp(bucket.capacity_share / 8.0, 1.0 / kFractionsPerUnit, 1.0);
    }
    double estimate_neighbour_units(const TenantBucket& bucket, const NeighbourState& state,
                                    TimePoint now) const;
    double estimate_announced_units(const TenantBucket& bucket, const NeighbourState& state,
                                    TimePoint now) const;
    double obtainable_units(const TenantBucket& bucket, const NeighbourState& state, double available,
                            TimePoint now) const;
    double max_transfer_from(const TenantBucket& bucket, int neighbour_index, TimePoint now) const;
    double transfer_amount(TenantBucket& bucket, int neighbour_index, TimePoint now);
    void plan_requests(TenantBucket& bucket, TimePoint now);
    bool draft_entry(TenantBucket& bucket, int neighbour_index, TimePoint now, EntryDraft& entry_draft);
    void send_to_neighbour(int neighbour_index, TimePoint now, Actions& actions, bool send_if_empty);
    void send_urgent(TimePoint now, Actions& actions);
    void wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions);
    void erase_idle_buckets(TimePoint now);

    Settings settings_;
    std::mt19937_64 random_;
    RefillClock refill_clock_;
    double empty_integral_ = 0.0;    // the flow when all stores were empty
    double shrink_integral_ = 0.0,
           share_before_shrink_ = 0.0;    // the flow when the divisor last became smaller,
    bool buckets_cleared_ = true;         // and the least part before
    std::vector<TenantLimit> limits_;     // sorted by id
    boost::unordered_flat_set<std::uint64_t>
        removed_tenants_;                    // tenants that left in this life, or had no limit
    double overflow_base_integral_ = 0.0;    // where that set was too small: nobody new has more
    std::vector<TenantBucket> buckets_;
    std::vector<std::uint32_t> free_bucket_indices_;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> bucket_by_tenant_;
    std::vector<std::uint32_t> pending_updates_, queued_buckets_;
    std::vector<Neighbour> neighbours_;    // neighbours; a store's near goes by their places
    std::vector<Neighbour> former_neighbours_;
    std::vector<std::string> ring_;
    std::vector<EntryDraft> drafts_;
    std::uint64_t last_sequence_ = 0;
    TimePoint next_routine_send_ = TimePoint::max(), last_sweep_{};
    bool plan_immediately_ = false;
    Statistics statistics_;
};

// ---- time, tenants, stores ----

void QuotaBalancer::Impl::advance_to(TimePoint now) {
    refill_clock_.advance(now);
    if (!buckets_cleared_ && refill_clock_.current_time() >= refill_clock_.refill_until()) clear_buckets();
}

void QuotaBalancer::Impl::clear_buckets() {
    empty_integral_ = refill_clock_.integral();
    buckets_cleared_ = true;
    for (const auto& [id, bucket_index] : bucket_by_tenant_) {
        TenantBucket& bucket = buckets_[bucket_index];
        bucket.advance_to(refill_clock_);
        bucket.clear();
    }
}

// What a tenant without a store has: as if it had had one all the time.
double QuotaBalancer::Impl::implied_level(const TenantLimit& limit, const RefillClock& clock) const {
    const double capacity = full_capacity_of(limit.rate, limit.burst);
    double level = limit.rate * (clock.integral() - std::max(empty_integral_, limit.base_integral));
    if (share_before_shrink_ > 0.0)
        level = std::min(
            level, capacity * share_before_shrink_ + limit.rate * (clock.integral() - shrink_integral_));
    return std::clamp(level, 0.0, capacity * clock.share());
}

TenantLimit* QuotaBalancer::Impl::find_limit(std::uint64_t id) {
    const auto found =
        std::lower_bound(limits_.begin(), limits_.end(), id,
                         [](const TenantLimit& limit, std::uint64_t value) { return limit.id < value; });
    return found != limits_.end() && found->id == id ? &*found : nullptr;
}

TenantBucket* QuotaBalancer::Impl::find_bucket(std::uint64_t id) {
    const auto found = bucket_by_tenant_.find(id);
    return found == bucket_by_tenant_.end() ? nullptr : &buckets_[found->second];
}

TenantBucket* QuotaBalancer::Impl::find_or_create_bucket(std::uint64_t id) {
    if (TenantBucket* bucket = find_bucket(id)) {
        bucket->advance_to(refill_clock_);
        return bucket;
    }
    const TenantLimit* const limit = find_limit(id);
    if (limit == nullptr || limit->rate <= 0.0F || bucket_by_tenant_.size() >= kMaxBuckets) return nullptr;
    std::uint32_t bucket_index = static_cast<std::uint32_t>(buckets_.size());
    if (free_bucket_indices_.empty()) {
        buckets_.emplace_back();
    } else {
        bucket_index = free_bucket_indices_.back();
        free_bucket_indices_.pop_back();
    }
    bucket_by_tenant_[id] = bucket_index;
    TenantBucket& bucket = buckets_[bucket_index] = TenantBucket{};
    bucket.id = id;
    bucket.in_use = true;
    bucket.rate = limit->rate;
    bucket.full_capacity = full_capacity_of(limit->rate, limit->burst);
    bucket.level = implied_level(*limit, refill_clock_);
    bucket.refilled_until = refill_clock_.integral();
    bucket.capacity_share = bucket.full_capacity * refill_clock_.share();
    bucket.last_used = refill_clock_.current_time();
    return &bucket;
}

void QuotaBalancer::Impl::erase_bucket(std::uint32_t bucket_index) {
    bucket_by_tenant_.erase(buckets_[bucket_index].id);
    buckets_[bucket_index] = TenantBucket{};
    free_bucket_indices_.push_back(bucket_index);
}

void QuotaBalancer::Impl::queue_update(TenantBucket& bucket) {
    if (bucket.update_pending || neighbours_.empty()) return;
    bucket.update_pending = true;
    pending_updates_.push_back(static_cast<std::uint32_t>(&bucket - buckets_.data()));
    if (next_routine_send_ == TimePoint::max()) {
        TimePoint earliest =
            refill_clock_.current_time();    // the first moment at which any neighbour may get a message
        TimePoint first_send = TimePoint::max();
        for (const Neighbour& neighbour : neighbours_)
            first_send = std::min(first_send, neighbour.last_sent + settings_.message_interval);
        next_routine_send_ = std::max(earliest, first_send);
    }
}

void QuotaBalancer::Impl::set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now) {
    advance_to(now);
    std::vector<TenantLimit> new_limits;
    new_limits.reserve(quotas_by_tenant.size());
    for (const auto& [name, tenant_quota] : quotas_by_tenant)
        new_limits.push_back({tenant_id(name), static_cast<float>(std::max(0.0, tenant_quota.rate)),
                              static_cast<float>(std::max(0.0, tenant_quota.burst)), 0.0});
    std::sort(new_limits.begin(), new_limits.end(),
              [](const TenantLimit& a, const TenantLimit& b) { return a.id < b.id; });
    auto old_limit = limits_.begin();
    const auto remove_tenant = [this](std::uint64_t id) {
        if (removed_tenants_.size() < kMaxRemovedTenants) {
            removed_tenants_.insert(id);
        } else {
            overflow_base_integral_ = refill_clock_.integral();
        }
        if (const auto found = bucket_by_tenant_.find(id); found != bucket_by_tenant_.end())
            buckets_[found->second].in_use = false;
    };
    for (TenantLimit& limit : new_limits) {
        for (; old_limit != limits_.end() && old_limit->id < limit.id; ++old_limit)
            remove_tenant(old_limit->id);
        const bool existed = old_limit != limits_.end() && old_limit->id == limit.id;
        if (limit.rate <= 0.0F) {
            remove_tenant(limit.id);
        } else if (!existed || old_limit->rate <= 0.0F) {
            limit.base_integral =
                removed_tenants_.contains(limit.id) ? refill_clock_.integral() : overflow_base_integral_;
        } else if (old_limit->rate == limit.rate && old_limit->burst == limit.burst) {
            limit.base_integral = old_limit->base_integral;
        } else {    // holds what it held, as far as that is still allowed
            const double level = std::min(implied_level(*old_limit, refill_clock_),
                                          full_capacity_of(limit.rate, limit.burst) * refill_clock_.share());
            limit.base_integral = refill_clock_.integral() - level / limit.rate;
        }
        if (existed) ++old_limit;
    }
    for (; old_limit != limits_.end(); ++old_limit) remove_tenant(old_limit->id);
    limits_ = std::move(new_limits);

    std::vector<std::uint32_t> removed_buckets;
    for (const auto& [id, bucket_index] : bucket_by_tenant_) {
        TenantBucket& bucket = buckets_[bucket_index];
        bucket.advance_to(refill_clock_);
        const TenantLimit* const limit = find_limit(id);
        if (limit == nullptr || limit->rate <= 0.0F) {
            removed_buckets.push_back(bucket_index);
        } else if (const double capacity = full_capacity_of(limit->rate, limit->burst);
                   bucket.rate != limit->rate || bucket.full_capacity != capacity) {
            bucket.rate = limit->rate;
            bucket.full_capacity = capacity;
            bucket.advance_to(refill_clock_);
            queue_update(bucket);
        }
    }
    for (const std::uint32_t bucket_index : removed_buckets) {
        // Those who wait ask again and find no limit; what is listed is looked up by place, so it goes first.
        std::erase(pending_updates_, bucket_index);
        std::erase(queued_buckets_, bucket_index);
        erase_bucket(bucket_index);
    }
}

void QuotaBalancer::Impl::set_peers(PeerSet peer_set, TimePoint now) {
    advance_to(now);
    const double old_share = refill_clock_.share();
    const bool share_changes = peer_set.divisor > 0 && old_share > 0.0 && 1.0 / peer_set.divisor != old_share;
    if (share_changes)
        for (const auto& [id, bucket_index] : bucket_by_tenant_)
            buckets_[bucket_index].advance_to(refill_clock_);
    if (share_changes && 1.0 / peer_set.divisor > old_share) {
        share_before_shrink_ =
            share_before_shrink_ > 0.0 ? std::min(share_before_shrink_, old_share) : old_share;
        shrink_integral_ = refill_clock_.integral();
    }
    refill_clock_.set_divisor(peer_set.divisor, peer_set.refill_until, now);
    if (refill_clock_.is_running(now)) buckets_cleared_ = false;
    if (share_changes)
        for (const auto& [id, bucket_index] : bucket_by_tenant_)
            buckets_[bucket_index].advance_to(refill_clock_);

    if (peer_set.ring == ring_) return;
    ring_ = std::move(peer_set.ring);
    const auto self = std::lower_bound(ring_.begin(), ring_.end(), settings_.self);
    std::vector<std::string> neighbour_names;
    if (self != ring_.end() && *self == settings_.self) {
        const std::size_t ring_size = ring_.size(),
                          own_position = static_cast<std::size_t>(self - ring_.begin());
        for (const std::size_t distance : neighbour_distances(ring_size))
            for (const std::size_t position :
                 {(own_position + distance) % ring_size, (own_position + ring_size - distance) % ring_size})
                if (position != own_position && std::find(neighbour_names.begin(), neighbour_names.end(),
                                                          ring_[position]) == neighbour_names.end())
                    neighbour_names.push_back(ring_[position]);
    }
    // Each store's notes follow the neighbours to their new places.
    std::vector<Neighbour> new_neighbours;
    std::vector<int> old_indices;
    for (const std::string& name : neighbour_names) {
        const auto has_address = [&](const Neighbour& neighbour) { return neighbour.address == name; };
        const auto current = std::find_if(neighbours_.begin(), neighbours_.end(), has_address);
        const auto former = std::find_if(former_neighbours_.begin(), former_neighbours_.end(), has_address);
        old_indices.push_back(current != neighbours_.end() ? static_cast<int>(current - neighbours_.begin())
                                                           : -1);
        new_neighbours.push_back(current != neighbours_.end()         ? *current
                                 : former != former_neighbours_.end() ? *former
                                                                      : Neighbour{.address = name});
        if (former != former_neighbours_.end()) former_neighbours_.erase(former);
    }
    std::erase_if(former_neighbours_, [&](const Neighbour& neighbour) {
        return now - neighbour.last_heard > kFormerPeerRetention;
    });
    for (Neighbour& neighbour : neighbours_)
        if (std::find(neighbour_names.begin(), neighbour_names.end(), neighbour.address) ==
            neighbour_names.end())
            former_neighbours_.push_back(std::move(neighbour));
    neighbours_ = std::move(new_neighbours);
    for (const auto& [id, bucket_index] : bucket_by_tenant_) {
        TenantBucket& bucket = buckets_[bucket_index];
        const auto old_states = bucket.neighbours;
        bucket.neighbours = {};
        for (std::size_t neighbour_index = 0; neighbour_index < old_indices.size(); ++neighbour_index)
            if (old_indices[neighbour_index] >= 0)
                bucket.neighbours[neighbour_index] =
                    old_states[static_cast<std::size_t>(old_indices[neighbour_index])];
        queue_update(bucket);
    }
}

// ---- what may be expected of neighbours ----

// A neighbour's free amount by what it told and what it has refilled since; one that has more requests than
// units refills nothing that would last. One that told nothing is full.
double QuotaBalancer::Impl::estimate_neighbour_units(const TenantBucket& bucket, const NeighbourState& state,
                                                     TimePoint now) const {
    if (!state.reported) return bucket.capacity_share;
    if (state.under_pressure || state.reported_units >= bucket.capacity_share) return state.reported_units;
    return std::min(bucket.capacity_share,
                    state.reported_units + refill_rate_of(bucket) * seconds(now - state.reported_at));
}

// The same, of ours, as the neighbour sees it.
double QuotaBalancer::Impl::estimate_announced_units(const TenantBucket& bucket, const NeighbourState& state,
                                                     TimePoint now) const {
    if (!state.announced) return bucket.capacity_share;
    if (state.announced_pressure || state.announced_units >= bucket.capacity_share)
        return state.announced_units;
    return std::min(bucket.capacity_share,
                    state.announced_units + refill_rate_of(bucket) * seconds(now - state.announced_at));
}

// What it would give if asked: half of the gap, of what it has.
double QuotaBalancer::Impl::obtainable_units(const TenantBucket& bucket, const NeighbourState& state,
                                             double available, TimePoint now) const {
    const double neighbour_units = estimate_neighbour_units(bucket, state, now);
    if (neighbour_units < 0.5 * transfer_granularity(bucket)) return 0.0;
    return std::clamp(0.5 * (neighbour_units - available), 0.0, neighbour_units);
}

// How much one neighbour may give unasked: the room here, divided by what they seem to have above us. So
// those who give at the same time do not fill the store over its brim.
double QuotaBalancer::Impl::max_transfer_from(const TenantBucket& bucket, int neighbour_index,
                                              TimePoint now) const {
    const double free_capacity = bucket.capacity_share - bucket.reserved_units() - bucket.available_units();
    if (free_capacity <= 0.0) return 0.0;
    const auto weight = [&](int index) {
        return std::max(0.0, estimate_neighbour_units(
                                 bucket, bucket.neighbours[static_cast<std::size_t>(index)], now) -
                                 bucket.available_units()) +
               bucket.capacity_share / 8.0;
    };
    double total_weight = 0.0;
    for (int index = 0; index < static_cast<int>(neighbours_.size()); ++index) total_weight += weight(index);
    return total_weight > 0.0 ? free_capacity * weight(neighbour_index) / total_weight : 0.0;
}

// The richer moves the rounded-up half of the gap; a gap of one grain moves by a small chance.
double QuotaBalancer::Impl::transfer_amount(TenantBucket& bucket, int neighbour_index, TimePoint now) {
    const NeighbourState& state = bucket.neighbours[static_cast<std::size_t>(neighbour_index)];
    const Neighbour& neighbour = neighbours_[static_cast<std::size_t>(neighbour_index)];
    if (!state.reported || state.max_transfer <= 0.0F || !is_recently_heard(neighbour, now) ||
        !refill_clock_.is_running(now))
        return 0.0;
    const double available = std::min(bucket.level, bucket.available_units());
    if (available <= 0.0) return 0.0;
    const double gap = bucket.available_units() - estimate_neighbour_units(bucket, state, now),
                 granularity = transfer_granularity(bucket);
    double amount = 0.0;
    if (gap > granularity) {
        amount = std::ceil(gap / 2.0 / granularity) * granularity;
    } else if (gap > granularity / 2.0 &&
               std::uniform_real_distribution<>(0.0, 1.0)(random_) < kSmallTransferProbability) {
        amount = granularity / 2.0;
    }
    return std::max(
        0.0, round_down_to_fraction(std::min({amount, available, static_cast<double>(state.max_transfer)})));
}

// Requests wait: the richest neighbours are asked, as few as make the need good if one of them fails.
void QuotaBalancer::Impl::plan_requests(TenantBucket& bucket, TimePoint now) {
    if (now < bucket.next_plan) return;
    bucket.next_plan = now + kRequestTimeout;
    double needed_units = bucket.queued - bucket.total_units();
    if (needed_units <= 0.0) return;
    std::array<std::pair<double, int>, kMaxNeighbours> candidates{};
    int candidate_count = 0;
    for (int neighbour_index = 0; neighbour_index < static_cast<int>(neighbours_.size()); ++neighbour_index) {
        const NeighbourState& n = bucket.neighbours[static_cast<std::size_t>(neighbour_index)];
        if (now < n.requested_at + kRequestTimeout) {
            needed_units -= n.outstanding_request;
        } else if (const double obtainable = obtainable_units(bucket, n, bucket.available_units(), now);
                   obtainable > 0.0) {
            std::size_t position = static_cast<std::size_t>(candidate_count++);    // the richest first
            for (; position > 0 && candidates[position - 1].first < obtainable; --position)
                candidates[position] = candidates[position - 1];
            candidates[position] = {obtainable, neighbour_index};
        }
    }
    if (needed_units <= 0.0) return;
    double total = 0.0;
    int n = 0;
    while (n < candidate_count && (n < 2 || total - candidates[0].first < needed_units))
        total += candidates[static_cast<std::size_t>(n++)].first;
    const double total_without_richest = total - candidates[0].first;
    const double wanted_units =
        needed_units +
        bucket.demand * seconds(settings_.message_interval);    // and the next ones of this pace
    const double fraction = total_without_richest > wanted_units ? wanted_units / total_without_richest : 1.0;
    for (int i = 0; i < n; ++i) {
        const auto [obtainable, neighbour_index] = candidates[static_cast<std::size_t>(i)];
        bucket.neighbours[static_cast<std::size_t>(neighbour_index)].pending_request =
            static_cast<float>(obtainable * fraction + 1.0 / kFractionsPerUnit);
        neighbours_[static_cast<std::size_t>(neighbour_index)].urgent = true;
    }
    if (n > 0) queue_update(bucket);
}

// ---- messages ----

bool QuotaBalancer::Impl::draft_entry(TenantBucket& bucket, int neighbour_index, TimePoint now,
                                      EntryDraft& entry_draft) {
    NeighbourState& state = bucket.neighbours[static_cast<std::size_t>(neighbour_index)];
    const double available = bucket.available_units(), granularity = transfer_granularity(bucket);
    const bool under_pressure = bucket.under_pressure(now);
    const double amount = transfer_amount(bucket, neighbour_index, now);
    const double change = std::fabs(available - amount -
                                    (state.announced || available < bucket.capacity_share
                                         ? estimate_announced_units(bucket, state, now)
                                         : available));
    const bool has_request = state.pending_request > 0.0F;
    if (!has_request && amount <= 0.0 &&
        change <= std::max(granularity, kAnnounceThreshold * bucket.capacity_share) &&
        !(state.announced && state.announced_pressure != under_pressure))
        return false;
    entry_draft.entry.tenant = bucket.id;
    entry_draft.entry.transfer = static_cast<float>(amount);
    entry_draft.entry.urgent = has_request;
    entry_draft.entry.under_pressure = under_pressure;
    entry_draft.priority = (has_request ? 1e6 : 0.0) +
                           (amount > 0.0 ? 1e3 * (1.0 + amount / bucket.capacity_share) : 0.0) +
                           change / bucket.capacity_share;
    return true;
}

// All that this neighbour has to be told, the most pressing first.
void QuotaBalancer::Impl::send_to_neighbour(int neighbour_index, TimePoint now, Actions& actions,
                                            bool send_if_empty) {
    Neighbour& neighbour = neighbours_[static_cast<std::size_t>(neighbour_index)];
    drafts_.clear();
    for (const std::uint32_t bucket_index : pending_updates_) {
        EntryDraft entry_draft;
        entry_draft.bucket_index = bucket_index;
        buckets_[bucket_index].advance_to(refill_clock_);
        if (draft_entry(buckets_[bucket_index], neighbour_index, now, entry_draft))
            drafts_.push_back(entry_draft);
    }
    if (drafts_.empty() && !send_if_empty) return;
    if (drafts_.size() > kMaxEntries) {
        std::nth_element(drafts_.begin(), drafts_.begin() + kMaxEntries, drafts_.end(),
                         [](const EntryDraft& a, const EntryDraft& b) { return a.priority > b.priority; });
        drafts_.resize(kMaxEntries);
    }
    const auto to_microseconds = [](TimePoint time) {
        return static_cast<std::uint64_t>(time.time_since_epoch().count());
    };
    Message message;
    message.incarnation = settings_.incarnation;
    message.sequence = ++last_sequence_;
    message.timestamp = to_microseconds(now);
    if (is_recently_heard(neighbour, now)) {
        message.echoed_incarnation = neighbour.incarnation;
        message.echoed_timestamp = neighbour.timestamp;
        message.echo_delay = static_cast<std::uint64_t>((now - neighbour.last_heard).count());
    }
    for (EntryDraft& entry_draft : drafts_) {
        TenantBucket& bucket = buckets_[entry_draft.bucket_index];
        NeighbourState& state = bucket.neighbours[static_cast<std::size_t>(neighbour_index)];
        const double amount = entry_draft.entry.transfer;
        if (amount > 0.0) {
            bucket.transfer_out(amount, now);
            state.reported_units = static_cast<float>(estimate_neighbour_units(bucket, state, now) + amount);
            state.reported_at = now;
            state.max_transfer -= static_cast<float>(amount);
            statistics_.units_sent += amount;
        }
        entry_draft.entry.available = static_cast<float>(bucket.available_units());
        entry_draft.entry.max_transfer =
            state.pending_request > 0.0F
                ? state.pending_request
                : static_cast<float>(max_transfer_from(bucket, neighbour_index, now));
        if (state.pending_request > 0.0F) {    // it is taken to give that
            state.reported_units = static_cast<float>(
                std::max(0.0, estimate_neighbour_units(bucket, state, now) - state.pending_request));
            state.reported_at = now;
            state.reported = true;
            state.requested_at = now;
            state.outstanding_request = state.pending_request;
            state.pending_request = 0.0F;
        }
        state.announced = true;
        state.announced_units = entry_draft.entry.available;
        state.announced_at = now;
        state.announced_pressure = entry_draft.entry.under_pressure;
        message.entries.push_back(entry_draft.entry);
    }
    neighbour.last_sent = now;
    neighbour.urgent = false;
    actions.sends.push_back({neighbour.address, encode(message)});
    ++statistics_.sent;
    statistics_.sent_bytes += actions.sends.back().bytes.size();
}

void QuotaBalancer::Impl::send_urgent(TimePoint now, Actions& actions) {
    for (int neighbour_index = 0; neighbour_index < static_cast<int>(neighbours_.size()); ++neighbour_index) {
        const Neighbour& neighbour = neighbours_[static_cast<std::size_t>(neighbour_index)];
        if (neighbour.urgent && now >= neighbour.last_sent + settings_.urgent_interval)
            send_to_neighbour(neighbour_index, now, actions, false);
        if (now >= neighbour.last_sent + settings_.urgent_interval)
            neighbours_[static_cast<std::size_t>(neighbour_index)].urgent = false;
    }
}

void QuotaBalancer::Impl::wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions) {
    if (bucket.queued <= 0 || bucket.name.empty() || bucket.total_units() < 1.0 - 1e-9 ||
        now < bucket.last_wakeup + kWakeInterval)
        return;
    if (!refill_clock_.is_running(now)) return;
    bucket.last_wakeup = now;
    actions.replenished_tenants.push_back(bucket.name);
}

void QuotaBalancer::Impl::on_message(const std::string& from, std::string_view bytes, TimePoint now,
                                     Actions& actions) {
    advance_to(now);
    const auto found = std::find_if(neighbours_.begin(), neighbours_.end(),
                                    [&](const Neighbour& candidate) { return candidate.address == from; });
    const leaf::result<Message> decoded = decode(bytes);
    if (!decoded || found == neighbours_.end()) {
        ++statistics_.ignored;
        return;
    }
    const Message& message = decoded.value();
    Neighbour& neighbour = *found;
    if (message.incarnation < neighbour.incarnation ||
        (message.incarnation == neighbour.incarnation && message.sequence <= neighbour.sequence) ||
        message.incarnation == 0) {
        ++statistics_.ignored;
        return;
    }
    ++statistics_.received;
    neighbour.incarnation = message.incarnation;
    neighbour.sequence = message.sequence;
    neighbour.timestamp = message.timestamp;
    neighbour.last_heard = now;
    const std::size_t neighbour_index = static_cast<std::size_t>(found - neighbours_.begin());
    // How old a gift is at most: what it echoes was sent here, travelled, lay there, and travelled back.
    const auto echoed_time = TimePoint(Duration(static_cast<std::int64_t>(message.echoed_timestamp)));
    const Duration echo_delay(
        static_cast<std::int64_t>(std::min<std::uint64_t>(message.echo_delay, 1'000'000'000)));
    const TimePoint transferred_at = echoed_time + echo_delay;
    const bool accepts_transfers = message.echoed_incarnation == settings_.incarnation &&
                                   echo_delay <= kMaxEchoDelay && echoed_time <= now &&
                                   now - transferred_at <= kMaxTransferAge && refill_clock_.is_running(now);
    for (const Entry& entry : message.entries) {
        TenantBucket* const bucket = find_or_create_bucket(entry.tenant);
        if (bucket == nullptr) {
            ++statistics_.ignored;
            continue;
        }
        NeighbourState& state = bucket->neighbours[neighbour_index];
        if (entry.transfer > 0.0F) {
            if (accepts_transfers) {
                bucket->transfer_in(entry.transfer, transferred_at + kReservationTime);
                statistics_.units_received += entry.transfer;
                state.announced_units += entry.transfer;    // as it reckons
            } else {
                ++statistics_.expired_transfers;
            }
        }
        state.reported = true;
        state.reported_units = entry.available;
        state.reported_at = now;
        state.under_pressure = entry.under_pressure;
        state.max_transfer = entry.max_transfer;
        state.requested_at = TimePoint{};
        if (entry.urgent) {
            if (transfer_amount(*bucket, static_cast<int>(neighbour_index), now) > 0.0) {
                neighbour.urgent = true;
            } else {
                state.announced = true;    // it expects too much of us
                state.announced_units = static_cast<float>(bucket->capacity_share + 2.0);
                state.announced_pressure = false;
            }
        }
        queue_update(*bucket);
        wake_queued(*bucket, now, actions);
    }
    send_urgent(now, actions);
}

// ---- requests ----

AdmissionDecision QuotaBalancer::Impl::request_unit(const std::string& tenant, Duration max_wait,
                                                    TimePoint now, Duration& retry_after) {
    advance_to(now);
    const std::uint64_t id = tenant_id(tenant);
    TenantBucket* const found_bucket = find_or_create_bucket(id);
    if (found_bucket == nullptr) {
        const TenantLimit* const limit = find_limit(id);
        if (limit == nullptr || limit->rate <= 0.0F) return AdmissionDecision::Granted;
        retry_after = kUnavailableRetryAfter;    // too many stores
        ++statistics_.rejected;
        return AdmissionDecision::Rejected;
    }
    TenantBucket& bucket = *found_bucket;
    if (bucket.name.empty()) bucket.name = tenant;
    bucket.demand = bucket.demand * std::max(0.0, 1.0 - seconds(now - bucket.last_used)) + 1.0;
    bucket.last_used = now;
    if (!refill_clock_.is_running(now)) {
        retry_after = kUnavailableRetryAfter;
        ++statistics_.rejected;
        return AdmissionDecision::Rejected;
    }
    if (bucket.consume_unit()) {
        queue_update(bucket);
        ++statistics_.granted;
        return AdmissionDecision::Granted;
    }
    bucket.last_shortage = now;
    queue_update(bucket);
    const double needed_units = 1.0 + bucket.queued - bucket.total_units(), rate = refill_rate_of(bucket);
    double expected_units = rate * seconds(max_wait);
    for (std::size_t neighbour_index = 0;
         neighbour_index < neighbours_.size() && expected_units < needed_units; ++neighbour_index) {
        const NeighbourState& state = bucket.neighbours[neighbour_index];
        expected_units += (now < state.requested_at + kRequestTimeout ? state.outstanding_request : 0.0) +
                          obtainable_units(bucket, state, bucket.available_units() - 1.0, now);
    }
    const Duration until_refilled = to_duration(needed_units / rate);
    if (expected_units >= needed_units) {
        plan_immediately_ = true;
        bucket.next_plan = now;
        retry_after = std::min(until_refilled, kMaxRetryAfter);
        ++statistics_.queued;
        return AdmissionDecision::Queued;
    }
    // Each that is refused gets a moment of its own, as far as that makes sense.
    bucket.next_retry_slot = std::max(bucket.next_retry_slot + to_duration(1.0 / rate), now + until_refilled);
    if (bucket.next_retry_slot > now + kMaxRetryAfter)
        bucket.next_retry_slot = now + std::min(until_refilled, kMaxRetryAfter);
    retry_after = bucket.next_retry_slot - now;
    ++statistics_.rejected;
    return AdmissionDecision::Rejected;
}

void QuotaBalancer::Impl::adjust_queued(const std::string& tenant, int change) {
    const auto found = bucket_by_tenant_.find(tenant_id(tenant));
    if (found == bucket_by_tenant_.end()) return;
    TenantBucket& bucket = buckets_[found->second];
    const bool was_queued = bucket.queued > 0;
    bucket.queued = std::max(0, bucket.queued + change);
    if (bucket.queued > 0 && !was_queued) queued_buckets_.push_back(found->second);
    if (bucket.queued == 0 && was_queued) std::erase(queued_buckets_, found->second);
}

void QuotaBalancer::Impl::return_unit(const std::string& tenant, TimePoint now) {
    advance_to(now);
    TenantBucket* const bucket = find_bucket(tenant_id(tenant));
    if (bucket == nullptr || !refill_clock_.is_running(now)) return;
    bucket->advance_to(refill_clock_);
    bucket->level += std::clamp(bucket->capacity_share - bucket->reserved_units() - bucket->level, 0.0, 1.0);
    queue_update(*bucket);
    if (bucket->queued > 0) plan_immediately_ = true;
}

void QuotaBalancer::Impl::tick(TimePoint now, Actions& actions) {
    advance_to(now);
    plan_immediately_ = false;
    for (const std::uint32_t bucket_index : queued_buckets_) {
        TenantBucket& bucket = buckets_[bucket_index];
        bucket.advance_to(refill_clock_);
        wake_queued(bucket, now, actions);
        plan_requests(bucket, now);
    }
    send_urgent(now, actions);
    if (now >= next_routine_send_) {
        bool all_sent = true;
        for (int neighbour_index = 0; neighbour_index < static_cast<int>(neighbours_.size());
             ++neighbour_index) {
            if (now >= neighbours_[static_cast<std::size_t>(neighbour_index)].last_sent +
                           settings_.message_interval) {
                send_to_neighbour(neighbour_index, now, actions, false);
            } else {
                all_sent = false;
            }
        }
        std::erase_if(pending_updates_, [&](std::uint32_t bucket_index) {
            TenantBucket& bucket = buckets_[bucket_index];
            if (!all_sent || bucket.under_pressure(now)) return false;
            EntryDraft entry_draft;
            for (int neighbour_index = 0; neighbour_index < static_cast<int>(neighbours_.size());
                 ++neighbour_index)
                if (draft_entry(bucket, neighbour_index, now, entry_draft)) return false;
            bucket.update_pending = false;
            return true;
        });
        next_routine_send_ = pending_updates_.empty() ? TimePoint::max() : now + settings_.message_interval;
    }
    if (now >= last_sweep_ + kSweepInterval) erase_idle_buckets(now);
}

void QuotaBalancer::Impl::erase_idle_buckets(TimePoint now) {
    last_sweep_ = now;
    std::vector<std::uint32_t> idle_buckets;
    for (const auto& [id, bucket_index] : bucket_by_tenant_) {
        TenantBucket& bucket = buckets_[bucket_index];
        if (bucket.update_pending || bucket.queued > 0 || now < bucket.last_used + kBucketIdleTimeout)
            continue;
        bucket.advance_to(refill_clock_);
        if (bucket.reserved_units() > 0.0 || bucket.level < bucket.capacity_share * (1.0 - 1e-6)) continue;
        idle_buckets.push_back(bucket_index);
    }
    for (const std::uint32_t bucket_index : idle_buckets) erase_bucket(bucket_index);
}

TimePoint QuotaBalancer::Impl::next_deadline() const {
    if (plan_immediately_) return refill_clock_.current_time();
    TimePoint deadline = next_routine_send_;
    for (const Neighbour& neighbour : neighbours_)
        if (neighbour.urgent) deadline = std::min(deadline, neighbour.last_sent + settings_.urgent_interval);
    for (const std::uint32_t bucket_index : queued_buckets_) {
        const TenantBucket& bucket = buckets_[bucket_index];
        const double rate = refill_rate_of(bucket);
        if (rate > 0.0 && refill_clock_.is_running(refill_clock_.current_time()))
            deadline = std::min(deadline,
                                std::max(bucket.last_wakeup + kWakeInterval,
                                         refill_clock_.current_time() +
                                             to_duration(std::max(0.0, 1.0 - bucket.total_units()) / rate)));
        deadline = std::min(deadline, bucket.next_plan);
    }
    if (!bucket_by_tenant_.empty()) deadline = std::min(deadline, last_sweep_ + kSweepInterval);
    return deadline;
}

double QuotaBalancer::Impl::available_units(const std::string& tenant, TimePoint now) const {
    RefillClock clock = refill_clock_;    // looking changes nothing
    clock.advance(now);
    if (now >= clock.refill_until()) return 0.0;
    const std::uint64_t id = tenant_id(tenant);
    if (const auto found = bucket_by_tenant_.find(id); found != bucket_by_tenant_.end()) {
        TenantBucket bucket = buckets_[found->second];
        bucket.advance_to(clock);
        return bucket.total_units();
    }
    const TenantLimit* const limit = const_cast<Impl*>(this)->find_limit(id);
    return limit == nullptr ? 0.0 : implied_level(*limit, clock);
}

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
Statistics QuotaBalancer::statistics() const { return impl_->statistics(); }

}    // namespace shaletray::quota
