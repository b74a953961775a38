// Usage records from the gateway's memory to billing: segments, the store, exported files and a billing
// endpoint, with a kill and an error injected at every step.
#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "balancer/usage/export.h"
#include "balancer/usage_log/faulty_files.h"

namespace shaletray::usage {
namespace {

using namespace std::chrono_literals;
using usage_log::FileError;
using usage_log::FileSystem;
using usage_log::SegmentHeader;
using usage_log::UsageRecord;
namespace fs = std::filesystem;

const TimePoint kNow = TimePoint{} + 1'700'000'040s;

struct TestDirectory {
    TestDirectory() {
        char name[] = "/tmp/shaletray-usage-XXXXXX";
        path = mkdtemp(name);
        fs::create_directories(segment_directory());
        fs::create_directories(export_directory());
    }
    ~TestDirectory() { fs::remove_all(path); }
    std::string segment_directory() const { return path + "/journal"; }
    std::string export_directory() const { return path + "/out"; }
    std::string database_path() const { return path + "/use.db"; }
    std::string path;
};

using Faults = usage_log::test::FaultyFiles;

UsageRecord make_record(std::uint64_t i) {
    UsageRecord record;
    record.admitted_at = kNow + Duration(static_cast<std::int64_t>(i) * 700'000);
    record.customer = CustomerId{i % 5};
    record.unit_millionths = usage_log::to_millionths(static_cast<double>(i % 3) + 0.5);
    record.plan_version = static_cast<std::uint32_t>(i % 2);
    record.plan_index = 1;
    return record;
}

void write_segments(const TestDirectory& directory, std::uint64_t count, std::uint32_t slots,
                    std::uint64_t incarnation = 9) {
    usage_log::WriterSettings s{directory.segment_directory(), 2, incarnation, slots, 1000};
    FileSystem& files = usage_log::real_file_system();
    usage_log::SegmentWriter writer(s, std::make_unique<usage_log::Segment>(
                                           files, s.directory, SegmentHeader{2, slots, incarnation, 0, 1}));
    for (std::uint64_t i = 0; i < count; ++i) {
        if (writer.needs_next_segment())
            writer.set_next_segment(
                std::make_unique<usage_log::Segment>(files, s.directory, writer.next_segment_header()));
        ASSERT_TRUE(writer.append(make_record(i)));
    }
    writer.close_segments(files);
}

UsageTotals expected_totals(std::uint64_t count) {
    UsageTotals s;
    for (std::uint64_t i = 0; i < count; ++i)
        s.record_count += 1, s.unit_millionths += make_record(i).unit_millionths;
    return s;
}

CollectorSettings settings(const TestDirectory& directory) {
    CollectorSettings s;
    s.journal_directory = directory.segment_directory();
    s.store_path = directory.database_path();
    s.max_batch_lines = 7;
    s.records_per_transaction = 11;
    return s;
}

// Totals of the exported files. Also checks that no line occurs twice and no batch is missing.
UsageTotals read_exported_files(const TestDirectory& directory) {
    UsageTotals s;
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
    std::uint64_t max_batch = 0, batches = 0;
    for (const auto& entry : fs::directory_iterator(directory.export_directory())) {
        if (entry.path().extension() != ".jsonl") continue;
        ++batches;
        std::ifstream in(entry.path());
        for (std::string line; std::getline(in, line);) {
            const auto json = nlohmann::json::parse(line);
            EXPECT_TRUE(seen.emplace(json["batch"], json["line"]).second) << line;
            max_batch = std::max<std::uint64_t>(max_batch, json["batch"]);
            (json["gap"].get<bool>() ? s.unrecorded_count : s.record_count) +=
                json["rows"].get<std::uint64_t>();
            s.unit_millionths += std::llround(json["units"].get<double>() * 1e6);
        }
    }
    EXPECT_EQ(batches, max_batch) << "a batch is missing";
    return s;
}

// A billing endpoint as documented: accepts only the next batch, and replies with the last batch that it has.
struct BillingEndpoint {
    std::map<std::uint64_t, std::string> batches;
    std::uint64_t last_batch() const { return batches.empty() ? 0 : batches.rbegin()->first; }
    SinkReply post(std::uint64_t id, const std::string& body) {
        if (id > 0 && id == last_batch() + 1) batches[id] = body;
        return {true, last_batch(), {}};
    }
    UsageTotals totals() const {
        UsageTotals s;
        for (const auto& [id, body] : batches) {
            std::istringstream in(body);
            for (std::string line; std::getline(in, line);) {
                const auto json = nlohmann::json::parse(line);
                (json["gap"].get<bool>() ? s.unrecorded_count : s.record_count) +=
                    json["rows"].get<std::uint64_t>();
                s.unit_millionths += std::llround(json["units"].get<double>() * 1e6);
            }
        }
        return s;
    }
};

// One complete round of the exporter.
void run_export_round(const TestDirectory& directory, Faults& files) {
    UsageCollector collector(settings(directory), files, [&](const char* step) { files.run_step(step); });
    collector.ingest_records();
    collector.seal_batches(kNow + 1h, true);
    FileExport(collector, files, directory.export_directory(), ExportFormat::JsonLines, {}).export_batches();
    collector.prune_batches({"files:" + directory.export_directory()});
}

// ---- segments ----

TEST(Segment, ReturnsAllRecordsInOrder) {
    TestDirectory directory;
    write_segments(directory, 100, 16);    // 15 slots hold records
    FileSystem& files = usage_log::real_file_system();
    std::uint64_t index = 0;
    for (const std::string& name : files.list_directory(directory.segment_directory())) {
        const auto read = usage_log::read_segment(files, directory.segment_directory() + "/" + name, 0, 1000,
                                                  [&](const SegmentHeader& head, const UsageRecord& record) {
                                                      UsageRecord expected = make_record(index++);
                                                      expected.sequence = record.sequence;
                                                      EXPECT_EQ(record, expected);
                                                      EXPECT_EQ(head.gateway_index, 2u);
                                                  });
        EXPECT_TRUE(read.is_ended);
        EXPECT_EQ(read.damaged_slots, 0u);
    }
    EXPECT_EQ(index, 100u);
}

TEST(Segment, IsNotEndedWhileItsWriterHoldsTheLock) {
    TestDirectory directory;
    FileSystem& files = usage_log::real_file_system();
    const SegmentHeader head{1, 8, 5, 0, 1};
    auto segment = std::make_unique<usage_log::Segment>(files, directory.segment_directory(), head);
    usage_log::SegmentWriter writer({directory.segment_directory(), 1, 5, 8, 10}, std::move(segment));
    const std::string path = directory.segment_directory() + "/" + usage_log::segment_name(head);
    int seen = 0;
    const auto count = [&](const SegmentHeader&, const UsageRecord&) { ++seen; };
    writer.append(make_record(1));
    auto read = usage_log::read_segment(files, path, 0, 100, count);
    EXPECT_FALSE(read.is_ended);
    EXPECT_EQ(seen, 1);
    writer.append(make_record(2));
    read = usage_log::read_segment(files, path, read.next_slot, 100, count);
    EXPECT_EQ(seen, 2);
    EXPECT_EQ(read.next_slot, 2u);
}

TEST(Segment, CountsRequestsWithoutAFreeSlotInItsLastSlot) {
    TestDirectory directory;
    FileSystem& files = usage_log::real_file_system();
    const SegmentHeader head{1, 4, 5, 0, 1};
    std::int64_t expected_units = 0;
    {
        usage_log::SegmentWriter writer(
            {directory.segment_directory(), 1, 5, 4, 10},
            std::make_unique<usage_log::Segment>(files, directory.segment_directory(), head));
        for (std::uint64_t i = 0; i < 10; ++i) {
            const bool written = writer.append(make_record(i));
            EXPECT_EQ(written, i < 3);
            if (!written) expected_units += make_record(i).unit_millionths;
        }
        EXPECT_EQ(writer.statistics().unrecorded_requests, 7u);
        EXPECT_EQ(writer.statistics().unrecorded_units, expected_units);
    }
    std::vector<UsageRecord> all;
    const auto read = usage_log::read_segment(
        files, directory.segment_directory() + "/" + usage_log::segment_name(head), 0, 100,
        [&](const SegmentHeader&, const UsageRecord& record) { all.push_back(record); });
    EXPECT_TRUE(read.is_ended);
    ASSERT_EQ(all.size(), 4u);
    EXPECT_EQ(all[3].kind, UsageRecord::Kind::Unrecorded);
    EXPECT_EQ(all[3].record_count, 7u);
    EXPECT_EQ(all[3].unit_millionths, expected_units);
}

TEST(Segment, SkipsDamagedSlotsAndRejectsOtherFiles) {
    TestDirectory directory;
    write_segments(directory, 10, 16);
    FileSystem& files = usage_log::real_file_system();
    const std::string path =
        directory.segment_directory() + "/" + files.list_directory(directory.segment_directory()).front();
    {
        std::fstream corrupted_file(path, std::ios::in | std::ios::out | std::ios::binary);
        corrupted_file.seekp(5 * 64 + 9);    // the fifth slot
        corrupted_file.put('\x7f');
    }
    int seen = 0;
    auto read = usage_log::read_segment(files, path, 0, 100,
                                        [&](const SegmentHeader&, const UsageRecord&) { ++seen; });
    EXPECT_EQ(seen, 9);
    EXPECT_EQ(read.damaged_slots, 1u);
    EXPECT_TRUE(read.is_ended);
    std::ofstream(directory.segment_directory() + "/use-1-0000000000000001-00000000.seg") << "short";
    EXPECT_THROW(
        usage_log::read_segment(files, directory.segment_directory() + "/use-1-0000000000000001-00000000.seg",
                                0, 1, [](const SegmentHeader&, const UsageRecord&) {}),
        std::runtime_error);
    // The collector reads the other segments and adds a warning.
    Faults none;
    UsageCollector collector(settings(directory), none);
    EXPECT_EQ(collector.ingest_records(), 9u);
    EXPECT_EQ(collector.warnings().size(), 1u);
    EXPECT_EQ(collector.read_errors().damaged_slots, 1u);
}

// The writer is killed after some appends: exactly the records of finished appends are read.
TEST(Segment, KeepsAllRecordsAppendedBeforeAKill) {
    for (int kill = 0; kill < 12; ++kill) {
        TestDirectory directory;
        int pipes[2];
        ASSERT_EQ(pipe(pipes), 0);
        const pid_t child = fork();
        if (child == 0) {
            FileSystem& files = usage_log::real_file_system();
            usage_log::SegmentWriter writer(
                {directory.segment_directory(), 2, 9, 4, 100},
                std::make_unique<usage_log::Segment>(files, directory.segment_directory(),
                                                     SegmentHeader{2, 4, 9, 0, 1}));
            for (std::uint64_t i = 0;; ++i) {
                if (writer.needs_next_segment())
                    writer.set_next_segment(std::make_unique<usage_log::Segment>(
                        files, directory.segment_directory(), writer.next_segment_header()));
                if (static_cast<int>(i) == kill) raise(SIGKILL);
                writer.append(make_record(i));
                if (::write(pipes[1], "x", 1) != 1) _exit(1);
            }
        }
        close(pipes[1]);
        int status = 0, finished_appends = 0;
        waitpid(child, &status, 0);
        for (char c; ::read(pipes[0], &c, 1) == 1;) ++finished_appends;
        close(pipes[0]);
        ASSERT_TRUE(WIFSIGNALED(status));
        Faults none;
        UsageCollector collector(settings(directory), none);
        EXPECT_EQ(collector.ingest_records(), static_cast<std::uint64_t>(finished_appends));
        EXPECT_EQ(collector.ingest_records(), 0u);
    }
}

TEST(Recorder, CountsRequestsWhileTheSegmentLimitIsReached) {
    TestDirectory directory;
    constexpr std::uint64_t kRecords = 60'000;
    std::uint64_t unrecorded = 0;
    {
        usage_log::UsageRecorder recorder({directory.segment_directory(), 3, 4, 64, 3});
        for (std::uint64_t i = 0; i < kRecords; ++i) recorder.append(make_record(i));
        unrecorded = recorder.statistics().unrecorded_requests;
        EXPECT_GT(unrecorded, 0u);    // three segments hold 189 records
        EXPECT_LE(recorder.statistics().records, 3u * 63);
    }
    Faults none;
    UsageCollector collector(settings(directory), none);
    collector.ingest_records();
    UsageTotals all = collector.pending_totals();
    EXPECT_EQ(all.unrecorded_count, unrecorded);
    EXPECT_EQ(all.record_count + all.unrecorded_count, kRecords);
    EXPECT_EQ(all.unit_millionths, expected_totals(kRecords).unit_millionths);
    EXPECT_THROW(usage_log::UsageRecorder({directory.path + "/nowhere", 1, 1, 64, 3}), FileError);
}

// ---- kills and errors at each step ----

int count_steps(std::uint64_t rows) {
    TestDirectory directory;
    write_segments(directory, rows, 16);
    Faults files;
    run_export_round(directory, files);
    EXPECT_EQ(read_exported_files(directory), expected_totals(rows));
    return files.step_count;
}

TEST(ExportRound, RecoversFromAKillAtEachStep) {
    constexpr std::uint64_t kRows = 40;
    const int steps = count_steps(kRows);
    ASSERT_GT(steps, 60);
    for (int step = 1; step <= steps; ++step) {
        TestDirectory directory;
        write_segments(directory, kRows, 16);
        const pid_t child = fork();
        if (child == 0) {
            Faults files;
            files.at(step, Faults::Way::Kill);
            run_export_round(directory, files);
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) << "step " << step;
        Faults none;
        run_export_round(directory, none);
        ASSERT_EQ(read_exported_files(directory), expected_totals(kRows)) << "killed at step " << step;
        for (const auto& entry : fs::directory_iterator(directory.segment_directory()))
            ADD_FAILURE() << entry.path() << " remains after a kill at step " << step;
    }
}

TEST(ExportRound, RecoversFromAnErrorAtEachStep) {
    constexpr std::uint64_t kRows = 40;
    const int steps = count_steps(kRows);
    for (int step = 1; step <= steps; ++step) {
        TestDirectory directory;
        write_segments(directory, kRows, 16);
        Faults files;
        files.at(step, Faults::Way::Error);
        try {
            run_export_round(directory, files);
        } catch (const std::exception&) {
        }
        files.at(0, Faults::Way::None);
        run_export_round(directory, files);
        ASSERT_EQ(read_exported_files(directory), expected_totals(kRows)) << "failed at step " << step;
    }
}

TEST(ExportRound, DeliversEachBatchOnceAfterAKillAtEachStep) {
    // The endpoint is stored in files, as it outlives the killed exporter.
    for (int step = 1; step < 40; ++step) {
        TestDirectory directory;
        write_segments(directory, 40, 16);
        const auto send = [&](Faults& files) {
            UsageCollector collector(settings(directory), files, [&](const char* at) { files.run_step(at); });
            collector.ingest_records();
            collector.seal_batches(kNow + 1h, true);
            const std::string path_prefix = directory.path + "/endpoint";
            SinkExport sink(collector, "x",
                            [&](const std::string&, std::uint64_t id, const std::string& body) {
                                files.run_step("before");
                                BillingEndpoint endpoint;
                                for (std::uint64_t i = 1; fs::exists(path_prefix + std::to_string(i)); ++i)
                                    endpoint.batches[i] = usage_log::real_file_system().read_file(
                                        path_prefix + std::to_string(i));
                                const SinkReply answer = endpoint.post(id, body);
                                if (!fs::exists(path_prefix + std::to_string(id)))
                                    std::ofstream(path_prefix + std::to_string(id)) << body;
                                files.run_step("after");
                                return answer;
                            },
                            {});
            EXPECT_EQ(sink.export_batches(), SinkExport::State::Done);
        };
        const pid_t child = fork();
        if (child == 0) {
            Faults files;
            files.at(10 + step, Faults::Way::Kill);
            send(files);
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        Faults none;
        send(none);
        BillingEndpoint endpoint;
        for (std::uint64_t i = 1; fs::exists(directory.path + "/endpoint" + std::to_string(i)); ++i)
            endpoint.batches[i] =
                usage_log::real_file_system().read_file(directory.path + "/endpoint" + std::to_string(i));
        ASSERT_EQ(endpoint.totals(), expected_totals(40)) << "killed at step " << 10 + step;
    }
}

// ---- the billing endpoint ----

TEST(Sink, ReceivesEachBatchOnceDespiteLostRepliesAndLostBatches) {
    std::uint64_t first = 0, count = 60;
    if (const char* seed = std::getenv("SINK_SEED")) first = std::strtoull(seed, nullptr, 10), count = 1;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("replay with SINK_SEED=" + std::to_string(seed));
        std::mt19937_64 random(seed);
        TestDirectory directory;
        Faults none;
        auto s = settings(directory);
        s.max_batch_lines = 2;
        UsageCollector collector(s, none);
        BillingEndpoint endpoint, copy;
        SinkExport sink(collector, "x",
                        [&](const std::string&, std::uint64_t id, const std::string& body) -> SinkReply {
                            const auto fault = random() % 8;
                            if (fault == 0) return {false, 0, "500"};
                            if (fault == 1) {
                                endpoint.post(id, body);
                                return {false, 0, "the reply was lost"};
                            }
                            if (fault == 2)
                                endpoint.batches.erase(endpoint.last_batch());    // it loses its newest batch
                            if (fault == 3) copy = endpoint;
                            if (fault == 4 && random() % 4 == 0)
                                endpoint = copy;    // it is replaced by an old copy
                            return endpoint.post(id, body);
                        },
                        {});
        std::uint64_t rows = 0;
        for (int turn = 0; turn < 12; ++turn) {
            const std::uint64_t more = random() % 20;
            write_segments(directory, more, 8, 100 + static_cast<std::uint64_t>(turn));
            rows += more;
            collector.ingest_records();
            collector.seal_batches(kNow + 1h, true);
            sink.export_batches();
        }
        SinkExport::State state = SinkExport::State::RetryLater;
        for (int i = 0; i < 500 && state != SinkExport::State::Done; ++i) state = sink.export_batches();
        ASSERT_EQ(state, SinkExport::State::Done);
        // Batches lost after its last reply are detected by queries.
        for (int i = 0; i < 200 && endpoint.last_batch() < collector.last_sealed_batch(); ++i) {
            sink.check_sink();
            sink.export_batches();
        }
        ASSERT_EQ(endpoint.last_batch(), collector.last_sealed_batch());
        ASSERT_EQ(endpoint.totals().record_count, rows);
        ASSERT_EQ(endpoint.totals(), collector.exported_totals());
    }
}

TEST(Sink, StopsIfTheEndpointHasUnknownBatchesOrLacksPrunedOnes) {
    TestDirectory directory;
    write_segments(directory, 60, 16);
    Faults none;
    auto s = settings(directory);
    s.retained_batches = 1;
    s.max_batch_lines = 2;
    UsageCollector collector(s, none);
    collector.ingest_records();
    collector.seal_batches(kNow + 1h, true);
    ASSERT_GT(collector.last_sealed_batch(), 2u);
    SinkReply reply{true, 9999, {}};
    SinkExport sink(collector, "x",
                    [&](const std::string&, std::uint64_t, const std::string&) { return reply; }, {});
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Stopped);
    EXPECT_NE(sink.last_error().find("copy of the store"), std::string::npos);
    reply.acknowledged_batch = collector.last_sealed_batch();
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Done);
    collector.prune_batches({sink.sink_name()});
    collector.set_acknowledged(sink.sink_name(), 0);    // it lost all batches
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Stopped);
    EXPECT_NE(sink.last_error().find("dropped here"), std::string::npos);
    EXPECT_FALSE(parse_acknowledged_batch("{}") || parse_acknowledged_batch("{\"have\":-1}") ||
                 parse_acknowledged_batch("x") || parse_acknowledged_batch("{\"have\":\"1\"}"));
}

