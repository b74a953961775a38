// Replicates the plan table's change log to all gateways through fields of the shared store. The gateway that
// owns the table writes the entries that others still lack, each gateway publishes its progress, and fields
// that were lost are written again. Single-threaded and pure: no I/O.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "data_plane/plans/field_exchange.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray::plans {

// Totals since the start, apart from gateways_behind.
struct ReplicationStatistics {
    std::uint64_t entries_written = 0, entries_received = 0;
    std::uint64_t foreign_entries = 0;    // entries or progress of another change log
    std::uint64_t bad_values = 0;
    std::size_t gateways_behind = 0;    // gateways whose published version is older than this one's
};

// Replication at one gateway, which either owns the plan table or follows the owner.
class ChangeReplicator : public plans::FieldExchange {
public:
    // Appends an entry to the plan table. Throws InvalidChange.
    using ApplyChange = std::function<void(const PlanChange&)>;

    // `apply_change` appends to `plan_table`, which must outlive the replicator.
    ChangeReplicator(int own_index, int gateway_count, bool is_owner, const PlanTable& plan_table,
                     ApplyChange apply_change);

    std::vector<std::pair<std::string, std::string>> fields_to_write() override;
    std::vector<std::string> fields_to_read() override;
    void on_field_read(const std::string& field, const std::string& value, TimePoint now) override;
    void on_field_absent(const std::string& field) override;
    ReplicationStatistics statistics() const;
    // Whether the store was read at least once without an entry newer than this gateway's; always true for
    // the owner. A gateway that has just started may hold old plans until then.
    bool is_current() const { return is_owner_ || is_current_; }

private:
    struct Progress {
        std::uint64_t version = 0, chain_hash = 0;
    };
    std::string own_progress() const;
    std::uint64_t first_missing_version() const;

    int own_index_, gateway_count_;
    bool is_owner_, is_current_ = false;
    const PlanTable& plan_table_;
    ApplyChange apply_change_;
    std::map<int, Progress> progress_by_gateway_;
    std::string published_progress_;    // this gateway's progress as read back from the store
    // Chain hashes of the entries that were read back, by version.
    std::map<std::uint64_t, std::uint64_t> published_entries_;
    ReplicationStatistics statistics_;
};

}    // namespace shaletray::plans
