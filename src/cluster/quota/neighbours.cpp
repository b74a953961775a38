#include "cluster/quota/neighbours.h"

#include <algorithm>
#include <cmath>

#include "cluster/quota/neighbour_state.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// How long the last sequence number of a former neighbour is kept, so that a delayed message of it isn't
// applied twice. Far above the age up to which a transfer is accepted.
constexpr Duration kFormerNeighbourRetention = 2s;
// Up to this many gateways, the adjacent ones are enough.
constexpr std::size_t kMaxSmallRingSize = 16;

// How far away on the ring the neighbours are. In a large cluster a tenant's requests come to few gateways,
// far from most units. So there are further neighbours at growing distances, over which units travel in a few
// steps.
std::vector<std::size_t> neighbour_distances(std::size_t ring_size) {
    std::vector<std::size_t> result;
    const auto add_distance = [&](std::size_t distance) {
        const bool in_ring = distance >= 1 && distance <= ring_size / 2;
        if (in_ring && (result.empty() || distance > result.back())) result.push_back(distance);
    };
    for (std::size_t distance = 1; distance <= kNearNeighbours; ++distance) add_distance(distance);
    if (ring_size <= kMaxSmallRingSize) return result;
    const double growth_factor =
        std::pow(static_cast<double>(ring_size) / 2.0 / kNearNeighbours, 1.0 / (kFarNeighbours + 0.5));
    double distance = kNearNeighbours;
    for (int i = 0; i < kFarNeighbours; ++i) {
        distance *= growth_factor;
        add_distance(static_cast<std::size_t>(std::lround(distance)));
    }
    return result;
}

template <class Range>
auto find_address(Range& neighbours, const std::string& address) {
    return std::find_if(neighbours.begin(), neighbours.end(),
                        [&](const Neighbour& neighbour) { return neighbour.address == address; });
}

}    // namespace

bool Neighbour::is_recently_heard(TimePoint now) const {
    return incarnation != 0 && now - last_heard <= kMaxEchoDelay;
}

std::optional<std::size_t> Neighbours::index_of(const std::string& address) const {
    const auto found = find_address(neighbours_, address);
    if (found == neighbours_.end()) return std::nullopt;
    return static_cast<std::size_t>(found - neighbours_.begin());
}

// On both sides of this gateway, the nearest first; none where it isn't in the ring itself.
std::vector<std::string> Neighbours::select_addresses() const {
    std::vector<std::string> addresses;
    const auto self = std::lower_bound(ring_.begin(), ring_.end(), self_);
    if (self == ring_.end() || *self != self_) return addresses;
    const std::size_t ring_size = ring_.size();
    const auto own_position = static_cast<std::size_t>(self - ring_.begin());
    const auto add_position = [&](std::size_t position) {
        if (position == own_position) return;
        if (std::find(addresses.begin(), addresses.end(), ring_[position]) != addresses.end()) return;
        addresses.push_back(ring_[position]);
    };
    for (const std::size_t distance : neighbour_distances(ring_size)) {
        add_position((own_position + distance) % ring_size);
        add_position((own_position + ring_size - distance) % ring_size);
    }
    return addresses;
}

// The former neighbour of this address, which is one no longer; a new one where there is none.
Neighbour Neighbours::take_former(const std::string& address) {
    const auto former = find_address(former_neighbours_, address);
    if (former == former_neighbours_.end()) return Neighbour{.address = address};
    Neighbour neighbour = std::move(*former);
    former_neighbours_.erase(former);
    return neighbour;
}

std::optional<Neighbours::IndexMapping> Neighbours::set_ring(std::vector<std::string> ring, TimePoint now) {
    if (ring == ring_) return std::nullopt;
    ring_ = std::move(ring);
    const std::vector<std::string> addresses = select_addresses();
    std::vector<Neighbour> new_neighbours;
    IndexMapping previous_indices;
    for (const std::string& address : addresses) {
        Neighbour former = take_former(address);
        previous_indices.push_back(index_of(address));
        const std::optional<std::size_t> previous = previous_indices.back();
        new_neighbours.push_back(previous ? neighbours_[*previous] : std::move(former));
    }
    std::erase_if(former_neighbours_, [&](const Neighbour& neighbour) {
        return now - neighbour.last_heard > kFormerNeighbourRetention;
    });
    for (Neighbour& neighbour : neighbours_) {
        if (std::find(addresses.begin(), addresses.end(), neighbour.address) == addresses.end())
            former_neighbours_.push_back(std::move(neighbour));
    }
    neighbours_ = std::move(new_neighbours);
    return previous_indices;
}

}    // namespace shaletray::quota
