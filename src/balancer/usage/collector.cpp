#include "balancer/usage/collector.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace shaletray::usage {
namespace {

using usage_store::Statement;

constexpr std::int64_t kMicrosPerMinute = 60'000'000;

// Batches are numbered from 1, and lines from 1 within a batch. Both numbers identify a line permanently.
constexpr const char* kSchema1 = R"(
CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE segments (
    gateway INTEGER, incarnation INTEGER, number INTEGER, next INTEGER NOT NULL, ended INTEGER NOT NULL,
    damaged INTEGER NOT NULL, torn INTEGER NOT NULL,
    PRIMARY KEY (gateway, incarnation, number)) WITHOUT ROWID;
CREATE TABLE pending (
    minute INTEGER, customer INTEGER, plan INTEGER, version INTEGER, reservation INTEGER, class INTEGER,
    gateway INTEGER, gap INTEGER, rows INTEGER NOT NULL, units INTEGER NOT NULL,
    PRIMARY KEY (minute, customer, plan, version, reservation, class, gateway, gap)) WITHOUT ROWID;
CREATE TABLE totals (
    gateway INTEGER, incarnation INTEGER, rows INTEGER NOT NULL, gap_rows INTEGER NOT NULL,
    units INTEGER NOT NULL, PRIMARY KEY (gateway, incarnation)) WITHOUT ROWID;
CREATE TABLE batches (
    id INTEGER PRIMARY KEY, sealed_at INTEGER NOT NULL, lines INTEGER NOT NULL, rows INTEGER NOT NULL,
    gap_rows INTEGER NOT NULL, units INTEGER NOT NULL, dropped INTEGER NOT NULL DEFAULT 0);
CREATE TABLE lines (
    batch INTEGER, line INTEGER, minute INTEGER NOT NULL, customer INTEGER NOT NULL, plan INTEGER NOT NULL,
    version INTEGER NOT NULL, reservation INTEGER NOT NULL, class INTEGER NOT NULL, gateway INTEGER NOT NULL,
    gap INTEGER NOT NULL, rows INTEGER NOT NULL, units INTEGER NOT NULL,
    PRIMARY KEY (batch, line)) WITHOUT ROWID;
CREATE TABLE sinks (name TEXT PRIMARY KEY, upto INTEGER NOT NULL) WITHOUT ROWID;
)";

std::string make_exporter_name() {
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

}    // namespace

std::vector<const char*> database_schema() { return {kSchema1}; }

UsageCollector::UsageCollector(CollectorSettings settings, usage_log::FileSystem& file_system,
                               StepHook step_hook)
    : settings_(std::move(settings)),
      file_system_(file_system),
      step_hook_(std::move(step_hook)),
      database_({settings_.store_path, true, settings_.max_store_bytes, database_schema()}),
      read_cursor_statement_(
          database_, "SELECT next, ended FROM segments WHERE gateway=? AND incarnation=? AND number=?"),
      write_cursor_statement_(
          database_,
          "INSERT INTO segments VALUES (?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET next=excluded.next, "
          "ended=excluded.ended, damaged=damaged+excluded.damaged, torn=excluded.torn"),
      add_pending_statement_(database_,
                             "INSERT INTO pending VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET "
                             "rows=rows+excluded.rows, units=units+excluded.units"),
      add_total_statement_(
          database_,
          "INSERT INTO totals VALUES (?,?,?,?,?) ON CONFLICT DO UPDATE SET rows=rows+excluded.rows, "
          "gap_rows=gap_rows+excluded.gap_rows, units=units+excluded.units") {
    database_.run_transaction([&] {
        Statement statement(database_, "SELECT value FROM meta WHERE name='exporter'");
        statement.for_each_row([&] { exporter_name_ = statement.text_column(0); });
        if (!exporter_name_.empty()) return;
        exporter_name_ = make_exporter_name();
        Statement(database_, "INSERT INTO meta VALUES ('exporter', ?)").run(exporter_name_);
    });
}

