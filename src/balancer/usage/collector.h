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
using Step = std::function<void(const char* step)>;

struct CollectorSettings {
    std::string journal;    // folder of segments
    std::string store;      // SQLite file
    std::uint64_t most_bytes = 0;
    Duration settle{5'000'000};            // after a minute's end, before it is sealed
    std::uint32_t lines = 5000;            // in a batch, at most
    std::uint32_t rows_at_once = 65536;    // read in one transaction
    int keep_batches = 10000;              // that all have, for a sink that was set back
};

// One line of a batch: what a customer used in a minute under one version of its plan.
struct Line {
    std::int64_t minute = 0;    // Unix time in minutes
    CustomerId customer{};
    std::uint32_t plan = 0, plan_version = 0, class_index = 0, gateway = 0;
    std::uint64_t reservation = 0;
    bool gap = false;    // tries that were admitted and not recorded one by one
    std::uint64_t rows = 0;
    std::int64_t units = 0;    // millionths
    bool operator==(const Line&) const = default;
};

struct Batch {
    std::string exporter;    // the store's own name: two stores never number the same batch
    std::uint64_t id = 0;    // from 1, without holes
    std::vector<Line> lines;
};

struct Sums {
    std::uint64_t rows = 0, gap_rows = 0;
    std::int64_t units = 0;
    bool operator==(const Sums&) const = default;
};

class Collector {
public:
    // Throws usage_store::StoreError.
    Collector(CollectorSettings settings, usage_log::Files& files, Step step = {});

    const std::string& exporter() const { return exporter_; }
    // Reads what is new in all segments, and removes those that are whole and safe in the store. How many
    // rows came in. Segments that cannot be read are told and left where they are.
    std::uint64_t ingest();
    // Seals what is older than the settling time, or all; in batches. How many batches.
    std::uint64_t seal(TimePoint now, bool all);

    std::uint64_t sealed() const;
    std::optional<Batch> batch(std::uint64_t id);
    // How far a sink has been served; kept by name.
    std::uint64_t served(const std::string& sink);
    void serve(const std::string& sink, std::uint64_t upto);
    // Drops batches that all sinks have, but for the newest.
    void prune(const std::vector<std::string>& sinks);
    std::uint64_t oldest();

    // What was read, by gateway and life; what waits to be sealed; what was sealed.
    std::map<std::pair<std::uint32_t, std::uint64_t>, Sums> stored();
    Sums pending();
    Sums exported();
    struct Trouble {
        std::uint64_t damaged = 0, torn = 0;
    };
    Trouble trouble();
    // Of segments that are there and not read yet.
    Sums waiting();
    const std::vector<std::string>& complaints() const { return complaints_; }
    usage_store::Database& database() { return database_; }

private:
    struct Cursor {
        std::uint32_t next = 0;
        bool ended = false;
    };
    void step(const char* name) const {
        if (step_) step_(name);
    }
    std::uint64_t ingest(const usage_log::SegmentName& name, const std::string& path);
    Cursor cursor_of(const usage_log::SegmentName& name);
    Sums sums(std::string_view sql);

    CollectorSettings s_;
    usage_log::Files& files_;
    Step step_;
    usage_store::Database database_;
    std::string exporter_;
    std::vector<std::string> complaints_;
    usage_store::Statement cursor_, put_cursor_, add_pending_, add_total_;
};

// The schema, step by step.
std::vector<const char*> schema();
// Each line a whole record: "jsonl" or "csv" (with one line of names first).
enum class Form { JsonLines, Csv };
std::string write_batch(const Batch& batch, Form form, const std::vector<std::string>& plans,
                        const std::vector<std::string>& classes);
std::string minute_text(std::int64_t minute);

}    // namespace shaletray::usage
