// Builds tables and servers for the tests of key ownership, and checks steps between tables.
#pragma once

#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

#include "cluster/ownership/ownership_planner.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership::test {

using namespace std::chrono_literals;

inline Servers servers_in_service(std::initializer_list<std::string> ids) {
    Servers servers;
    for (const std::string& id : ids) servers[id];
    return servers;
}

// Returns the planned successor of a table, or the same table where nothing changes.
inline OwnershipTable planned(const OwnershipTable& table, const Servers& servers, std::uint64_t version) {
    auto next = OwnershipPlanner(table, version).plan({{"saves", servers}});
    if (!next) return table;
    if (next->hold == Duration(0)) next->hold = 4s;
    return *next;
}

inline std::uint32_t keys_of(const OwnershipTable& table, const std::string& owner) {
    std::uint32_t keys = 0;
    for (const Assignment& row : table.services.at("saves"))
        if (row.owner == owner) keys += row.keys.size();
    return keys;
}

// Returns the table with all rows settled, as after all waits have elapsed.
inline OwnershipTable settled(OwnershipTable table, std::uint64_t version) {
    for (auto& [service, rows] : table.services) {
        for (Assignment& row : rows) {
            if (row.settled) continue;
            row.settled = true;
            row.changed = table.version = version;
        }
    }
    return table;
}

// Checks the invariants of a step between two tables: every key has one owner; fences never decrease; a key
// whose owner changed is not settled; bounds change only with a new fence.
inline void check_step(const OwnershipTable& before, const OwnershipTable& after) {
    const Assignments& rows = after.services.at("saves");
    std::uint32_t next_key = 0;
    for (const Assignment& row : rows) {
        cr_assert(row.keys.first == next_key, "a gap or an overlap at %u", next_key);
        next_key = std::uint32_t{row.keys.last} + 1;
        cr_assert(row.fence <= after.version && row.changed <= after.version);
    }
    cr_assert(next_key == kKeyCount);
    const auto old_rows = before.services.find("saves");
    if (old_rows == before.services.end()) return;
    for (const Assignment& old_row : old_rows->second) {
        for (const Assignment& row : rows) {
            if (!row.keys.overlaps(old_row.keys)) continue;
            cr_assert(row.fence >= old_row.fence);
            if (row.fence == old_row.fence) cr_assert(row.keys == old_row.keys && row.owner == old_row.owner);
            if (row.owner != old_row.owner) cr_assert(!row.settled && row.fence == after.version);
            if (!old_row.settled && row.fence != old_row.fence) cr_assert(!row.settled);
        }
    }
}

}    // namespace shaletray::ownership::test
