#include "cluster/ownership/settlement_tracker.h"

#include <algorithm>

#include "cluster/ownership/grant_rules.h"

namespace shaletray::ownership {
namespace {

bool holds_all(const HoldReport& report, const KeyRange& keys, std::uint64_t fence) {
    return std::any_of(report.held.begin(), report.held.end(), [&](const HeldRange& held) {
        return held.fence == fence && held.keys.contains(keys);
    });
}

bool holds_any(const HoldReport& report, const KeyRange& keys) {
    return std::any_of(report.held.begin(), report.held.end(),
                       [&](const HeldRange& held) { return held.keys.overlaps(keys); });
}

std::string handover_for(const HoldReport& report, const KeyRange& keys) {
    const auto found =
        std::find_if(report.released.begin(), report.released.end(),
                     [&](const ReleasedRange& released) { return released.keys.contains(keys); });
    return found == report.released.end() ? std::string() : found->handover;
}

// Returns the part that the previous owner keeps of the row `origin`, from which `cut` was cut. Null: it
// keeps no part.
const Assignment* kept_part(const Assignments& rows, const Assignment& cut, const KeyRange& origin) {
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const Assignment& row) {
        return row.settled && row.owner == cut.previous_owner && row.fence == cut.fence &&
               origin.contains(row.keys);
    });
    return found == rows.end() ? nullptr : &*found;
}

// Whether the report shows that the previous owner holds the part that it keeps, with the new fence, and none
// of the keys of `row`.
bool proves_release(const Assignments& rows, const Assignment& row, const KeyRange& origin,
                    const HoldReport& report) {
    const Assignment* const kept = kept_part(rows, row, origin);
    return kept != nullptr && holds_all(report, kept->keys, kept->fence) && !holds_any(report, row.keys);
}

}    // namespace

void SettlementTracker::on_table(const OwnershipTable& table, TimePoint now) {
    if (table.version == table_.version) return;
    std::map<RowId, Unsettled> unsettled;
    std::set<RowId> held;
    for (const auto& [service, rows] : table.services) {
        for (const Assignment& row : rows) {
            const RowId id{service, row.keys, row.fence};
            if (held_by_owner_.contains(id)) held.insert(id);
            if (row.settled) continue;
            const auto existing = unsettled_.find(id);
            unsettled[id] =
                existing == unsettled_.end() ? make_unsettled(service, row, now) : existing->second;
        }
    }
    unsettled_ = std::move(unsettled);
    held_by_owner_ = std::move(held);
    table_ = table;
}

// Called while `table_` is still the previous table.
SettlementTracker::Unsettled SettlementTracker::make_unsettled(const std::string& service,
                                                               const Assignment& row, TimePoint now) const {
    Unsettled unsettled;
    unsettled.learned_at = now;
    const auto rows = table_.services.find(service);
    if (row.previous_owner.empty() || rows == table_.services.end()) return unsettled;
    for (const Assignment& old_row : rows->second) {
        const bool is_origin = old_row.fence == row.previous_fence && old_row.owner == row.previous_owner &&
                               old_row.keys.contains(row.keys);
        if (is_origin && held_by_owner_.contains({service, old_row.keys, old_row.fence}))
            unsettled.origin = old_row.keys;
    }
    return unsettled;
}

bool SettlementTracker::on_report(const std::string& service, const std::string& server_id,
                                  const HoldReport& report) {
    const auto found = table_.services.find(service);
    if (found == table_.services.end()) return false;
    bool has_proof = false;
    for (const Assignment& row : found->second) {
        const RowId id{service, row.keys, row.fence};
        if (row.settled && row.owner == server_id && holds_all(report, row.keys, row.fence))
            held_by_owner_.insert(id);
        if (row.settled || row.previous_owner != server_id) continue;
        Unsettled& unsettled = unsettled_.at(id);
        if (unsettled.is_released || !unsettled.origin) continue;
        if (!proves_release(found->second, row, *unsettled.origin, report)) continue;
        unsettled.is_released = has_proof = true;
        unsettled.handover = handover_for(report, row.keys);
    }
    return has_proof;
}

std::optional<OwnershipTable> SettlementTracker::settle(std::uint64_t next_version, TimePoint now,
                                                        bool by_wait) const {
    std::optional<OwnershipTable> next;
    for (const auto& [id, unsettled] : unsettled_) {
        const bool has_waited = by_wait && now - unsettled.learned_at >= settle_wait(table_.hold);
        if (!unsettled.is_released && !has_waited) continue;
        if (!next) next = table_;
        next->version = next_version;
        Assignments& rows = next->services.at(id.service);
        const KeyRange& keys = id.keys;
        const auto row = std::find_if(rows.begin(), rows.end(), [&keys](const Assignment& candidate) {
            return candidate.keys == keys;
        });
        row->settled = true;
        row->changed = next_version;
        row->handover = unsettled.handover;
    }
    return next;
}

TimePoint SettlementTracker::next_deadline() const {
    TimePoint deadline = TimePoint::max();
    for (const auto& [id, unsettled] : unsettled_)
        deadline = std::min(deadline, unsettled.learned_at + settle_wait(table_.hold));
    return deadline;
}

}    // namespace shaletray::ownership