TEST(Collector, SealsOnlySettledMinutesAndSumsByMinute) {
    TestDirectory directory;
    write_segments(directory, 200, 64);    // 140 s, starting 20 s before the end of a minute
    Faults none;
    auto s = settings(directory);
    s.max_batch_lines = 1000;
    UsageCollector collector(s, none);
    collector.ingest_records();
    EXPECT_EQ(collector.seal_batches(kNow, false), 0u);
    EXPECT_EQ(collector.seal_batches(kNow + 70s, false), 1u);
    const auto batch = collector.read_batch(1);
    ASSERT_TRUE(batch);
    for (const UsageLine& line : batch->lines) {
        EXPECT_LE((line.minute + 1) * 60, (kNow + 65s).time_since_epoch() / 1s);
        EXPECT_GT(line.record_count, 0u);
    }
    const std::string csv = write_batch(*batch, ExportFormat::Csv, {"equipo", "empresa"}, {"claim-read"});
    EXPECT_NE(csv.find(",empresa,"), std::string::npos);
    EXPECT_NE(csv.find(",claim-read,"), std::string::npos);
    UsageTotals all = collector.pending_totals();
    all.record_count += collector.exported_totals().record_count;
    all.unit_millionths += collector.exported_totals().unit_millionths;
    EXPECT_EQ(all, expected_totals(200));
}

