#include "balancer/usage/collector.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace shaletray::usage {
namespace {

using usage_store::Statement;

constexpr std::int64_t kMinute = 60'000'000;

// Batches are counted from 1 and lines within one; both are what a row is known by from then on.
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

std::string new_name() {
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

}    // namespace

std::vector<const char*> schema() { return {kSchema1}; }

Collector::Collector(CollectorSettings settings, usage_log::Files& files, Step step)
    : s_(std::move(settings)),
      files_(files),
      step_(std::move(step)),
      database_({s_.store, true, s_.most_bytes, schema()}),
      cursor_(database_, "SELECT next, ended FROM segments WHERE gateway=? AND incarnation=? AND number=?"),
      put_cursor_(database_,
                  "INSERT INTO segments VALUES (?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET next=excluded.next, "
                  "ended=excluded.ended, damaged=damaged+excluded.damaged, torn=excluded.torn"),
      add_pending_(database_,
                   "INSERT INTO pending VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET "
                   "rows=rows+excluded.rows, units=units+excluded.units"),
      add_total_(database_,
                 "INSERT INTO totals VALUES (?,?,?,?,?) ON CONFLICT DO UPDATE SET rows=rows+excluded.rows, "
                 "gap_rows=gap_rows+excluded.gap_rows, units=units+excluded.units") {
    database_.transact([&] {
        Statement get(database_, "SELECT value FROM meta WHERE name='exporter'");
        get.each([&] { exporter_ = get.text(0); });
        if (!exporter_.empty()) return;
        exporter_ = new_name();
        Statement(database_, "INSERT INTO meta VALUES ('exporter', ?)").run(exporter_);
    });
}

std::uint64_t Collector::ingest() {
    complaints_.clear();
    std::uint64_t rows = 0;
    std::vector<std::pair<usage_log::SegmentName, std::string>> found;
    for (const std::string& name : files_.list(s_.journal)) {
        if (const auto parsed = usage_log::read_segment_name(name))
            found.emplace_back(*parsed, s_.journal + "/" + name);
    }
    std::sort(found.begin(), found.end());
    for (const auto& [name, path] : found) {
        try {
            rows += ingest(name, path);
        } catch (const usage_log::FileError& error) {
            complaints_.push_back(fmt::format("{}: {}", path, error.what()));
        } catch (const usage_store::StoreError&) {
            throw;
        } catch (const std::runtime_error& error) {
            complaints_.emplace_back(error.what());
        }
    }
    // Whole segments go once nothing of them can be lost any more with the machine.
    bool settled = false;
    for (const auto& [name, path] : found) {
        if (!cursor_of(name).ended) continue;
        if (!settled) {
            step("settle");
            database_.settle();
            settled = true;
        }
        step("remove segment");
        files_.remove(path);
    }
    return rows;
}

Collector::Cursor Collector::cursor_of(const usage_log::SegmentName& name) {
    Cursor cursor;
    cursor_.each(
        [&] {
            cursor = {static_cast<std::uint32_t>(cursor_.whole(0)), cursor_.whole(1) != 0};
        },
        name.gateway, name.incarnation, name.number);
    return cursor;
}

std::uint64_t Collector::ingest(const usage_log::SegmentName& name, const std::string& path) {
    Cursor cursor = cursor_of(name);
    std::uint64_t rows = 0;
    while (!cursor.ended) {
        // Added up here first: a customer's tries in a minute are many.
        struct Key {
            std::int64_t minute;
            std::uint64_t customer;
            std::uint32_t plan, version;
            std::uint64_t reservation;
            std::uint32_t class_index;
            bool gap;
            auto operator<=>(const Key&) const = default;
        };
        std::map<Key, std::pair<std::uint64_t, std::int64_t>> sums;
        Sums total;
        const usage_log::ReadResult read = usage_log::read_segment(
            files_, path, cursor.next, s_.rows_at_once,
            [&](const usage_log::SegmentHead& head, const usage_log::Use& use) {
                if (head.gateway != name.gateway || head.incarnation != name.incarnation ||
                    head.number != name.number)
                    throw std::runtime_error(path + " holds another segment than its name says");
                const bool gap = use.kind == usage_log::Use::Kind::Gap;
                const std::int64_t at = use.at.time_since_epoch().count();
                auto& [n, units] = sums[{at / kMinute, static_cast<std::uint64_t>(use.customer), use.plan,
                                         use.plan_version, use.reservation, use.class_index, gap}];
                n += use.rows;
                units += use.units;
                (gap ? total.gap_rows : total.rows) += use.rows;
                total.units += use.units;
            });
        if (read.next == cursor.next && !read.ended) break;
        step("begin ingest");
        database_.transact([&] {
            for (const auto& [key, sum] : sums) {
                add_pending_.run(key.minute, key.customer, key.plan, key.version, key.reservation,
                                 key.class_index, name.gateway, key.gap ? 1 : 0, sum.first, sum.second);
            }
            step("totals");
            add_total_.run(name.gateway, name.incarnation, total.rows, total.gap_rows, total.units);
            step("cursor");
            put_cursor_.run(name.gateway, name.incarnation, name.number, read.next, read.ended ? 1 : 0,
                            read.damaged, read.torn ? 1 : 0);
            step("commit ingest");
        });
        step("ingested");
        rows += total.rows;
        cursor = {read.next, read.ended};
    }
    return rows;
}

std::uint64_t Collector::seal(TimePoint now, bool all) {
    const std::int64_t before = all ? INT64_MAX : (now - s_.settle).time_since_epoch().count() / kMinute;
    std::uint64_t made = 0;
    for (bool more = true; more;) {
        more = false;
        step("begin seal");
        database_.transact([&] {
            Statement take(
                database_,
                "SELECT minute, customer, plan, version, reservation, class, gateway, gap, rows, units "
                "FROM pending WHERE minute < ? ORDER BY minute, customer, plan, version, reservation, "
                "class, gateway, gap LIMIT ?");
            Statement put(database_, "INSERT INTO lines VALUES (?,?,?,?,?,?,?,?,?,?,?,?)");
            const std::uint64_t id = sealed() + 1;
            std::uint32_t lines = 0;
            Sums sums;
            std::int64_t key[8]{};
            take.each(
                [&] {
                    for (int i = 0; i < 8; ++i) key[i] = take.whole(i);
                    put.run(id, ++lines, key[0], key[1], key[2], key[3], key[4], key[5], key[6], key[7],
                            take.whole(8), take.whole(9));
                    (key[7] != 0 ? sums.gap_rows : sums.rows) += static_cast<std::uint64_t>(take.whole(8));
                    sums.units += take.whole(9);
                },
                before, s_.lines);
            if (lines == 0) return;
            step("drop pending");
            Statement(database_,
                      "DELETE FROM pending WHERE (minute, customer, plan, version, reservation, class, "
                      "gateway, gap) "
                      "<= (?,?,?,?,?,?,?,?)")
                .run(key[0], key[1], key[2], key[3], key[4], key[5], key[6], key[7]);
            Statement(database_, "INSERT INTO batches VALUES (?,?,?,?,?,?,0)")
                .run(id, now.time_since_epoch().count(), lines, sums.rows, sums.gap_rows, sums.units);
            step("commit seal");
            ++made;
            more = lines == s_.lines;
        });
        step("sealed");
    }
    return made;
}

std::uint64_t Collector::sealed() const {
    auto& self = const_cast<Collector&>(*this);
    return static_cast<std::uint64_t>(self.database_.number("SELECT coalesce(max(id),0) FROM batches"));
}

std::optional<Batch> Collector::batch(std::uint64_t id) {
    Batch out{exporter_, id, {}};
    Statement get(
        database_,
        "SELECT minute, customer, plan, version, reservation, class, gateway, gap, rows, units FROM lines "
        "WHERE batch=? ORDER BY line");
    get.each(
        [&] {
            Line line;
            line.minute = get.whole(0);
            line.customer = CustomerId{static_cast<std::uint64_t>(get.whole(1))};
            line.plan = static_cast<std::uint32_t>(get.whole(2));
            line.plan_version = static_cast<std::uint32_t>(get.whole(3));
            line.reservation = static_cast<std::uint64_t>(get.whole(4));
            line.class_index = static_cast<std::uint32_t>(get.whole(5));
            line.gateway = static_cast<std::uint32_t>(get.whole(6));
            line.gap = get.whole(7) != 0;
            line.rows = static_cast<std::uint64_t>(get.whole(8));
            line.units = get.whole(9);
            out.lines.push_back(line);
        },
        id);
    if (out.lines.empty()) return std::nullopt;
    return out;
}

std::uint64_t Collector::served(const std::string& sink) {
    Statement get(database_, "SELECT upto FROM sinks WHERE name=?");
    std::uint64_t upto = 0;
    get.each([&] { upto = static_cast<std::uint64_t>(get.whole(0)); }, sink);
    return upto;
}

void Collector::serve(const std::string& sink, std::uint64_t upto) {
    step("begin serve");
    database_.transact([&] {
        Statement(database_, "INSERT INTO sinks VALUES (?,?) ON CONFLICT DO UPDATE SET upto=excluded.upto")
            .run(sink, upto);
        step("commit serve");
    });
    step("served");
}

std::uint64_t Collector::oldest() {
    return static_cast<std::uint64_t>(database_.number("SELECT coalesce(min(batch),0) FROM lines"));
}

void Collector::prune(const std::vector<std::string>& sinks) {
    std::uint64_t least = sealed();
    for (const std::string& sink : sinks) least = std::min(least, served(sink));
    const auto keep = static_cast<std::uint64_t>(std::max(0, s_.keep_batches));
    if (least <= keep || oldest() == 0 || oldest() > least - keep) return;
    step("begin prune");
    database_.transact([&] {
        Statement(database_, "DELETE FROM lines WHERE batch<=?").run(least - keep);
        Statement(database_, "UPDATE batches SET dropped=1 WHERE id<=? AND dropped=0").run(least - keep);
        step("commit prune");
    });
}

std::map<std::pair<std::uint32_t, std::uint64_t>, Sums> Collector::stored() {
    std::map<std::pair<std::uint32_t, std::uint64_t>, Sums> out;
    Statement get(database_, "SELECT gateway, incarnation, rows, gap_rows, units FROM totals");
    get.each([&] {
        out[{static_cast<std::uint32_t>(get.whole(0)), static_cast<std::uint64_t>(get.whole(1))}] = {
            static_cast<std::uint64_t>(get.whole(2)), static_cast<std::uint64_t>(get.whole(3)), get.whole(4)};
    });
    return out;
}

Sums Collector::sums(std::string_view sql) {
    Statement get(database_, sql);
    Sums s;
    get.each([&] {
        s = {static_cast<std::uint64_t>(get.whole(0)), static_cast<std::uint64_t>(get.whole(1)),
             get.whole(2)};
    });
    return s;
}

Sums Collector::pending() {
    return sums(
        "SELECT coalesce(sum(rows*(1-gap)),0), coalesce(sum(rows*gap),0), coalesce(sum(units),0) FROM "
        "pending");
}

Sums Collector::exported() {
    return sums(
        "SELECT coalesce(sum(rows),0), coalesce(sum(gap_rows),0), coalesce(sum(units),0) FROM batches");
}

Collector::Trouble Collector::trouble() {
    return {static_cast<std::uint64_t>(database_.number("SELECT coalesce(sum(damaged),0) FROM segments")),
            static_cast<std::uint64_t>(database_.number("SELECT coalesce(sum(torn),0) FROM segments"))};
}

Sums Collector::waiting() {
    Sums all;
    for (const std::string& file : files_.list(s_.journal)) {
        const auto name = usage_log::read_segment_name(file);
        if (!name) continue;
        const Cursor cursor = cursor_of(*name);
        if (cursor.ended) continue;
        usage_log::read_segment(files_, s_.journal + "/" + file, cursor.next, ~0u,
                                [&](const usage_log::SegmentHead&, const usage_log::Use& use) {
                                    const bool gap = use.kind == usage_log::Use::Kind::Gap;
                                    (gap ? all.gap_rows : all.rows) += use.rows;
                                    all.units += use.units;
                                });
    }
    return all;
}

// ---- as text ----

std::string minute_text(std::int64_t minute) {
    return fmt::format("{:%Y-%m-%dT%H:%MZ}", fmt::gmtime(static_cast<std::time_t>(minute * 60)));
}

std::string write_batch(const Batch& batch, Form form, const std::vector<std::string>& plans,
                        const std::vector<std::string>& classes) {
    const auto name = [](const std::vector<std::string>& of, std::uint32_t i) {
        return i < of.size() ? of[i] : std::to_string(i);
    };
    fmt::memory_buffer out;
    if (form == Form::Csv)
        fmt::format_to(
            std::back_inserter(out),
            "exporter,batch,line,minute,customer,plan,plan_version,class,gateway,reservation,gap,rows,"
            "units\n");
    std::size_t number = 0;
    for (const Line& line : batch.lines) {
        ++number;
        const auto customer = static_cast<std::uint64_t>(line.customer);
        const std::int64_t whole = line.units / 1'000'000, part = line.units % 1'000'000;
        if (form == Form::Csv) {
            fmt::format_to(std::back_inserter(out), "{},{},{},{},{:016x},{},{},{},{},{},{},{},{}.{:06}\n",
                           batch.exporter, batch.id, number, minute_text(line.minute), customer,
                           name(plans, line.plan), line.plan_version, name(classes, line.class_index),
                           line.gateway, line.reservation, line.gap ? 1 : 0, line.rows, whole, part);
        } else {
            fmt::format_to(
                std::back_inserter(out),
                "{{\"exporter\":\"{}\",\"batch\":{},\"line\":{},\"minute\":\"{}\",\"customer\":\"{:016x}\","
                "\"plan\":\"{}\",\"plan_version\":{},\"class\":\"{}\",\"gateway\":{},\"reservation\":{},"
                "\"gap\":{},\"rows\":{},\"units\":{}.{:06}}}\n",
                batch.exporter, batch.id, number, minute_text(line.minute), customer, name(plans, line.plan),
                line.plan_version, name(classes, line.class_index), line.gateway, line.reservation,
                line.gap ? "true" : "false", line.rows, whole, part);
        }
    }
    return fmt::to_string(out);
}

}    // namespace shaletray::usage
