// A gateway's copy of the owners of shard keys, updated incrementally by the rows that changed. Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Maps shard keys to their owners. Its version never decreases. Not thread-safe.
class OwnerMap {
public:
    // Applies the output of encode_changes() for a base version that is at most version(). Returns true where
    // the update has a later version than the map, and false where it was ignored. Errors:
    // runtime::MalformedMessage; the map is then unchanged.
    boost::leaf::result<bool> apply(std::string_view changes);
    std::uint64_t version() const { return version_; }
    // Returns the row of a key, or null. Valid until the next apply(). O(log n) in the number of rows.
    const Assignment* find(const std::string& service, Key key) const;
    std::size_t row_count() const;

private:
    using Rows = std::map<Key, Assignment>;    // by their first key; no two overlap
    static void overlay(Rows& rows, const Assignment& row);

    std::uint64_t version_ = 0;
    std::map<std::string, Rows> services_;
};

}    // namespace shaletray::ownership
