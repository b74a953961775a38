// Use records from the gateway's memory to the bill: segments, the store, files and a billing endpoint, with
// a kill and an error at each single step of each, not at a sample of them.
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

struct Folder {
    Folder() {
        char name[] = "/tmp/shaletray-usage-XXXXXX";
        path = mkdtemp(name);
        fs::create_directories(journal());
        fs::create_directories(out());
    }
    ~Folder() { fs::remove_all(path); }
    std::string journal() const { return path + "/journal"; }
    std::string out() const { return path + "/out"; }
    std::string store() const { return path + "/use.db"; }
    std::string path;
};

using Faults = usage_log::test::FaultyFiles;

UsageRecord use(std::uint64_t i) {
    UsageRecord u;
    u.admitted_at = kNow + Duration(static_cast<std::int64_t>(i) * 700'000);
    u.customer = CustomerId{i % 5};
    u.unit_millionths = usage_log::to_millionths(static_cast<double>(i % 3) + 0.5);
    u.plan_version = static_cast<std::uint32_t>(i % 2);
    u.plan_index = 1;
    return u;
}

void write_segments(const Folder& folder, std::uint64_t count, std::uint32_t slots, std::uint64_t life = 9) {
    usage_log::WriterSettings s{folder.journal(), 2, life, slots, 1000};
    FileSystem& files = usage_log::real_file_system();
    usage_log::SegmentWriter writer(
        s, std::make_unique<usage_log::Segment>(files, s.folder, SegmentHeader{2, slots, life, 0, 1}));
    for (std::uint64_t i = 0; i < count; ++i) {
        if (writer.needs_next_segment())
            writer.set_next_segment(
                std::make_unique<usage_log::Segment>(files, s.folder, writer.next_segment_header()));
        ASSERT_TRUE(writer.append(use(i)));
    }
    writer.close_segments(files);
}

UsageTotals sums_of(std::uint64_t count) {
    UsageTotals s;
    for (std::uint64_t i = 0; i < count; ++i)
        s.record_count += 1, s.unit_millionths += use(i).unit_millionths;
    return s;
}

CollectorSettings settings(const Folder& folder) {
    CollectorSettings s;
    s.journal_directory = folder.journal();
    s.store_path = folder.store();
    s.max_batch_lines = 7;
    s.records_per_transaction = 11;
    return s;
}

// What is in the files, and that no line is there twice and no number missing.
UsageTotals filed(const Folder& folder) {
    UsageTotals s;
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
    std::uint64_t most = 0, batches = 0;
    for (const auto& entry : fs::directory_iterator(folder.out())) {
        if (entry.path().extension() != ".jsonl") continue;
        ++batches;
        std::ifstream in(entry.path());
        for (std::string line; std::getline(in, line);) {
            const auto json = nlohmann::json::parse(line);
            EXPECT_TRUE(seen.emplace(json["batch"], json["line"]).second) << line;
            most = std::max<std::uint64_t>(most, json["batch"]);
            (json["gap"].get<bool>() ? s.unrecorded_count : s.record_count) +=
                json["rows"].get<std::uint64_t>();
            s.unit_millionths += std::llround(json["units"].get<double>() * 1e6);
        }
    }
    EXPECT_EQ(batches, most) << "a batch is missing";
    return s;
}

// A billing endpoint as its page states it: takes the next batch only, and says up to where it has them.
struct Endpoint {
    std::map<std::uint64_t, std::string> batches;
    std::uint64_t have() const { return batches.empty() ? 0 : batches.rbegin()->first; }
    SinkReply post(std::uint64_t id, const std::string& body) {
        if (id > 0 && id == have() + 1) batches[id] = body;
        return {true, have(), {}};
    }
    UsageTotals sums() const {
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

// One whole round of the exporter.
void round(const Folder& folder, Faults& files) {
    UsageCollector collector(settings(folder), files, [&](const char* step) { files.pass(step); });
    collector.ingest_records();
    collector.seal_batches(kNow + 1h, true);
    FileExport(collector, files, folder.out(), ExportFormat::JsonLines, {}).export_batches();
    collector.prune_batches({"files:" + folder.out()});
}

// ---- segments ----

TEST(Segment, GivesBackWhatWasWrittenWhileItIsWrittenAndAfter) {
    Folder folder;
    write_segments(folder, 100, 16);    // 15 of them usable
    FileSystem& files = usage_log::real_file_system();
    std::uint64_t n = 0;
    for (const std::string& name : files.list_directory(folder.journal())) {
        const auto read = usage_log::read_segment(files, folder.journal() + "/" + name, 0, 1000,
                                                  [&](const SegmentHeader& head, const UsageRecord& u) {
                                                      UsageRecord expected = use(n++);
                                                      expected.sequence = u.sequence;
                                                      EXPECT_EQ(u, expected);
                                                      EXPECT_EQ(head.gateway_index, 2u);
                                                  });
        EXPECT_TRUE(read.is_ended);
        EXPECT_EQ(read.damaged_slots, 0u);
    }
    EXPECT_EQ(n, 100u);
}

TEST(Segment, IsNotOverWhileItsWriterLives) {
    Folder folder;
    FileSystem& files = usage_log::real_file_system();
    const SegmentHeader head{1, 8, 5, 0, 1};
    auto segment = std::make_unique<usage_log::Segment>(files, folder.journal(), head);
    usage_log::SegmentWriter writer({folder.journal(), 1, 5, 8, 10}, std::move(segment));
    const std::string path = folder.journal() + "/" + usage_log::segment_name(head);
    int seen = 0;
    const auto count = [&](const SegmentHeader&, const UsageRecord&) { ++seen; };
    writer.append(use(1));
    auto read = usage_log::read_segment(files, path, 0, 100, count);
    EXPECT_FALSE(read.is_ended);
    EXPECT_EQ(seen, 1);
    writer.append(use(2));
    read = usage_log::read_segment(files, path, read.next_slot, 100, count);
    EXPECT_EQ(seen, 2);
    EXPECT_EQ(read.next_slot, 2u);
}

TEST(Segment, CountsWhatHasNoRoomInItsLastSlot) {
    Folder folder;
    FileSystem& files = usage_log::real_file_system();
    const SegmentHeader head{1, 4, 5, 0, 1};
    std::int64_t lost = 0;
    {
        usage_log::SegmentWriter writer({folder.journal(), 1, 5, 4, 10},
                                        std::make_unique<usage_log::Segment>(files, folder.journal(), head));
        for (std::uint64_t i = 0; i < 10; ++i) {
            const bool written = writer.append(use(i));
            EXPECT_EQ(written, i < 3);
            if (!written) lost += use(i).unit_millionths;
        }
        EXPECT_EQ(writer.statistics().unrecorded_requests, 7u);
        EXPECT_EQ(writer.statistics().unrecorded_units, lost);
    }
    std::vector<UsageRecord> all;
    const auto read =
        usage_log::read_segment(files, folder.journal() + "/" + usage_log::segment_name(head), 0, 100,
                                [&](const SegmentHeader&, const UsageRecord& u) { all.push_back(u); });
    EXPECT_TRUE(read.is_ended);
    ASSERT_EQ(all.size(), 4u);
    EXPECT_EQ(all[3].kind, UsageRecord::Kind::Unrecorded);
    EXPECT_EQ(all[3].record_count, 7u);
    EXPECT_EQ(all[3].unit_millionths, lost);
}

TEST(Segment, TellsDamageFromTheEndAndRefusesWhatIsNone) {
    Folder folder;
    write_segments(folder, 10, 16);
    FileSystem& files = usage_log::real_file_system();
    const std::string path = folder.journal() + "/" + files.list_directory(folder.journal()).front();
    {
        std::fstream spoil(path, std::ios::in | std::ios::out | std::ios::binary);
        spoil.seekp(5 * 64 + 9);    // the fifth slot
        spoil.put('\x7f');
    }
    int seen = 0;
    auto read = usage_log::read_segment(files, path, 0, 100,
                                        [&](const SegmentHeader&, const UsageRecord&) { ++seen; });
    EXPECT_EQ(seen, 9);
    EXPECT_EQ(read.damaged_slots, 1u);
    EXPECT_TRUE(read.is_ended);
    std::ofstream(folder.journal() + "/use-1-0000000000000001-00000000.seg") << "short";
    EXPECT_THROW(usage_log::read_segment(files, folder.journal() + "/use-1-0000000000000001-00000000.seg", 0,
                                         1, [](const SegmentHeader&, const UsageRecord&) {}),
                 std::runtime_error);
    // The collector goes on with the others, and says so.
    Faults none;
    UsageCollector collector(settings(folder), none);
    EXPECT_EQ(collector.ingest_records(), 9u);
    EXPECT_EQ(collector.warnings().size(), 1u);
    EXPECT_EQ(collector.read_errors().damaged_slots, 1u);
}

// The writer is killed after any number of bytes of a record: what it had finished is there, and no more.
TEST(Segment, HoldsWhatWasAppendedBeforeAKill) {
    for (int kill = 0; kill < 12; ++kill) {
        Folder folder;
        int pipes[2];
        ASSERT_EQ(pipe(pipes), 0);
        const pid_t child = fork();
        if (child == 0) {
            FileSystem& files = usage_log::real_file_system();
            usage_log::SegmentWriter writer(
                {folder.journal(), 2, 9, 4, 100},
                std::make_unique<usage_log::Segment>(files, folder.journal(), SegmentHeader{2, 4, 9, 0, 1}));
            for (std::uint64_t i = 0;; ++i) {
                if (writer.needs_next_segment())
                    writer.set_next_segment(std::make_unique<usage_log::Segment>(
                        files, folder.journal(), writer.next_segment_header()));
                if (static_cast<int>(i) == kill) raise(SIGKILL);
                writer.append(use(i));
                if (::write(pipes[1], "x", 1) != 1) _exit(1);
            }
        }
        close(pipes[1]);
        int status = 0, told = 0;
        waitpid(child, &status, 0);
        for (char c; ::read(pipes[0], &c, 1) == 1;) ++told;
        close(pipes[0]);
        ASSERT_TRUE(WIFSIGNALED(status));
        Faults none;
        UsageCollector collector(settings(folder), none);
        EXPECT_EQ(collector.ingest_records(), static_cast<std::uint64_t>(told));
        EXPECT_EQ(collector.ingest_records(), 0u);
    }
}

TEST(Recorder, GoesOnWhereSegmentsCannotBeMadeForAWhile) {
    Folder folder;
    constexpr std::uint64_t kAll = 60'000;
    std::uint64_t unrecorded = 0;
    {
        usage_log::UsageRecorder recorder({folder.journal(), 3, 4, 64, 3});
        for (std::uint64_t i = 0; i < kAll; ++i) recorder.append(use(i));
        unrecorded = recorder.statistics().unrecorded_requests;
        EXPECT_GT(unrecorded, 0u);    // three segments hold 189
        EXPECT_LE(recorder.statistics().records, 3u * 63);
    }
    Faults none;
    UsageCollector collector(settings(folder), none);
    collector.ingest_records();
    UsageTotals all = collector.pending_totals();
    EXPECT_EQ(all.unrecorded_count, unrecorded);
    EXPECT_EQ(all.record_count + all.unrecorded_count, kAll);
    EXPECT_EQ(all.unit_millionths, sums_of(kAll).unit_millionths);
    EXPECT_THROW(usage_log::UsageRecorder({folder.path + "/nowhere", 1, 1, 64, 3}), FileError);
}

// ---- kills and errors at each step ----

int steps_of_a_round(std::uint64_t rows) {
    Folder folder;
    write_segments(folder, rows, 16);
    Faults files;
    round(folder, files);
    EXPECT_EQ(filed(folder), sums_of(rows));
    return files.count;
}

TEST(EachStep, OfIngestSealAndFileSurvivesAKill) {
    constexpr std::uint64_t kRows = 40;
    const int steps = steps_of_a_round(kRows);
    ASSERT_GT(steps, 60);
    for (int step = 1; step <= steps; ++step) {
        Folder folder;
        write_segments(folder, kRows, 16);
        const pid_t child = fork();
        if (child == 0) {
            Faults files;
            files.at(step, Faults::Way::Kill);
            round(folder, files);
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) << "step " << step;
        Faults none;
        round(folder, none);
        ASSERT_EQ(filed(folder), sums_of(kRows)) << "killed at step " << step;
        for (const auto& entry : fs::directory_iterator(folder.journal()))
            ADD_FAILURE() << entry.path() << " is left, killed at step " << step;
    }
}

TEST(EachStep, OfIngestSealAndFileSurvivesAnError) {
    constexpr std::uint64_t kRows = 40;
    const int steps = steps_of_a_round(kRows);
    for (int step = 1; step <= steps; ++step) {
        Folder folder;
        write_segments(folder, kRows, 16);
        Faults files;
        files.at(step, Faults::Way::Error);
        try {
            round(folder, files);
        } catch (const std::exception&) {
        }
        files.at(0, Faults::Way::None);
        round(folder, files);
        ASSERT_EQ(filed(folder), sums_of(kRows)) << "failed at step " << step;
    }
}

TEST(EachStep, OfSendingSurvivesAKillBeforeAndAfterTheAnswer) {
    // The endpoint stands in a file, as it outlives the exporter.
    for (int step = 1; step < 40; ++step) {
        Folder folder;
        write_segments(folder, 40, 16);
        const auto send = [&](Faults& files) {
            UsageCollector collector(settings(folder), files, [&](const char* at) { files.pass(at); });
            collector.ingest_records();
            collector.seal_batches(kNow + 1h, true);
            const std::string place = folder.path + "/endpoint";
            SinkExport sink(collector, "x",
                            [&](const std::string&, std::uint64_t id, const std::string& body) {
                                files.pass("before");
                                Endpoint endpoint;
                                for (std::uint64_t i = 1; fs::exists(place + std::to_string(i)); ++i)
                                    endpoint.batches[i] =
                                        usage_log::real_file_system().read_file(place + std::to_string(i));
                                const SinkReply answer = endpoint.post(id, body);
                                if (!fs::exists(place + std::to_string(id)))
                                    std::ofstream(place + std::to_string(id)) << body;
                                files.pass("after");
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
        Endpoint endpoint;
        for (std::uint64_t i = 1; fs::exists(folder.path + "/endpoint" + std::to_string(i)); ++i)
            endpoint.batches[i] =
                usage_log::real_file_system().read_file(folder.path + "/endpoint" + std::to_string(i));
        ASSERT_EQ(endpoint.sums(), sums_of(40)) << "killed at step " << 10 + step;
    }
}

// ---- the billing endpoint ----

TEST(Sink, GetsEachBatchOnceWhateverBecomesOfAnswersAndOfIts) {
    std::uint64_t first = 0, count = 60;
    if (const char* seed = std::getenv("SINK_SEED")) first = std::strtoull(seed, nullptr, 10), count = 1;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("replay with SINK_SEED=" + std::to_string(seed));
        std::mt19937_64 random(seed);
        Folder folder;
        Faults none;
        auto s = settings(folder);
        s.max_batch_lines = 2;
        UsageCollector collector(s, none);
        Endpoint endpoint, copy;
        SinkExport sink(collector, "x",
                        [&](const std::string&, std::uint64_t id, const std::string& body) -> SinkReply {
                            const auto fault = random() % 8;
                            if (fault == 0) return {false, 0, "500"};
                            if (fault == 1) {
                                endpoint.post(id, body);
                                return {false, 0, "the answer was lost"};
                            }
                            if (fault == 2)
                                endpoint.batches.erase(endpoint.have());    // it forgets its last second
                            if (fault == 3) copy = endpoint;
                            if (fault == 4 && random() % 4 == 0)
                                endpoint = copy;    // it is replaced by a copy
                            return endpoint.post(id, body);
                        },
                        {});
        std::uint64_t rows = 0;
        for (int turn = 0; turn < 12; ++turn) {
            const std::uint64_t more = random() % 20;
            write_segments(folder, more, 8, 100 + static_cast<std::uint64_t>(turn));
            rows += more;
            collector.ingest_records();
            collector.seal_batches(kNow + 1h, true);
            sink.export_batches();
        }
        SinkExport::State state = SinkExport::State::RetryLater;
        for (int i = 0; i < 500 && state != SinkExport::State::Done; ++i) state = sink.export_batches();
        ASSERT_EQ(state, SinkExport::State::Done);
        // What it forgot after its last word is found out by asking.
        for (int i = 0; i < 200 && endpoint.have() < collector.last_sealed_batch(); ++i) {
            sink.check_sink();
            sink.export_batches();
        }
        ASSERT_EQ(endpoint.have(), collector.last_sealed_batch());
        ASSERT_EQ(endpoint.sums().record_count, rows);
        ASSERT_EQ(endpoint.sums(), collector.exported_totals());
    }
}

TEST(Sink, IsStoppedWhereItKnowsMoreThanWasMadeOrLessThanIsKept) {
    Folder folder;
    write_segments(folder, 60, 16);
    Faults none;
    auto s = settings(folder);
    s.retained_batches = 1;
    s.max_batch_lines = 2;
    UsageCollector collector(s, none);
    collector.ingest_records();
    collector.seal_batches(kNow + 1h, true);
    ASSERT_GT(collector.last_sealed_batch(), 2u);
    SinkReply said{true, 9999, {}};
    SinkExport sink(collector, "x",
                    [&](const std::string&, std::uint64_t, const std::string&) { return said; }, {});
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Stopped);
    EXPECT_NE(sink.last_error().find("copy of the store"), std::string::npos);
    said.acknowledged_batch = collector.last_sealed_batch();
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Done);
    collector.prune_batches({sink.sink_name()});
    collector.set_acknowledged(sink.sink_name(), 0);    // it lost all
    EXPECT_EQ(sink.export_batches(), SinkExport::State::Stopped);
    EXPECT_NE(sink.last_error().find("dropped here"), std::string::npos);
    EXPECT_FALSE(parse_acknowledged_batch("{}") || parse_acknowledged_batch("{\"have\":-1}") ||
                 parse_acknowledged_batch("x") || parse_acknowledged_batch("{\"have\":\"1\"}"));
}

TEST(Collector, SealsOnlyWhatIsOldEnoughAndAddsUpByMinute) {
    Folder folder;
    write_segments(folder, 200, 64);    // 140 s, from the last 20 s of a minute on
    Faults none;
    auto s = settings(folder);
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
    EXPECT_EQ(all, sums_of(200));
}

// ---- the store ----

TEST(Store, SaysWhatIsWrongWithItsFile) {
    using usage_store::Database;
    using usage_store::StoreError;
    using Kind = StoreError::Kind;
    Folder folder;
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
        Database first({folder.store(), true, 0, database_schema()});
        EXPECT_EQ(kind({folder.store(), true, 0, database_schema()}), Kind::InUse);
    }
    auto newer = database_schema();
    newer.push_back("CREATE TABLE more (x);");
    { Database database({folder.store(), true, 0, newer}); }    // forward
    EXPECT_EQ(kind({folder.store(), true, 0, database_schema()}), Kind::NewerSchema);
    std::ofstream(folder.path + "/spoilt") << std::string(8192, 'x');
    EXPECT_EQ(kind({folder.path + "/spoilt", true, 0, database_schema()}), Kind::Corrupt);
    EXPECT_EQ(kind({folder.path + "/no/where", true, 0, database_schema()}), Kind::Unreadable);
}

TEST(Store, FullKeepsWhatWasCommittedAndGoesOnWhenThereIsRoom) {
    Folder folder;
    auto s = settings(folder);
    s.max_store_bytes = 80 * 1024;
    s.max_batch_lines = 100000;
    write_segments(folder, 100, 16);
    Faults none;
    std::uint64_t life = 10;
    {
        UsageCollector collector(s, none);
        collector.ingest_records();
        bool full = false;
        for (; !full && life < 200; ++life) {
            usage_log::WriterSettings w{folder.journal(), 2, life, 256, 1000};
            usage_log::SegmentWriter writer(
                w, std::make_unique<usage_log::Segment>(none, w.folder, SegmentHeader{2, 256, life, 0, 1}));
            for (std::uint64_t i = 0; i < 200; ++i) {
                UsageRecord u = use(i);
                u.customer = CustomerId{life * 1000 + i};
                writer.append(u);
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
    EXPECT_EQ(collector.pending_totals().record_count, 100u + (life - 10) * 200);
    EXPECT_EQ(collector.unread_totals().record_count, 0u);
    // A copy that holds the same, made in service.
    collector.database().backup_to(folder.path + "/copy.db");
    auto of_copy = s;
    of_copy.store_path = folder.path + "/copy.db";
    UsageCollector copy(of_copy, none);
    EXPECT_EQ(copy.pending_totals(), collector.pending_totals());
    EXPECT_TRUE(copy.database().check_integrity().empty());
    copy.database().compact();
    EXPECT_EQ(copy.pending_totals(), collector.pending_totals());
}

}    // namespace
}    // namespace shaletray::usage
