// Finds out which unsettled rows may be settled: those whose wait is over, and those whose previous owner has
// proven that it holds nothing of them any more. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// One controller's view. Not thread-safe. Nothing of it is stored: a controller that starts anew waits anew.
//
// Invariant: a row counts as released by its previous owner P only if P once reported to hold all of the row
// that it was cut from, with that row's fence, and later reported the part that it keeps with the new fence
// and nothing of the released row. P then refuses every earlier row that overlaps it, since it has seen a
// higher fence there.
class SettlementTracker {
public:
    // The committed table is this one now.
    void on_table(const OwnershipTable& table, TimePoint now);
    // A server of the service reported what it holds. True where a row was proven to be released by it.
    bool on_report(const std::string& service, const std::string& server_id, const HoldReport& report);
    // The known table with all rows settled that may be by `now`, at the version `next_version`; none: there
    // is no such row. `by_wait`: whether rows whose wait is over are among them.
    std::optional<OwnershipTable> settle(std::uint64_t next_version, TimePoint now, bool by_wait) const;
    // When the next wait is over; TimePoint::max(): there is none.
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
        std::optional<KeyRange>
            origin;    // the row it was cut from, if its owner reported to hold all of that
        bool is_released = false;
        std::string handover{};
    };
    Unsettled make_unsettled(const std::string& service, const Assignment& row, TimePoint now) const;

    OwnershipTable table_;
    std::map<RowId, Unsettled> unsettled_;    // of table_
    std::set<RowId> held_by_owner_;           // rows of table_ that their owners reported to hold whole
};

}    // namespace shaletray::ownership
