// Implements the part of QuotaBalancer::Impl that applies the tenants' gateway sets to buckets, and chooses
// the gateways with which a bucket exchanges units.
#include <algorithm>
#include <cmath>
#include <functional>

#include "cluster/quota/quota_balancer_impl.h"

namespace shaletray::quota {
namespace {

// In sets up to this size, adjacent members suffice as neighbours.
constexpr std::size_t kMaxSmallSetSize = 16;

// Returns the distances of the neighbours in the ring of the set's members. In a large set, requests reach
// only few members, distant from most units. So there are additional neighbours at increasing distances,
// through which units reach any member in a few steps.
std::vector<std::size_t> neighbour_distances(std::size_t ring_size) {
    std::vector<std::size_t> result;
    const auto add_distance = [&](std::size_t distance) {
        const bool in_ring = distance >= 1 && distance <= ring_size / 2;
        if (in_ring && (result.empty() || distance > result.back())) result.push_back(distance);
    };
    for (std::size_t distance = 1; distance <= kNearNeighbours; ++distance) add_distance(distance);
    if (ring_size <= kMaxSmallSetSize) return result;
    const double growth_factor =
        std::pow(static_cast<double>(ring_size) / 2.0 / kNearNeighbours, 1.0 / (kFarNeighbours + 0.5));
    double distance = kNearNeighbours;
    for (int i = 0; i < kFarNeighbours; ++i) {
        distance *= growth_factor;
        add_distance(static_cast<std::size_t>(std::lround(distance)));
    }
    return result;
}

// Returns the neighbours on both sides of `self` in the ring of sorted addresses, the nearest first; none
// where `self` is not in the ring.
std::vector<std::string> addresses_near(const std::vector<std::string>& ring, const std::string& self) {
    std::vector<std::string> addresses;
    const auto found = std::lower_bound(ring.begin(), ring.end(), self);
    if (found == ring.end() || *found != self) return addresses;
    const std::size_t ring_size = ring.size();
    const auto own_position = static_cast<std::size_t>(found - ring.begin());
    const auto add_position = [&](std::size_t position) {
        if (position == own_position) return;
        if (std::find(addresses.begin(), addresses.end(), ring[position]) != addresses.end()) return;
        addresses.push_back(ring[position]);
    };
    for (const std::size_t distance : neighbour_distances(ring_size)) {
        add_position((own_position + distance) % ring_size);
        add_position((own_position + ring_size - distance) % ring_size);
    }
    return addresses;
}

}    // namespace

// Returns the members of the tenant's set with which this gateway exchanges units; all of them are not dead.
// A gateway outside of the set asks some members, in an order that depends on its own address, so that
// requests are spread evenly over the members.
std::vector<std::string> QuotaBalancer::Impl::neighbour_addresses(const TenantBucket& bucket) const {
    std::vector<std::string> members = sets_.members(bucket.id, bucket.set_size_class);
    std::erase_if(members, [this](const std::string& address) {
        return !std::binary_search(ring_.begin(), ring_.end(), address);
    });
    if (bucket.in_set) return addresses_near(members, settings_.self);
    const auto order = [this](const std::string& address) {
        return std::hash<std::string>{}(settings_.self + "|" + address);
    };
    std::sort(members.begin(), members.end(),
              [&](const std::string& a, const std::string& b) { return order(a) < order(b); });
    members.resize(std::min<std::size_t>(members.size(), kMaxNeighbours));
    return members;
}

// Selects the neighbours of a bucket. Keeps the state of those that were neighbours before.
void QuotaBalancer::Impl::select_neighbours(TenantBucket& bucket) {
    const auto old_states = bucket.neighbours;
    const std::size_t old_count = bucket.neighbour_count;
    bucket.neighbours = {};
    bucket.neighbour_count = 0;
    for (const std::string& address : neighbour_addresses(bucket)) {
        const PeerTable::Index peer = peers_.find_or_create(address);
        NeighbourState& state = bucket.neighbours[bucket.neighbour_count++];
        state.peer = peer;
        for (std::size_t i = 0; i < old_count; ++i)
            if (old_states[i].peer == peer) state = old_states[i];
    }
}

void QuotaBalancer::Impl::apply_set_to_bucket(TenantBucket& bucket, const TenantLimit& limit) {
    const bool joins = limit.in_set && !bucket.in_set, leaves = !limit.in_set && bucket.in_set;
    if (joins) bucket.join_set(std::max(clock_of(bucket).integral(), limit.base_integral));
    if (leaves) bucket.leave_set();
    // Neighbours inside and outside of a set are used by different messages, so their state is discarded.
    if (joins || leaves) bucket.neighbour_count = 0;
    select_neighbours(bucket);
}

void QuotaBalancer::Impl::apply_sets_to_buckets() {
    buckets_.for_each([this](BucketTable::Index, TenantBucket& bucket) {
        const TenantLimit* const limit = limits_.find(bucket.id);
        if (limit == nullptr) return;
        apply_set_to_bucket(bucket, *limit);
        advance_bucket(bucket);
        queue_update(bucket);
    });
}

void QuotaBalancer::Impl::erase_unused_peers(TimePoint now) {
    std::vector<bool> used(peers_.capacity(), false);
    buckets_.for_each([&](BucketTable::Index, const TenantBucket& bucket) {
        for (std::size_t i = 0; i < bucket.neighbour_count; ++i) used[bucket.neighbours[i].peer] = true;
    });
    peers_.erase_unused([&used](PeerTable::Index peer) { return used[peer]; }, now);
}

}    // namespace shaletray::quota
