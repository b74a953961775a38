// The table of the owners of shard keys, for services whose keys are divided among their servers. It is the
// value on which the controllers reach consensus. The rules and their reasons are in
// docs/design/key-ownership.md. Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::ownership {

using Key = std::uint16_t;
constexpr std::uint32_t kKeyCount = 65536;

// The keys from `first` to `last`, both inclusive.
struct KeyRange {
    Key first = 0, last = 0;
    std::uint32_t size() const { return std::uint32_t{last} - first + 1; }
    bool contains(Key key) const { return first <= key && key <= last; }
    bool contains(const KeyRange& other) const { return first <= other.first && other.last <= last; }
    bool overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
    auto operator<=>(const KeyRange&) const = default;
};

// A row of the table: a key range and its owner. Whenever its owner or bounds change, the row gets a new
// fence.
struct Assignment {
    KeyRange keys;
    std::string owner;            // a server's id
    std::uint64_t fence = 0;      // above all earlier fences of these keys
    std::uint64_t changed = 0;    // the table's version when the row last changed
    bool settled = false;         // no other server can hold its keys: the owner may be granted them
    // Owner and fence of the row from which the keys were cut. Empty: there is no previous owner that could
    // prove the release.
    std::string previous_owner{};
    std::uint64_t previous_fence = 0;
    std::string handover{};    // data from the previous owner for the new one; empty: none
    bool operator==(const Assignment&) const = default;
};

// The rows of one service, ascending by key. They cover each key exactly once.
using Assignments = std::vector<Assignment>;

// The rows of a service are never removed, so the keys of a service without rows were never granted to a
// server.
struct OwnershipTable {
    std::uint64_t version = 0;    // 0: no table was committed yet
    Duration hold{0};             // hold time that each grant gives an owner
    std::map<std::string, Assignments> services;
    bool operator==(const OwnershipTable&) const = default;
};

std::string encode(const OwnershipTable& table);
// Encodes only the rows that changed after `version`, for OwnerMap::apply().
std::string encode_changes(const OwnershipTable& table, std::uint64_t version);
// Errors: runtime::MalformedMessage. Empty input decodes to an empty table.
boost::leaf::result<OwnershipTable> decode(std::string_view bytes);

// A key range that a server reports to hold, with the fence by which it holds it.
struct HeldRange {
    KeyRange keys;
    std::uint64_t fence = 0;
    bool operator==(const HeldRange&) const = default;
};
// A key range that a server reports to have released, with data for the next owner.
struct ReleasedRange {
    KeyRange keys;
    std::string handover;
    bool operator==(const ReleasedRange&) const = default;
};
// What a server reports in a heartbeat about the keys that it holds.
struct HoldReport {
    std::vector<HeldRange> held;    // held, or still used by requests in progress
    std::vector<ReleasedRange> released;
    bool operator==(const HoldReport&) const = default;
};

}    // namespace shaletray::ownership