std::uint64_t UsageCollector::ingest_records() {
    warnings_.clear();
    std::uint64_t ingested_records = 0;
    std::vector<std::pair<usage_log::SegmentName, std::string>> segments;
    for (const std::string& name : file_system_.list_directory(settings_.journal_directory)) {
        if (const auto parsed = usage_log::read_segment_name(name))
            segments.emplace_back(*parsed, settings_.journal_directory + "/" + name);
    }
    std::sort(segments.begin(), segments.end());
    for (const auto& [name, path] : segments) {
        try {
            ingested_records += ingest_records(name, path);
        } catch (const usage_log::FileError& error) {
            warnings_.push_back(fmt::format("{}: {}", path, error.what()));
        } catch (const usage_store::StoreError&) {
            throw;
        } catch (const std::runtime_error& error) {
            warnings_.emplace_back(error.what());
        }
    }
    // Ended segments are removed after a checkpoint, so that a failure of the machine loses no records.
    bool checkpointed = false;
    for (const auto& [name, path] : segments) {
        if (!cursor_of(name).is_ended) continue;
        if (!checkpointed) {
            run_step_hook("settle");
            database_.checkpoint_log();
            checkpointed = true;
        }
        run_step_hook("remove segment");
        file_system_.remove(path);
    }
    return ingested_records;
}

UsageCollector::Cursor UsageCollector::cursor_of(const usage_log::SegmentName& name) {
    Cursor cursor;
    read_cursor_statement_.for_each_row(
        [&] {
            cursor = {static_cast<std::uint32_t>(read_cursor_statement_.integer_column(0)),
                      read_cursor_statement_.integer_column(1) != 0};
        },
        name.gateway_index, name.incarnation, name.segment_number);
    return cursor;
}

std::uint64_t UsageCollector::ingest_records(const usage_log::SegmentName& name, const std::string& path) {
    Cursor cursor = cursor_of(name);
    std::uint64_t ingested_records = 0;
    while (!cursor.is_ended) {
        // Summed in memory first, as a customer may have many records in a minute.
        struct Key {
            std::int64_t minute;
            std::uint64_t customer;
            std::uint32_t plan, version;
            std::uint64_t reservation;
            std::uint32_t class_index;
            bool unrecorded;
            auto operator<=>(const Key&) const = default;
        };
        std::map<Key, std::pair<std::uint64_t, std::int64_t>> sums;
        UsageTotals total;
        const usage_log::ReadResult read_result = usage_log::read_segment(
            file_system_, path, cursor.next_slot, settings_.records_per_transaction,
            [&](const usage_log::SegmentHeader& header, const usage_log::UsageRecord& record) {
                if (header.gateway_index != name.gateway_index || header.incarnation != name.incarnation ||
                    header.segment_number != name.segment_number)
                    throw std::runtime_error(path + " holds a segment that does not match its file name");
                const bool unrecorded = record.kind == usage_log::UsageRecord::Kind::Unrecorded;
                const std::int64_t admitted_micros = record.admitted_at.time_since_epoch().count();
                auto& [records, units] =
                    sums[{admitted_micros / kMicrosPerMinute, static_cast<std::uint64_t>(record.customer),
                          record.plan_index, record.plan_version, record.reservation_version,
                          record.class_index, unrecorded}];
                records += record.record_count;
                units += record.unit_millionths;
                (unrecorded ? total.unrecorded_count : total.record_count) += record.record_count;
                total.unit_millionths += record.unit_millionths;
            });
        if (read_result.next_slot == cursor.next_slot && !read_result.is_ended) break;
        run_step_hook("begin ingest");
        database_.run_transaction([&] {
            for (const auto& [key, sum] : sums) {
                add_pending_statement_.run(key.minute, key.customer, key.plan, key.version, key.reservation,
                                           key.class_index, name.gateway_index, key.unrecorded ? 1 : 0,
                                           sum.first, sum.second);
            }
            run_step_hook("totals");
            add_total_statement_.run(name.gateway_index, name.incarnation, total.record_count,
                                     total.unrecorded_count, total.unit_millionths);
            run_step_hook("cursor");
            write_cursor_statement_.run(name.gateway_index, name.incarnation, name.segment_number,
                                        read_result.next_slot, read_result.is_ended ? 1 : 0,
                                        read_result.damaged_slots, read_result.is_torn ? 1 : 0);
            run_step_hook("commit ingest");
        });
        run_step_hook("ingested");
        ingested_records += total.record_count;
        cursor = {read_result.next_slot, read_result.is_ended};
    }
    return ingested_records;
}

