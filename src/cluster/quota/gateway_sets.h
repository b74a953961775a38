// The gateway sets of tenants: the gateways that hold a tenant's units, chosen by rendezvous hashing among
// all gateways that may refill. Pure.
//
// A tenant's quota is divided only among the gateways of its set. Sets are small enough that each member
// holds some whole units. If a quota were divided among hundreds of gateways, each would hold less than the
// one unit that a request takes, and no request would ever be granted (the incident tenants-never-served).
//
// Tenants are grouped by their id, and each group has its own order of the gateways. A set of size n consists
// of the first n gateways in the group's order. Invariant: of all gateways that may refill at a given time,
// at most n consider themselves members of a set of size n, as long as each of them knows all the others.
// RefillClocks covers gateways that know only some of the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace shaletray::quota {

// log2 of the size of a set. Sizes are powers of two, so that most changes of a quota leave the set
// unchanged.
using SetSizeClass = std::uint8_t;
constexpr SetSizeClass kMaxSetSizeClass = 6;
constexpr std::size_t set_size(SetSizeClass size_class) { return std::size_t{1} << size_class; }
// Returns the size class for a tenant of which all gateways together may hold `full_capacity` units.
SetSizeClass set_size_class(double full_capacity);

// Determines the members of sets as seen by one gateway. Not thread-safe.
class GatewaySets {
public:
    explicit GatewaySets(std::string self);

    // Sets the addresses of all gateways that may refill, including this one. Returns false where they have
    // not changed. Takes time proportional to the number of gateways times the number of groups.
    bool set_gateways(const std::vector<std::string>& sorted_addresses);
    std::size_t gateway_count() const { return gateways_.size(); }
    // Whether this gateway is in the tenant's set.
    bool is_member(std::uint64_t tenant, SetSizeClass size_class) const;
    // Returns the addresses of the members of the tenant's set, sorted.
    std::vector<std::string> members(std::uint64_t tenant, SetSizeClass size_class) const;

private:
    struct Gateway {
        std::string address;
        std::uint64_t hash = 0;    // of the address
    };
    std::string self_;
    std::vector<Gateway> gateways_;
    std::vector<std::uint32_t> own_ranks_;    // this gateway's rank in the order of each group
};

}    // namespace shaletray::quota
