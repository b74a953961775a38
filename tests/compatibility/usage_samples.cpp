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
using usage::UsageCollector;
using usage_log::CustomerId;
using usage_log::SegmentHeader;
using usage_log::UsageRecord;

constexpr TimePoint kNow{1'700'000'040s};

// ---- the journal ----

constexpr SegmentHeader kHead{2, 8, 9, 0, 1};

std::vector<UsageRecord> uses() {
    const auto customer = CustomerId{0x91f03b7c55d20a64};
    return {{1, kNow, customer, 1'500'000, 3, 1, 2, 1, UsageRecord::Kind::Request, 0},
            {2, kNow + 1us, CustomerId{5}, 250'000, 0, 1, 1, 0, UsageRecord::Kind::Request, 77},
            {3, kNow + 61s, customer, -500'000, 4, 1, 2, 1, UsageRecord::Kind::Request, 0},
            {4, kNow + 62s, CustomerId{0}, 9'000'000, 0, 12, 0, 0, UsageRecord::Kind::Unrecorded, 0}};
}

void write_segment(const std::string& folder) {
    usage_log::FileSystem& files = usage_log::real_file_system();
    usage_log::SegmentWriter writer({folder, kHead.gateway_index, kHead.incarnation, kHead.capacity, 10},
                                    std::make_unique<usage_log::Segment>(files, folder, kHead));
    for (const UsageRecord& use : uses()) writer.append(use);
    writer.close_segments(files);
}

void add(FieldList& fields, const SegmentHeader& head) {
    fields.add("head.gateway", head.gateway_index).add("head.capacity", head.capacity);
    fields.add("head.incarnation", head.incarnation).add("head.number", head.segment_number);
    fields.add("head.first", head.first_sequence);
}

void add(FieldList& fields, const UsageRecord& use) {
    fields.within("use");
    fields.add("sequence", use.sequence).add("at", use.admitted_at).add("customer", use.customer);
    fields.add("units", use.unit_millionths)
        .add("plan_version", use.plan_version)
        .add("rows", use.record_count);
    fields.add("plan", use.plan_index).add("class_index", use.class_index).add("kind", use.kind);
    fields.add("reservation", use.reservation_version);
    fields.within("");
}

void add(FieldList& fields, const usage_log::ReadResult& result) {
    fields.add("next", result.next_slot).add("ended", result.is_ended);
    fields.add("damaged", result.damaged_slots).add("torn", result.is_torn);
}

std::string fields_of_segment() {
    FieldList fields;
    for (const UsageRecord& use : uses()) {
        add(fields, kHead);
        add(fields, use);
    }
    add(fields, usage_log::ReadResult{kHead.capacity, true, 0, false});
    return fields.text();
}

std::string read_segment(const std::string& folder) {
    FieldList fields;
    const auto result =
        usage_log::read_segment(usage_log::real_file_system(), folder + "/" + segment_name(kHead), 0, 100,
                                [&](const SegmentHeader& head, const UsageRecord& use) {
                                    add(fields, head);
                                    add(fields, use);
                                });
    add(fields, result);
    return fields.text();
}

// ---- tallies ----

const std::map<std::uint64_t, std::int64_t> kTallies{{7, 100}, {0xffffffffffffffff, -5}};

void write_tallies(const std::string& folder) {
    usage_log::PersistentCounters tallies(folder + "/tallies");
    for (const auto& [key, value] : kTallies) tallies.set_value(key, value);
    tallies.set_value(9, 1);
    tallies.remove_key(9);
}

std::string fields_of(const std::map<std::uint64_t, std::int64_t>& tallies) {
    FieldList fields;
    for (const auto& [key, value] : tallies) fields.add("key", key).add("value", value);
    return fields.text();
}

std::string read_tallies(const std::string& folder) {
    return fields_of(usage_log::PersistentCounters(folder + "/tallies").initial_values());
}

// ---- the usage database ----

const std::string kExporter = "0123456789abcdef", kSink = "files:/billing";

usage::CollectorSettings collector_settings(const std::string& folder) {
    usage::CollectorSettings settings;
    settings.journal_directory = folder;
    settings.store_path = folder + "/usage.db";
    return settings;
}

// The first minute is sealed, the second waits.
void write_database(const std::string& folder) {
    write_segment(folder);
    UsageCollector collector(collector_settings(folder), usage_log::real_file_system());
    // Drawn by chance otherwise.
    collector.database().execute(("UPDATE meta SET value='" + kExporter + "' WHERE name='exporter'").c_str());
    collector.ingest_records();
    collector.seal_batches(kNow + 66s, false);
    collector.set_acknowledged(kSink, 1);
    collector.database().checkpoint_log();
}

void add(FieldList& fields, const std::string& name, const usage::UsageTotals& sums) {
    fields.add(name + ".rows", sums.record_count).add(name + ".gap_rows", sums.unrecorded_count);
    fields.add(name + ".units", sums.unit_millionths);
}

void add(FieldList& fields, const usage::UsageLine& line) {
    fields.within("line");
    fields.add("minute", line.minute).add("customer", line.customer).add("plan", line.plan_index);
    fields.add("plan_version", line.plan_version).add("class_index", line.class_index);
    fields.add("gateway", line.gateway_index)
        .add("reservation", line.reservation_version)
        .add("gap", line.is_unrecorded);
    fields.add("rows", line.record_count).add("units", line.unit_millionths);
    fields.within("");
}

std::string fields_of(const std::vector<usage::UsageBatch>& batches) {
    FieldList fields;
    for (const usage::UsageBatch& batch : batches) {
        fields.add("exporter", batch.exporter_name).add("batch", batch.batch_id);
        for (const usage::UsageLine& line : batch.lines) add(fields, line);
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
    fields.add("gateway", kHead.gateway_index).add("incarnation", kHead.incarnation);
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
    UsageCollector collector(collector_settings(folder), usage_log::real_file_system());
    const auto stored = collector.stored_totals();
    const auto trouble = collector.read_errors();
    FieldList fields;
    for (const auto& [gateway, sums] : stored) add(fields, "stored", sums);
    add(fields, "pending", collector.pending_totals());
    add(fields, "exported", collector.exported_totals());
    fields.add("served", collector.acknowledged_batch(kSink)).add("sealed", collector.last_sealed_batch());
    fields.add("problems", collector.database().check_integrity().size());
    fields.add("damaged", trouble.damaged_slots).add("torn", trouble.torn_segments);
    for (const auto& [gateway, sums] : stored)
        fields.add("gateway", gateway.first).add("incarnation", gateway.second);
    collector.seal_batches(kNow, true);    // what waited becomes the next batch
    std::vector<usage::UsageBatch> batches;
    for (std::uint64_t id = 1; id <= collector.last_sealed_batch(); ++id)
        batches.push_back(collector.read_batch(id).value());
    return fields.text() + fields_of(batches);
}

// ---- changes to plans ----

plans::PlanTable new_book() {
    plans::PlanTableSettings settings;
    settings.platform_plans.resize(1);
    settings.platform_plans[0].name = "standard";
    settings.platform_plans[0].rate = 4.0;
    settings.platform_plans[0].burst = 16.0;
    settings.platform_plans[0].ceiling_rate = 8.0;
    settings.platform_plans[0].ceiling_burst = 32.0;
    return plans::PlanTable(settings);
}

std::vector<plans::ChangeProposal> proposals() {
    const auto customer = CustomerId{0x91f03b7c55d20a64};
    return {{plans::DefinePlan{"large", "standard", {40.5, 160.25, 80.0, 320.0, 0.125}}, 0, kNow + 10s,
             "operator-a", "a note with \"quotes\" and \xc3\xa9", "request-1"},
            {plans::AssignPlan{customer, "large"}, 0, kNow + 20s, "operator-b", "", ""},
            {plans::MakeReservation{"launch", customer, 10.5, kNow + 3600s, kNow + 7200s, "large"}, 0,
             kNow + 30s, "operator-a", "", "request-3"},
            {plans::ReleaseReservation{"launch"}, 3, kNow + 40s, "operator-a", "", ""},
            {plans::WithdrawPlan{"large", "standard"}, 1, kNow + 50s, "operator-c", "", ""}};
}

void write_plans(const std::string& folder) {
    plans::PlanTable book = new_book();
    PlanTableFile file(folder + "/plans", book, false);
    for (const plans::ChangeProposal& proposal : proposals()) {
        const auto change = std::get<plans::PlanChange>(book.validate_proposal(proposal, kNow + 1s));
        file.append_change(change);
        book.append(change);
    }
}

struct AddBody {
    FieldList& fields;
    void operator()(const plans::DefinePlan& define) const {
        fields.add("define.plan", define.plan_name).add("define.like", define.base_plan);
        fields.add("define.rate", define.terms.rate).add("define.burst", define.terms.burst);
        fields.add("define.ceiling_rate", define.terms.ceiling_rate);
        fields.add("define.ceiling_burst", define.terms.ceiling_burst);
        fields.add("define.ceiling_slack", define.terms.ceiling_slack);
    }
    void operator()(const plans::WithdrawPlan& withdraw) const {
        fields.add("withdraw.plan", withdraw.plan).add("withdraw.successor", withdraw.successor);
    }
    void operator()(const plans::AssignPlan& assign) const {
        fields.add("assign.customer", assign.customer).add("assign.plan", assign.plan);
    }
    void operator()(const plans::MakeReservation& reserve) const {
        fields.add("reserve.id", reserve.reservation_id).add("reserve.customer", reserve.customer);
        fields.add("reserve.units", reserve.units).add("reserve.from", reserve.starts_at);
        fields.add("reserve.until", reserve.ends_at).add("reserve.plan", reserve.plan);
    }
    void operator()(const plans::ReleaseReservation& release) const {
        fields.add("release.id", release.reservation_id);
    }
};

std::string fields_of(const std::vector<plans::PlanChange>& changes) {
    FieldList fields;
    for (const plans::PlanChange& change : changes) {
        fields.add("version", change.version)
            .add("against", change.expected_version)
            .add("made", change.made_at);
        fields.add("at", change.effective_at).add("author", change.author).add("note", change.note);
        fields.add("request", change.request_key).add("chain", change.chain_hash);
        std::visit(AddBody{fields}, change.body);
    }
    return fields.text();
}

// Chained hashes are a part of the format. As computed when the recording was first made.
constexpr std::uint64_t kChains[] = {17836102131591701277u, 5494540421584299105u, 10489299123303198352u,
                                     10904519818589547188u, 3671889484326280024u};

std::vector<plans::PlanChange> changes() {
    std::vector<plans::PlanChange> all;
    for (const plans::ChangeProposal& proposal : proposals()) {
        const std::uint64_t version = all.size() + 1;
        all.push_back({version, proposal.expected_version, kNow + 1s, proposal.effective_at.value(),
                       proposal.author, proposal.note, proposal.request_key, proposal.body,
                       kChains[version - 1]});
    }
    return all;
}

std::string read_plans(const std::string& folder) {
    plans::PlanTable book = new_book();
    const PlanTableFile file(folder + "/plans", book, false);
    return fields_of(book.change_log());
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
