// From segments of use records to batches for billing, each unit once: what is read, the place up to where it
// was read, what was sealed and what was handed on change in one transaction each. A kill between any two
// steps leaves what was committed, and the next run goes on from there.
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

// Called before each step that leaves a trace, by its name: where a test lets it fail.
using StepHook = std::function<void(const char* step)>;

struct CollectorSettings {
    std::string journal_directory;    // folder of segments
    std::string store_path;           // SQLite file
    std::uint64_t max_store_bytes = 0;
    Duration settling_time{5'000'000};                // after a minute's end, before it is sealed
    std::uint32_t max_batch_lines = 5000;             // in a batch, at most
    std::uint32_t records_per_transaction = 65536;    // read in one transaction
    int retained_batches = 10000;                     // that all have, for a sink that was set back
};

// One line of a batch: what a customer used in a minute under one version of its plan.
struct UsageLine {
    std::int64_t minute = 0;    // Unix time in minutes
    CustomerId customer{};
    std::uint32_t plan_index = 0, plan_version = 0, class_index = 0, gateway_index = 0;
    std::uint64_t reservation_version = 0;
    bool is_unrecorded = false;    // tries that were admitted and not recorded one by one
    std::uint64_t record_count = 0;
    std::int64_t unit_millionths = 0;    // millionths
    bool operator==(const UsageLine&) const = default;
};

struct UsageBatch {
    std::string exporter_name;     // the store's own name: two stores never number the same batch
    std::uint64_t batch_id = 0;    // from 1, without holes
    std::vector<UsageLine> lines;
};

struct UsageTotals {
    std::uint64_t record_count = 0, unrecorded_count = 0;
    std::int64_t unit_millionths = 0;
    bool operator==(const UsageTotals&) const = default;
};

class UsageCollector {
public:
    // Throws usage_store::StoreError.
    UsageCollector(CollectorSettings settings, usage_log::FileSystem& files, StepHook step = {});

    const std::string& exporter_name() const { return exporter_name_; }
    // Reads what is new in all segments, and removes those that are whole and safe in the store. How many
    // rows came in. Segments that cannot be read are told and left where they are.
    std::uint64_t ingest_records();
    // Seals what is older than the settling time, or all; in batches. How many batches.
    std::uint64_t seal_batches(TimePoint now, bool all);

    std::uint64_t last_sealed_batch() const;
    std::optional<UsageBatch> read_batch(std::uint64_t id);
    // How far a sink has been served; kept by name.
    std::uint64_t acknowledged_batch(const std::string& sink);
    void set_acknowledged(const std::string& sink, std::uint64_t upto);
    // Drops batches that all sinks have, but for the newest.
    void prune_batches(const std::vector<std::string>& sinks);
    std::uint64_t oldest_batch();

    // What was read, by gateway and life; what waits to be sealed; what was sealed.
    std::map<std::pair<std::uint32_t, std::uint64_t>, UsageTotals> stored_totals();
    UsageTotals pending_totals();
    UsageTotals exported_totals();
    struct ReadErrors {
        std::uint64_t damaged_slots = 0, torn_segments = 0;
    };
    ReadErrors read_errors();
    // Of segments that are there and not read yet.
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

// The schema, step by step.
std::vector<const char*> database_schema();
// Each line a whole record: "jsonl" or "csv" (with one line of names first).
enum class ExportFormat { JsonLines, Csv };
std::string write_batch(const UsageBatch& batch, ExportFormat form, const std::vector<std::string>& plans,
                        const std::vector<std::string>& classes);
std::string format_minute(std::int64_t minute);

}    // namespace shaletray::usage
