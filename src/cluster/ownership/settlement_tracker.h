// Determines which unsettled rows may be settled: those whose wait has elapsed, and those whose previous
// owner has proven that it no longer holds any of their keys. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// The state of one controller. Not thread-safe. It is not persisted: a controller that restarts begins each
// wait again.
//
// Invariant: a row counts as released by its previous owner P only if P has reported to hold all of the row
// from which it was cut, with that row's fence, and later has reported to hold the part that it keeps, with
// the new fence, and none of the keys of the released row. From then on P rejects every earlier row that
// overlaps the part that it keeps, such as the row from which both were cut, since it has seen a higher fence
// for those keys.
class SettlementTracker {
public:
    // Sets the committed table.
    void on_table(const OwnershipTable& table, TimePoint now);
    // Processes the report of a server of the service. Returns true where it proves the release of a row.
    bool on_report(const std::string& service, const std::string& server_id, const HoldReport& report);
    // Returns the committed table, at version `next_version`, with all rows settled that may be settled at
    // `now`; none where there is no such row. `by_wait`: whether to include rows whose wait has elapsed.
    std::optional<OwnershipTable> settle(std::uint64_t next_version, TimePoint now, bool by_wait) const;
    // When the next wait elapses, or TimePoint::max() where no row is waiting.
    TimePoint next_deadline() const;

private:
    struct RowId {
        std::string service;
        KeyRange keys;
        std::uint64_t fence = 0;
        auto operator<=>(const RowId&) const = default;
    };
    struct Unsettled {
        TimePoint learned_at{};
        std::optional<KeyRange> origin;    // row it was cut from, if its owner reported to hold all of it
        bool is_released = false;
        std::string handover{};
    };
    Unsettled make_unsettled(const std::string& service, const Assignment& row, TimePoint now) const;

    OwnershipTable table_;
    std::map<RowId, Unsettled> unsettled_;    // of table_
    std::set<RowId> held_by_owner_;           // rows of table_ that their owners reported to hold completely
};

}    // namespace shaletray::ownership
