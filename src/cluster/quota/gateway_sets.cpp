#include "cluster/quota/gateway_sets.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace shaletray::quota {
namespace {

// Enough that hundreds of gateways get even parts of the tenants, and few enough that ranks are cheap.
constexpr std::uint64_t kGroups = 256;
// A member of a set holds so many units at least: some requests at a time, beside one that comes.
constexpr double kMinUnitsPerMember = 4.0;
// Sets of a few members would lose too large a part of a quota with one of them, so these make do with less.
constexpr std::size_t kFewMembers = 4;
constexpr double kMinUnitsPerMemberOfFew = 2.0;
constexpr std::uint32_t kNoRank = std::numeric_limits<std::uint32_t>::max();

std::uint64_t group_of(std::uint64_t tenant) { return tenant % kGroups; }

// A gateway's place in the order of a group: the smallest weight is the first.
std::uint64_t weight_of(std::uint64_t address_hash, std::uint64_t group) {
    return XXH3_64bits_withSeed(&address_hash, sizeof address_hash, group);
}

}    // namespace

SetSizeClass set_size_class(double full_capacity) {
    SetSizeClass result = 0;
    while (result < kMaxSetSizeClass) {
        const std::size_t next_size = set_size(result + 1);
        const double min_units = next_size <= kFewMembers ? kMinUnitsPerMemberOfFew : kMinUnitsPerMember;
        if (static_cast<double>(next_size) * min_units > full_capacity) break;
        ++result;
    }
    return result;
}

GatewaySets::GatewaySets(std::string self) : self_(std::move(self)), own_ranks_(kGroups, kNoRank) {}

bool GatewaySets::set_gateways(const std::vector<std::string>& sorted_addresses) {
    const bool unchanged =
        std::equal(sorted_addresses.begin(), sorted_addresses.end(), gateways_.begin(), gateways_.end(),
                   [](const std::string& address, const Gateway& known) { return address == known.address; });
    if (unchanged) return false;
    gateways_.clear();
    for (const std::string& address : sorted_addresses)
        gateways_.push_back({address, XXH3_64bits(address.data(), address.size())});
    const auto self = std::find_if(gateways_.begin(), gateways_.end(),
                                   [this](const Gateway& known) { return known.address == self_; });
    if (self == gateways_.end()) {
        own_ranks_.assign(kGroups, kNoRank);
        return true;
    }
    for (std::uint64_t group = 0; group < kGroups; ++group) {
        const std::uint64_t own_weight = weight_of(self->hash, group);
        own_ranks_[group] = static_cast<std::uint32_t>(
            std::count_if(gateways_.begin(), gateways_.end(),
                          [&](const Gateway& known) { return weight_of(known.hash, group) < own_weight; }));
    }
    return true;
}

bool GatewaySets::is_member(std::uint64_t tenant, SetSizeClass size_class) const {
    return own_ranks_[group_of(tenant)] < set_size(size_class);
}

std::vector<std::string> GatewaySets::members(std::uint64_t tenant, SetSizeClass size_class) const {
    std::vector<std::pair<std::uint64_t, const std::string*>> by_weight;
    for (const Gateway& known : gateways_)
        by_weight.emplace_back(weight_of(known.hash, group_of(tenant)), &known.address);
    const auto size = static_cast<std::ptrdiff_t>(std::min(by_weight.size(), set_size(size_class)));
    std::nth_element(by_weight.begin(), by_weight.begin() + size, by_weight.end());
    std::vector<std::string> addresses;
    for (auto it = by_weight.begin(); it != by_weight.begin() + size; ++it) addresses.push_back(*it->second);
    std::sort(addresses.begin(), addresses.end());
    return addresses;
}

}    // namespace shaletray::quota
