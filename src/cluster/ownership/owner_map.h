// The owners of shard keys as a gateway knows them, kept up to date by the rows that changed. Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Never goes back to an earlier version. Not thread-safe.
class OwnerMap {
public:
    // Takes over what encode_changes wrote for a version that is not above this one's. True where the map has
    // changed: the update was for a later version than this. Errors: runtime::MalformedMessage; then nothing
    // changed.
    boost::leaf::result<bool> apply(std::string_view changes);
    std::uint64_t version() const { return version_; }
    // The row of a key, or null. Valid until the next apply(). O(log n) in the rows.
    const Assignment* find(const std::string& service, Key key) const;
    std::size_t row_count() const;

private:
    using Rows = std::map<Key, Assignment>;    // by their first keys; none overlap
    static void overlay(Rows& rows, const Assignment& row);

    std::uint64_t version_ = 0;
    std::map<std::string, Rows> services_;
};

}    // namespace shaletray::ownership
