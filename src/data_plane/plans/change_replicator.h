// How the book's entries reach all gateways over the board: the keeper puts up what somebody still lacks,
// each says how far it is, and all of it is written again where it does not stand there. Pure.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "data_plane/plans/field_exchange.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray::plans {

struct ReplicationStatistics {
    std::uint64_t entries_written = 0, entries_received = 0;
    std::uint64_t foreign_entries = 0;    // entries or states of another book
    std::uint64_t bad_values = 0;
    std::size_t gateways_behind = 0;    // gateways that are not where this one is, as they last said
};

class ChangeReplicator : public plans::FieldExchange {
public:
    using ApplyChange = std::function<void(const PlanChange&)>;    // throws BadChange

    // `book` outlives it; `take` puts an entry into that book.
    ChangeReplicator(int own_index, int gateway_count, bool is_owner, const PlanTable& plan_table,
                     ApplyChange apply_change);

    std::vector<std::pair<std::string, std::string>> fields_to_write() override;
    std::vector<std::string> fields_to_read() override;
    void on_field_read(const std::string& field, const std::string& value, TimePoint now) override;
    void on_field_absent(const std::string& field) override;
    ReplicationStatistics statistics() const;
    // Nothing newer stood on the board when it was last read; a keeper has all there is. Until then a gateway
    // that starts may hold an old book.
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
    std::string published_progress_;    // our own place as it stands on the board
    std::map<std::uint64_t, std::uint64_t>
        published_entries_;    // entries that were read back, by their chain
    ReplicationStatistics statistics_;
};

}    // namespace shaletray::plans