// ---- the store ----

TEST(Store, ReportsTheKindOfErrorAndThePath) {
    using usage_store::Database;
    using usage_store::StoreError;
    using Kind = StoreError::Kind;
    TestDirectory directory;
    const auto kind = [&](usage_store::OpenSettings s) {
        try {
            Database database(s);
        } catch (const StoreError& error) {
            EXPECT_NE(std::string(error.what()).find(s.path), std::string::npos);
            return error.kind();
        }
        return Kind::Other;
    };
    {
        Database first({directory.database_path(), true, 0, database_schema()});
        EXPECT_EQ(kind({directory.database_path(), true, 0, database_schema()}), Kind::InUse);
    }
    auto newer = database_schema();
    newer.push_back("CREATE TABLE more (x);");
    { Database database({directory.database_path(), true, 0, newer}); }    // migrates it
    EXPECT_EQ(kind({directory.database_path(), true, 0, database_schema()}), Kind::NewerSchema);
    std::ofstream(directory.path + "/spoilt") << std::string(8192, 'x');
    EXPECT_EQ(kind({directory.path + "/spoilt", true, 0, database_schema()}), Kind::Corrupt);
    EXPECT_EQ(kind({directory.path + "/no/where", true, 0, database_schema()}), Kind::Unreadable);
}