std::uint64_t UsageCollector::seal_batches(TimePoint now, bool all) {
    const std::int64_t end_minute =
        all ? INT64_MAX : (now - settings_.settling_time).time_since_epoch().count() / kMicrosPerMinute;
    std::uint64_t sealed_batches = 0;
    for (bool more_pending = true; more_pending;) {
        more_pending = false;
        run_step_hook("begin seal");
        database_.run_transaction([&] {
            Statement select_pending(
                database_,
                "SELECT minute, customer, plan, version, reservation, class, gateway, gap, rows, units "
                "FROM pending WHERE minute < ? ORDER BY minute, customer, plan, version, reservation, "
                "class, gateway, gap LIMIT ?");
            Statement insert_line(database_, "INSERT INTO lines VALUES (?,?,?,?,?,?,?,?,?,?,?,?)");
            const std::uint64_t id = last_sealed_batch() + 1;
            std::uint32_t lines = 0;
            UsageTotals sums;
            std::int64_t key[8]{};
            select_pending.for_each_row(
                [&] {
                    for (int index = 0; index < 8; ++index) key[index] = select_pending.integer_column(index);
                    insert_line.run(id, ++lines, key[0], key[1], key[2], key[3], key[4], key[5], key[6],
                                    key[7], select_pending.integer_column(8),
                                    select_pending.integer_column(9));
                    (key[7] != 0 ? sums.unrecorded_count : sums.record_count) +=
                        static_cast<std::uint64_t>(select_pending.integer_column(8));
                    sums.unit_millionths += select_pending.integer_column(9);
                },
                end_minute, settings_.max_batch_lines);
            if (lines == 0) return;
            run_step_hook("drop pending");
            Statement(database_,
                      "DELETE FROM pending WHERE (minute, customer, plan, version, reservation, class, "
                      "gateway, gap) "
                      "<= (?,?,?,?,?,?,?,?)")
                .run(key[0], key[1], key[2], key[3], key[4], key[5], key[6], key[7]);
            Statement(database_, "INSERT INTO batches VALUES (?,?,?,?,?,?,0)")
                .run(id, now.time_since_epoch().count(), lines, sums.record_count, sums.unrecorded_count,
                     sums.unit_millionths);
            run_step_hook("commit seal");
            ++sealed_batches;
            more_pending = lines == settings_.max_batch_lines;
        });
        run_step_hook("sealed");
    }
    return sealed_batches;
}

std::uint64_t UsageCollector::last_sealed_batch() const {
    auto& self = const_cast<UsageCollector&>(*this);
    return static_cast<std::uint64_t>(
        self.database_.query_integer("SELECT coalesce(max(id),0) FROM batches"));
}

