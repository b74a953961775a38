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

// Rows that the new one covers in part keep the rest.
void OwnerMap::overlay(Rows& rows, const Assignment& row) {
    auto next = rows.upper_bound(row.keys.first);
    if (next != rows.begin()) --next;
    while (next != rows.end() && next->second.keys.first <= row.keys.last) {
        const Assignment former = next->second;
        if (!former.keys.overlaps(row.keys)) {
            ++next;
            continue;
        }
        next = rows.erase(next);
        if (former.keys.first < row.keys.first) {
            Assignment before = former;
            before.keys.last = static_cast<Key>(row.keys.first - 1);
            rows.emplace(before.keys.first, std::move(before));
        }
        if (former.keys.last > row.keys.last) {
            Assignment after = former;
            after.keys.first = static_cast<Key>(row.keys.last + 1);
            rows.emplace(after.keys.first, std::move(after));
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
