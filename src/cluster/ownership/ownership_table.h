// Who owns which shard keys of the services whose keys are divided among their servers: the value that the
// controllers agree on. The rules and the reasons stand in docs/design/key-ownership.md. Pure.
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

// The keys from `first` to `last`, both included.
struct KeyRange {
    Key first = 0, last = 0;
    std::uint32_t size() const { return std::uint32_t{last} - first + 1; }
    bool contains(Key key) const { return first <= key && key <= last; }
    bool contains(const KeyRange& other) const { return first <= other.first && other.last <= last; }
    bool overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
    auto operator<=>(const KeyRange&) const = default;
};

// A range and its owner. Whenever the owner or the bounds change, the row gets a new fence.
struct Assignment {
    KeyRange keys;
    std::string owner;            // a server's id
    std::uint64_t fence = 0;      // above all fences that these keys had before
    std::uint64_t changed = 0;    // the table's version when the row last changed
    bool settled = false;         // no other server can hold any of these keys: the owner may be granted them
    // Whose row with which fence the keys were cut from; empty: nobody's whose release could be proven.
    std::string previous_owner{};
    std::uint64_t previous_fence = 0;
    std::string handover{};    // what the previous owner left for the next one; empty: nothing
    bool operator==(const Assignment&) const = default;
};

// Of one service: ascending, and covering all keys once each.
using Assignments = std::vector<Assignment>;

// A service that had rows once has rows for ever, so that one without rows was never granted to anybody.
struct OwnershipTable {
    std::uint64_t version = 0;    // 0: there was none yet
    Duration hold{0};             // what the owners are granted at a time
    std::map<std::string, Assignments> services;
    bool operator==(const OwnershipTable&) const = default;
};

std::string encode(const OwnershipTable& table);
// Only the rows that changed after `version`, for OwnerMap::apply.
std::string encode_changes(const OwnershipTable& table, std::uint64_t version);
// Errors: runtime::MalformedMessage. No bytes are an empty table.
boost::leaf::result<OwnershipTable> decode(std::string_view bytes);

// What a server reports of itself in a heartbeat.
struct HeldRange {
    KeyRange keys;
    std::uint64_t fence = 0;
    bool operator==(const HeldRange&) const = default;
};
struct ReleasedRange {
    KeyRange keys;
    std::string handover;
    bool operator==(const ReleasedRange&) const = default;
};
struct HoldReport {
    std::vector<HeldRange> held;    // held, or still worked on
    std::vector<ReleasedRange> released;
    bool operator==(const HoldReport&) const = default;
};

}    // namespace shaletray::ownership