TEST(Store, KeepsCommittedRecordsWhenFullAndContinuesWithAHigherLimit) {
    TestDirectory directory;
    auto s = settings(directory);
    s.max_store_bytes = 80 * 1024;
    s.max_batch_lines = 100000;
    write_segments(directory, 100, 16);
    Faults none;
    std::uint64_t incarnation = 10;
    {
        UsageCollector collector(s, none);
        collector.ingest_records();
        bool full = false;
        for (; !full && incarnation < 200; ++incarnation) {
            usage_log::WriterSettings writer_settings{directory.segment_directory(), 2, incarnation, 256,
                                                      1000};
            usage_log::SegmentWriter writer(writer_settings, std::make_unique<usage_log::Segment>(
                                                                 none, writer_settings.directory,
                                                                 SegmentHeader{2, 256, incarnation, 0, 1}));
            for (std::uint64_t i = 0; i < 200; ++i) {
                UsageRecord record = make_record(i);
                record.customer = CustomerId{incarnation * 1000 + i};
                writer.append(record);
            }
            writer.close_segments(none);
            try {
                collector.ingest_records();
            } catch (const usage_store::StoreError& error) {
                full = error.kind() == usage_store::StoreError::Kind::Full;
            }
        }
        ASSERT_TRUE(full);
        EXPECT_GT(collector.unread_totals().record_count, 0u);
    }
    s.max_store_bytes = 0;
    UsageCollector collector(s, none);
    collector.ingest_records();
    EXPECT_EQ(collector.pending_totals().record_count, 100u + (incarnation - 10) * 200);
    EXPECT_EQ(collector.unread_totals().record_count, 0u);
    // A backup made while the database is in use has the same content.
    collector.database().backup_to(directory.path + "/copy.db");
    auto copy_settings = s;
    copy_settings.store_path = directory.path + "/copy.db";
    UsageCollector copy(copy_settings, none);
    EXPECT_EQ(copy.pending_totals(), collector.pending_totals());
    EXPECT_TRUE(copy.database().check_integrity().empty());
    copy.database().compact();
    EXPECT_EQ(copy.pending_totals(), collector.pending_totals());
}

}    // namespace
}    // namespace shaletray::usage
