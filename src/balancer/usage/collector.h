// Aggregates segments of usage records into batches for billing, and counts each unit exactly once: the
// records and the read position change in one transaction, as do sealed batches and export positions. After a
// kill at any step the next run continues from what was committed. For one thread and one process at a time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer/usage_log/segment.h"
#include "balancer/usage_store/database.h"

namespace shaletray::usage {

using decision::Duration;
using decision::TimePoint;
using usage_log::CustomerId;

// Called with the name of each step before its effect, so that tests can make it fail.
using StepHook = std::function<void(const char* step)>;

// Paths and limits.
struct CollectorSettings {
    std::string journal_directory;    // directory of the segments
    std::string store_path;           // SQLite file
    std::uint64_t max_store_bytes = 0;
    Duration settling_time{5'000'000};                // between the end of a minute and its sealing
    std::uint32_t max_batch_lines = 5000;             // per batch
    std::uint32_t records_per_transaction = 65536;    // bounds the size of a transaction
    int retained_batches = 10000;                     // acknowledged batches kept for sinks that lose data
};

// One line of a batch: a customer's usage in one minute under one version of its plan.
struct UsageLine {
    std::int64_t minute = 0;    // Unix time in minutes
    CustomerId customer{};
    std::uint32_t plan_index = 0, plan_version = 0, class_index = 0, gateway_index = 0;
    std::uint64_t reservation_version = 0;
    bool is_unrecorded = false;    // admitted requests that were counted, but not recorded
    std::uint64_t record_count = 0;
    std::int64_t unit_millionths = 0;    // an integer, so that sums are exact
    bool operator==(const UsageLine&) const = default;
};

// A sealed batch, which never changes.
struct UsageBatch {
    std::string exporter_name;     // of the store; makes batch ids unique across stores
    std::uint64_t batch_id = 0;    // consecutive from 1
    std::vector<UsageLine> lines;
};

// Sums of records, to compare what was read and exported.
struct UsageTotals {
    std::uint64_t record_count = 0, unrecorded_count = 0;
    std::int64_t unit_millionths = 0;
    bool operator==(const UsageTotals&) const = default;
};

// Owns the database.
class UsageCollector {
public:
    // Throws usage_store::StoreError.
    UsageCollector(CollectorSettings settings, usage_log::FileSystem& file_system, StepHook step_hook = {});

    const std::string& exporter_name() const { return exporter_name_; }
    // Reads new records of all segments into the store, and removes ended segments that were read completely.
    // Returns the number of records. Unreadable segments stay and cause a warning.
    std::uint64_t ingest_records();
    // Seals minutes older than the settling time, or all, and returns the number of new batches.
    std::uint64_t seal_batches(TimePoint now, bool all);

    std::uint64_t last_sealed_batch() const;
    // Empty if there is no such batch, or it was pruned.
    std::optional<UsageBatch> read_batch(std::uint64_t id);
    // The last batch that the sink has acknowledged; stored by its name.
    std::uint64_t acknowledged_batch(const std::string& sink);
    void set_acknowledged(const std::string& sink, std::uint64_t last_batch);
    // Removes batches that all sinks have acknowledged, except the newest retained_batches.
    void prune_batches(const std::vector<std::string>& sinks);
    std::uint64_t oldest_batch();

    // Totals of records that were read, by gateway and incarnation; of those not sealed yet; of those sealed.
    std::map<std::pair<std::uint32_t, std::uint64_t>, UsageTotals> stored_totals();
    UsageTotals pending_totals();
    UsageTotals exported_totals();
    struct ReadErrors {
        std::uint64_t damaged_slots = 0, torn_segments = 0;
    };
    ReadErrors read_errors();
    // Totals of records in segments that were not read yet.
    UsageTotals unread_totals();
    const std::vector<std::string>& warnings() const { return warnings_; }
    usage_store::Database& database() { return database_; }

private:
    struct Cursor {
        std::uint32_t next_slot = 0;
        bool is_ended = false;
    };
    void run_step_hook(const char* name) const {
        if (step_hook_) step_hook_(name);
    }
    std::uint64_t ingest_records(const usage_log::SegmentName& name, const std::string& path);
    Cursor cursor_of(const usage_log::SegmentName& name);
    UsageTotals query_totals(std::string_view sql);

    CollectorSettings settings_;
    usage_log::FileSystem& file_system_;
    StepHook step_hook_;
    usage_store::Database database_;
    std::string exporter_name_;
    std::vector<std::string> warnings_;
    usage_store::Statement read_cursor_statement_, write_cursor_statement_, add_pending_statement_,
        add_total_statement_;
};

// The schema's migrations, in order.
std::vector<const char*> database_schema();
// JSON Lines, or CSV with a header line.
enum class ExportFormat { JsonLines, Csv };
// The batch as text, one line per usage line, with the names of plans and classes.
std::string write_batch(const UsageBatch& batch, ExportFormat export_format,
                        const std::vector<std::string>& plans, const std::vector<std::string>& classes);
// A Unix minute as ISO 8601 text.
std::string format_minute(std::int64_t minute);

}    // namespace shaletray::usage
