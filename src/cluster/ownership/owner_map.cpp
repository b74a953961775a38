#include "cluster/ownership/owner_map.h"

#include <iterator>

namespace shaletray::ownership {

boost::leaf::result<bool> OwnerMap::apply(std::string_view changes) {
    BOOST_LEAF_AUTO(table, decode(changes));
    if (table.version <= version_) return false;
    version_ = table.version;
    for (const auto& [service, rows] : table.services)
        for (const Assignment& row : rows) overlay(services_[service], row);
    return true;
}

// Inserts a row. Older rows that it covers are removed; of those that it covers in part, the rest remains.
void OwnerMap::overlay(Rows& rows, const Assignment& row) {
    auto next = rows.upper_bound(row.keys.first);
    if (next != rows.begin()) --next;
    while (next != rows.end() && next->second.keys.first <= row.keys.last) {
        const Assignment old_row = next->second;
        if (!old_row.keys.overlaps(row.keys)) {
            ++next;
            continue;
        }
        next = rows.erase(next);
        if (old_row.keys.first < row.keys.first) {
            Assignment head = old_row;
            head.keys.last = static_cast<Key>(row.keys.first - 1);
            rows.emplace(head.keys.first, std::move(head));
        }
        if (old_row.keys.last > row.keys.last) {
            Assignment tail = old_row;
            tail.keys.first = static_cast<Key>(row.keys.last + 1);
            rows.emplace(tail.keys.first, std::move(tail));
            break;
        }
    }
    rows.insert_or_assign(row.keys.first, row);
}

const Assignment* OwnerMap::find(const std::string& service, Key key) const {
    const auto rows = services_.find(service);
    if (rows == services_.end()) return nullptr;
    const auto next = rows->second.upper_bound(key);
    if (next == rows->second.begin()) return nullptr;
    const Assignment& row = std::prev(next)->second;
    return row.keys.contains(key) ? &row : nullptr;
}

std::size_t OwnerMap::row_count() const {
    std::size_t count = 0;
    for (const auto& [service, rows] : services_) count += rows.size();
    return count;
}

}    // namespace shaletray::ownership
