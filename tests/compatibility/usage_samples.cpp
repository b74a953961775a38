// Usage records (journal segments, tallies and the usage database) and the log of changes to plans.
#include <chrono>

#include "balancer/service/plan_table_file.h"
#include "balancer/usage/collector.h"
#include "balancer/usage_log/persistent_counters.h"
#include "balancer/usage_log/segment.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using usage::Collector;
using usage_log::CustomerId;
using usage_log::SegmentHead;
using usage_log::Use;

constexpr TimePoint kNow{1'700'000'040s};

// ---- the journal ----

constexpr SegmentHead kHead{2, 8, 9, 0, 1};

std::vector<Use> uses() {
    const auto customer = CustomerId{0x91f03b7c55d20a64};
    return {{1, kNow, customer, 1'500'000, 3, 1, 2, 1, Use::Kind::Try, 0},
            {2, kNow + 1us, CustomerId{5}, 250'000, 0, 1, 1, 0, Use::Kind::Try, 77},
            {3, kNow + 61s, customer, -500'000, 4, 1, 2, 1, Use::Kind::Try, 0},
            {4, kNow + 62s, CustomerId{0}, 9'000'000, 0, 12, 0, 0, Use::Kind::Gap, 0}};
}

void write_segment(const std::string& folder) {
    usage_log::Files& files = usage_log::real_files();
    usage_log::Writer writer({folder, kHead.gateway, kHead.incarnation, kHead.capacity, 10},
                             std::make_unique<usage_log::Segment>(files, folder, kHead));
    for (const Use& use : uses()) writer.append(use);
    writer.close(files);
}

void add(FieldList& fields, const SegmentHead& head) {
    fields.add("head.gateway", head.gateway).add("head.capacity", head.capacity);
    fields.add("head.incarnation", head.incarnation).add("head.number", head.number);
    fields.add("head.first", head.first);
}

void add(FieldList& fields, const Use& use) {
    fields.within("use");
    fields.add("sequence", use.sequence).add("at", use.at).add("customer", use.customer);
    fields.add("units", use.units).add("plan_version", use.plan_version).add("rows", use.rows);
    fields.add("plan", use.plan).add("class_index", use.class_index).add("kind", use.kind);
    fields.add("reservation", use.reservation);
    fields.within("");
}

void add(FieldList& fields, const usage_log::ReadResult& result) {
    fields.add("next", result.next).add("ended", result.ended);
    fields.add("damaged", result.damaged).add("torn", result.torn);
}

std::string fields_of_segment() {
    FieldList fields;
    for (const Use& use : uses()) {
        add(fields, kHead);
        add(fields, use);
    }
    add(fields, usage_log::ReadResult{kHead.capacity, true, 0, false});
    return fields.text();
}

std::string read_segment(const std::string& folder) {
    FieldList fields;
    const auto result = usage_log::read_segment(usage_log::real_files(), folder + "/" + segment_name(kHead),
                                                0, 100, [&](const SegmentHead& head, const Use& use) {
                                                    add(fields, head);
                                                    add(fields, use);
                                                });
    add(fields, result);
    return fields.text();
}

// ---- tallies ----

const std::map<std::uint64_t, std::int64_t> kTallies{{7, 100}, {0xffffffffffffffff, -5}};

void write_tallies(const std::string& folder) {
    usage_log::Tallies tallies(folder + "/tallies");
    for (const auto& [key, value] : kTallies) tallies.put(key, value);
    tallies.put(9, 1);
    tallies.drop(9);
}

std::string fields_of(const std::map<std::uint64_t, std::int64_t>& tallies) {
    FieldList fields;
    for (const auto& [key, value] : tallies) fields.add("key", key).add("value", value);
    return fields.text();
}

std::string read_tallies(const std::string& folder) {
    return fields_of(usage_log::Tallies(folder + "/tallies").read());
}

// ---- the usage database ----

const std::string kExporter = "0123456789abcdef", kSink = "files:/billing";

usage::CollectorSettings collector_settings(const std::string& folder) {
    usage::CollectorSettings settings;
    settings.journal = folder;
    settings.store = folder + "/usage.db";
    return settings;
}

// The first minute is sealed, the second waits.
void write_database(const std::string& folder) {
    write_segment(folder);
    Collector collector(collector_settings(folder), usage_log::real_files());
    // Drawn by chance otherwise.
    collector.database().execute(("UPDATE meta SET value='" + kExporter + "' WHERE name='exporter'").c_str());
    collector.ingest();
    collector.seal(kNow + 66s, false);
    collector.serve(kSink, 1);
    collector.database().settle();
}

void add(FieldList& fields, const std::string& name, const usage::Sums& sums) {
    fields.add(name + ".rows", sums.rows).add(name + ".gap_rows", sums.gap_rows);
    fields.add(name + ".units", sums.units);
}

void add(FieldList& fields, const usage::Line& line) {
    fields.within("line");
    fields.add("minute", line.minute).add("customer", line.customer).add("plan", line.plan);
    fields.add("plan_version", line.plan_version).add("class_index", line.class_index);
    fields.add("gateway", line.gateway).add("reservation", line.reservation).add("gap", line.gap);
    fields.add("rows", line.rows).add("units", line.units);
    fields.within("");
}

std::string fields_of(const std::vector<usage::Batch>& batches) {
    FieldList fields;
    for (const usage::Batch& batch : batches) {
        fields.add("exporter", batch.exporter).add("batch", batch.id);
        for (const usage::Line& line : batch.lines) add(fields, line);
    }
    return fields.text();
}

std::string fields_of_database() {
    const auto customer = CustomerId{0x91f03b7c55d20a64};
    // Lines come by customer, as signed numbers.
    const std::int64_t minute = 28'333'334;    // of kNow
    FieldList fields;
    add(fields, "stored", {3, 12, 10'250'000});
    add(fields, "pending", {1, 12, 8'500'000});
    add(fields, "exported", {2, 0, 1'750'000});
    fields.add("served", 1).add("sealed", 1).add("problems", 0).add("damaged", 0).add("torn", 0);
    fields.add("gateway", kHead.gateway).add("incarnation", kHead.incarnation);
    return fields.text() + fields_of({{kExporter,
                                       1,
                                       {{minute, customer, 2, 3, 1, 2, 0, false, 1, 1'500'000},
                                        {minute, CustomerId{5}, 1, 0, 0, 2, 77, false, 1, 250'000}}},
                                      {kExporter,
                                       2,
                                       {{minute + 1, customer, 2, 4, 1, 2, 0, false, 1, -500'000},
                                        {minute + 1, CustomerId{0}, 0, 0, 0, 2, 0, true, 12, 9'000'000}}}});
}

std::string read_database(const std::string& folder) {
    Collector collector(collector_settings(folder), usage_log::real_files());
    const auto stored = collector.stored();
    const auto trouble = collector.trouble();
    FieldList fields;
    for (const auto& [gateway, sums] : stored) add(fields, "stored", sums);
    add(fields, "pending", collector.pending());
    add(fields, "exported", collector.exported());
    fields.add("served", collector.served(kSink)).add("sealed", collector.sealed());
    fields.add("problems", collector.database().problems().size());
    fields.add("damaged", trouble.damaged).add("torn", trouble.torn);
    for (const auto& [gateway, sums] : stored)
        fields.add("gateway", gateway.first).add("incarnation", gateway.second);
    collector.seal(kNow, true);    // what waited becomes the next batch
    std::vector<usage::Batch> batches;
    for (std::uint64_t id = 1; id <= collector.sealed(); ++id) batches.push_back(collector.batch(id).value());
    return fields.text() + fields_of(batches);
}

// ---- changes to plans ----

plans::Book new_book() {
    plans::BookSettings settings;
    settings.platform.resize(1);
    settings.platform[0].name = "standard";
    settings.platform[0].rate = 4.0;
    settings.platform[0].burst = 16.0;
    settings.platform[0].ceiling_rate = 8.0;
    settings.platform[0].ceiling_burst = 32.0;
    return plans::Book(settings);
}

std::vector<plans::Proposal> proposals() {
    const auto customer = CustomerId{0x91f03b7c55d20a64};
    return {{plans::Define{"large", "standard", {40.5, 160.25, 80.0, 320.0, 0.125}}, 0, kNow + 10s,
             "operator-a", "a note with \"quotes\" and \xc3\xa9", "request-1"},
            {plans::Assign{customer, "large"}, 0, kNow + 20s, "operator-b", "", ""},
            {plans::Reserve{"launch", customer, 10.5, kNow + 3600s, kNow + 7200s, "large"}, 0, kNow + 30s,
             "operator-a", "", "request-3"},
            {plans::Release{"launch"}, 3, kNow + 40s, "operator-a", "", ""},
            {plans::Withdraw{"large", "standard"}, 1, kNow + 50s, "operator-c", "", ""}};
}

void write_plans(const std::string& folder) {
    plans::Book book = new_book();
    BookFile file(folder + "/plans", book, false);
    for (const plans::Proposal& proposal : proposals()) {
        const auto change = std::get<plans::Change>(book.propose(proposal, kNow + 1s));
        file.append(change);
        book.apply(change);
    }
}

struct AddBody {
    FieldList& fields;
    void operator()(const plans::Define& define) const {
        fields.add("define.plan", define.plan).add("define.like", define.like);
        fields.add("define.rate", define.terms.rate).add("define.burst", define.terms.burst);
        fields.add("define.ceiling_rate", define.terms.ceiling_rate);
        fields.add("define.ceiling_burst", define.terms.ceiling_burst);
        fields.add("define.ceiling_slack", define.terms.ceiling_slack);
    }
    void operator()(const plans::Withdraw& withdraw) const {
        fields.add("withdraw.plan", withdraw.plan).add("withdraw.successor", withdraw.successor);
    }
    void operator()(const plans::Assign& assign) const {
        fields.add("assign.customer", assign.customer).add("assign.plan", assign.plan);
    }
    void operator()(const plans::Reserve& reserve) const {
        fields.add("reserve.id", reserve.id).add("reserve.customer", reserve.customer);
        fields.add("reserve.units", reserve.units).add("reserve.from", reserve.from);
        fields.add("reserve.until", reserve.until).add("reserve.plan", reserve.plan);
    }
    void operator()(const plans::Release& release) const { fields.add("release.id", release.id); }
};

std::string fields_of(const std::vector<plans::Change>& changes) {
    FieldList fields;
    for (const plans::Change& change : changes) {
        fields.add("version", change.version).add("against", change.against).add("made", change.made);
        fields.add("at", change.at).add("author", change.author).add("note", change.note);
        fields.add("request", change.request).add("chain", change.chain);
        std::visit(AddBody{fields}, change.body);
    }
    return fields.text();
}

// Chained hashes are a part of the format. As computed when the recording was first made.
constexpr std::uint64_t kChains[] = {17836102131591701277u, 5494540421584299105u, 10489299123303198352u,
                                     10904519818589547188u, 3671889484326280024u};

std::vector<plans::Change> changes() {
    std::vector<plans::Change> all;
    for (const plans::Proposal& proposal : proposals()) {
        const std::uint64_t version = all.size() + 1;
        all.push_back({version, proposal.against, kNow + 1s, proposal.at.value(), proposal.author,
                       proposal.note, proposal.request, proposal.body, kChains[version - 1]});
    }
    return all;
}

std::string read_plans(const std::string& folder) {
    plans::Book book = new_book();
    const BookFile file(folder + "/plans", book, false);
    return fields_of(book.log());
}

}    // namespace

std::vector<FolderSample> usage_folder_samples() {
    return {{"usage-journal", write_segment, fields_of_segment(), read_segment, {segment_name(kHead)}},
            {"usage-tallies", write_tallies, fields_of(kTallies), read_tallies, {"tallies"}},
            {"usage-database", write_database, fields_of_database(), read_database, {}}};
}

std::vector<FolderSample> plan_folder_samples() {
    return {{"plans", write_plans, fields_of(changes()), read_plans, {"plans"}}};
}

}    // namespace shaletray::compatibility