std::optional<UsageBatch> UsageCollector::read_batch(std::uint64_t id) {
    UsageBatch result{exporter_name_, id, {}};
    Statement statement(
        database_,
        "SELECT minute, customer, plan, version, reservation, class, gateway, gap, rows, units FROM lines "
        "WHERE batch=? ORDER BY line");
    statement.for_each_row(
        [&] {
            UsageLine line;
            line.minute = statement.integer_column(0);
            line.customer = CustomerId{static_cast<std::uint64_t>(statement.integer_column(1))};
            line.plan_index = static_cast<std::uint32_t>(statement.integer_column(2));
            line.plan_version = static_cast<std::uint32_t>(statement.integer_column(3));
            line.reservation_version = static_cast<std::uint64_t>(statement.integer_column(4));
            line.class_index = static_cast<std::uint32_t>(statement.integer_column(5));
            line.gateway_index = static_cast<std::uint32_t>(statement.integer_column(6));
            line.is_unrecorded = statement.integer_column(7) != 0;
            line.record_count = static_cast<std::uint64_t>(statement.integer_column(8));
            line.unit_millionths = statement.integer_column(9);
            result.lines.push_back(line);
        },
        id);
    if (result.lines.empty()) return std::nullopt;
    return result;
}

std::uint64_t UsageCollector::acknowledged_batch(const std::string& sink) {
    Statement statement(database_, "SELECT upto FROM sinks WHERE name=?");
    std::uint64_t last_batch = 0;
    statement.for_each_row([&] { last_batch = static_cast<std::uint64_t>(statement.integer_column(0)); },
                           sink);
    return last_batch;
}

void UsageCollector::set_acknowledged(const std::string& sink, std::uint64_t last_batch) {
    run_step_hook("begin serve");
    database_.run_transaction([&] {
        Statement(database_, "INSERT INTO sinks VALUES (?,?) ON CONFLICT DO UPDATE SET upto=excluded.upto")
            .run(sink, last_batch);
        run_step_hook("commit serve");
    });
    run_step_hook("served");
}

std::uint64_t UsageCollector::oldest_batch() {
    return static_cast<std::uint64_t>(database_.query_integer("SELECT coalesce(min(batch),0) FROM lines"));
}

void UsageCollector::prune_batches(const std::vector<std::string>& sinks) {
    std::uint64_t acknowledged_by_all = last_sealed_batch();
    for (const std::string& sink : sinks)
        acknowledged_by_all = std::min(acknowledged_by_all, acknowledged_batch(sink));
    const auto retained_count = static_cast<std::uint64_t>(std::max(0, settings_.retained_batches));
    if (acknowledged_by_all <= retained_count || oldest_batch() == 0 ||
        oldest_batch() > acknowledged_by_all - retained_count)
        return;
    run_step_hook("begin prune");
    database_.run_transaction([&] {
        Statement(database_, "DELETE FROM lines WHERE batch<=?").run(acknowledged_by_all - retained_count);
        Statement(database_, "UPDATE batches SET dropped=1 WHERE id<=? AND dropped=0")
            .run(acknowledged_by_all - retained_count);
        run_step_hook("commit prune");
    });
}

std::map<std::pair<std::uint32_t, std::uint64_t>, UsageTotals> UsageCollector::stored_totals() {
    std::map<std::pair<std::uint32_t, std::uint64_t>, UsageTotals> result;
    Statement statement(database_, "SELECT gateway, incarnation, rows, gap_rows, units FROM totals");
    statement.for_each_row([&] {
        result[{static_cast<std::uint32_t>(statement.integer_column(0)),
                static_cast<std::uint64_t>(statement.integer_column(1))}] = {
            static_cast<std::uint64_t>(statement.integer_column(2)),
            static_cast<std::uint64_t>(statement.integer_column(3)), statement.integer_column(4)};
    });
    return result;
}

UsageTotals UsageCollector::query_totals(std::string_view sql) {
    Statement statement(database_, sql);
    UsageTotals totals;
    statement.for_each_row([&] {
        totals = {static_cast<std::uint64_t>(statement.integer_column(0)),
                  static_cast<std::uint64_t>(statement.integer_column(1)), statement.integer_column(2)};
    });
    return totals;
}

UsageTotals UsageCollector::pending_totals() {
    return query_totals(
        "SELECT coalesce(sum(rows*(1-gap)),0), coalesce(sum(rows*gap),0), coalesce(sum(units),0) FROM "
        "pending");
}

