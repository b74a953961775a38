#include "cluster/quota/gateway_sets.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace shaletray::quota {
namespace {

// Number of tenant groups: enough to spread tenants evenly over hundreds of gateways, and few enough that
// computing the ranks is cheap.
constexpr std::uint64_t kGroupCount = 256;
// Minimum number of units per member of a set, so that a member can serve several requests at a time.
constexpr double kMinUnitsPerMember = 4.0;
// Maximum size of a small set. In a small set the failure of one member loses a large part of the quota, so
// small sets are allowed fewer units per member in order to have more members.
constexpr std::size_t kSmallSetSize = 4;
constexpr double kMinUnitsPerMemberOfSmallSet = 2.0;
constexpr std::uint32_t kNoRank = std::numeric_limits<std::uint32_t>::max();

std::uint64_t group_of(std::uint64_t tenant) { return tenant % kGroupCount; }

// A gateway's weight in the rendezvous order of a group: the gateway with the smallest weight is first.
std::uint64_t weight_of(std::uint64_t address_hash, std::uint64_t group) {
    return XXH3_64bits_withSeed(&address_hash, sizeof address_hash, group);
}

}    // namespace

SetSizeClass set_size_class(double full_capacity) {
    SetSizeClass result = 0;
    while (result < kMaxSetSizeClass) {
        const std::size_t next_size = set_size(result + 1);
        const double min_units =
            next_size <= kSmallSetSize ? kMinUnitsPerMemberOfSmallSet : kMinUnitsPerMember;
        if (static_cast<double>(next_size) * min_units > full_capacity) break;
        ++result;
    }
    return result;
}

GatewaySets::GatewaySets(std::string self) : self_(std::move(self)), own_ranks_(kGroupCount, kNoRank) {}

bool GatewaySets::set_gateways(const std::vector<std::string>& sorted_addresses) {
    const bool is_unchanged = std::equal(
        sorted_addresses.begin(), sorted_addresses.end(), gateways_.begin(), gateways_.end(),
        [](const std::string& address, const Gateway& gateway) { return address == gateway.address; });
    if (is_unchanged) return false;
    gateways_.clear();
    for (const std::string& address : sorted_addresses)
        gateways_.push_back({address, XXH3_64bits(address.data(), address.size())});
    const auto self = std::find_if(gateways_.begin(), gateways_.end(),
                                   [this](const Gateway& gateway) { return gateway.address == self_; });
    if (self == gateways_.end()) {
        own_ranks_.assign(kGroupCount, kNoRank);
        return true;
    }
    for (std::uint64_t group = 0; group < kGroupCount; ++group) {
        const std::uint64_t own_weight = weight_of(self->hash, group);
        own_ranks_[group] = static_cast<std::uint32_t>(std::count_if(
            gateways_.begin(), gateways_.end(),
            [&](const Gateway& gateway) { return weight_of(gateway.hash, group) < own_weight; }));
    }
    return true;
}

bool GatewaySets::is_member(std::uint64_t tenant, SetSizeClass size_class) const {
    return own_ranks_[group_of(tenant)] < set_size(size_class);
}

std::vector<std::string> GatewaySets::members(std::uint64_t tenant, SetSizeClass size_class) const {
    std::vector<std::pair<std::uint64_t, const std::string*>> by_weight;
    for (const Gateway& gateway : gateways_)
        by_weight.emplace_back(weight_of(gateway.hash, group_of(tenant)), &gateway.address);
    const auto size = static_cast<std::ptrdiff_t>(std::min(by_weight.size(), set_size(size_class)));
    std::nth_element(by_weight.begin(), by_weight.begin() + size, by_weight.end());
    std::vector<std::string> addresses;
    for (auto it = by_weight.begin(); it != by_weight.begin() + size; ++it) addresses.push_back(*it->second);
    std::sort(addresses.begin(), addresses.end());
    return addresses;
}

}    // namespace shaletray::quota