UsageTotals UsageCollector::exported_totals() {
    return query_totals(
        "SELECT coalesce(sum(rows),0), coalesce(sum(gap_rows),0), coalesce(sum(units),0) FROM batches");
}

UsageCollector::ReadErrors UsageCollector::read_errors() {
    return {
        static_cast<std::uint64_t>(database_.query_integer("SELECT coalesce(sum(damaged),0) FROM segments")),
        static_cast<std::uint64_t>(database_.query_integer("SELECT coalesce(sum(torn),0) FROM segments"))};
}

UsageTotals UsageCollector::unread_totals() {
    UsageTotals all;
    for (const std::string& file : file_system_.list_directory(settings_.journal_directory)) {
        const auto name = usage_log::read_segment_name(file);
        if (!name) continue;
        const Cursor cursor = cursor_of(*name);
        if (cursor.is_ended) continue;
        usage_log::read_segment(
            file_system_, settings_.journal_directory + "/" + file, cursor.next_slot, ~0u,
            [&](const usage_log::SegmentHeader&, const usage_log::UsageRecord& record) {
                const bool unrecorded = record.kind == usage_log::UsageRecord::Kind::Unrecorded;
                (unrecorded ? all.unrecorded_count : all.record_count) += record.record_count;
                all.unit_millionths += record.unit_millionths;
            });
    }
    return all;
}

// ---- text formats ----

std::string format_minute(std::int64_t minute) {
    return fmt::format("{:%Y-%m-%dT%H:%MZ}", fmt::gmtime(static_cast<std::time_t>(minute * 60)));
}

std::string write_batch(const UsageBatch& batch, ExportFormat export_format,
                        const std::vector<std::string>& plans, const std::vector<std::string>& classes) {
    const auto name = [](const std::vector<std::string>& names, std::uint32_t index) {
        return index < names.size() ? names[index] : std::to_string(index);
    };
    fmt::memory_buffer result;
    if (export_format == ExportFormat::Csv)
        fmt::format_to(
            std::back_inserter(result),
            "exporter,batch,line,minute,customer,plan,plan_version,class,gateway,reservation,gap,rows,"
            "units\n");
    std::size_t line_number = 0;
    for (const UsageLine& line : batch.lines) {
        ++line_number;
        const auto customer = static_cast<std::uint64_t>(line.customer);
        const std::int64_t whole_units = line.unit_millionths / 1'000'000,
                           fraction = line.unit_millionths % 1'000'000;
        if (export_format == ExportFormat::Csv) {
            fmt::format_to(std::back_inserter(result), "{},{},{},{},{:016x},{},{},{},{},{},{},{},{}.{:06}\n",
                           batch.exporter_name, batch.batch_id, line_number, format_minute(line.minute),
                           customer, name(plans, line.plan_index), line.plan_version,
                           name(classes, line.class_index), line.gateway_index, line.reservation_version,
                           line.is_unrecorded ? 1 : 0, line.record_count, whole_units, fraction);
        } else {
            fmt::format_to(
                std::back_inserter(result),
                "{{\"exporter\":\"{}\",\"batch\":{},\"line\":{},\"minute\":\"{}\",\"customer\":\"{:016x}\","
                "\"plan\":\"{}\",\"plan_version\":{},\"class\":\"{}\",\"gateway\":{},\"reservation\":{},"
                "\"gap\":{},\"rows\":{},\"units\":{}.{:06}}}\n",
                batch.exporter_name, batch.batch_id, line_number, format_minute(line.minute), customer,
                name(plans, line.plan_index), line.plan_version, name(classes, line.class_index),
                line.gateway_index, line.reservation_version, line.is_unrecorded ? "true" : "false",
                line.record_count, whole_units, fraction);
        }
    }
    return fmt::to_string(result);
}

}    // namespace shaletray::usage
