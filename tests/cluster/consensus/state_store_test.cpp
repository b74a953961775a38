// The state store on a disk that loses power, tears files, hangs and fails writes.
#include "cluster/consensus/state_store.h"

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>

#include "cluster/consensus/power_loss_file_system.h"
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// A state store with functions that wait for its writes. `store` is null if it could not be opened.
struct TestStateStore {
    std::unique_ptr<StateStore> store;
    std::mutex mutex;
    std::condition_variable tokens_stored;

    TestStateStore(const std::string& folder, bool founder, SyncingFileSystem* disk = nullptr) {
        auto opened = disk ? StateStore::open(folder, founder, *disk) : StateStore::open(folder, founder);
        if (!opened) return;
        store = std::move(opened.value());
        store->set_stored_callback([this] {
            const std::lock_guard lock(mutex);
            tokens_stored.notify_all();
        });
    }
    ~TestStateStore() { store.reset(); }
    // Saves the state and waits until it is stored; returns false if writes fail.
    bool save_and_wait(std::uint64_t token, const PersistentState& saved) {
        store->save({token, saved});
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->take_stored_tokens())
                if (done == token) return true;
            if (store->failed_writes() > 0) return false;
            tokens_stored.wait_for(lock, 1ms);
        }
    }
    void wait_for(std::uint64_t token) {
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->take_stored_tokens())
                if (done == token) return;
            tokens_stored.wait_for(lock, 10ms);
        }
    }
};

bool operator==(const PersistentState& left, const PersistentState& right) {
    return left.disk_id == right.disk_id && left.committed == right.committed &&
           left.promised_ballot == right.promised_ballot && left.accepted_ballot == right.accepted_ballot &&
           left.accepted_entry == right.accepted_entry;
}

std::uintmax_t size_of(const fs::path& folder) {
    std::uintmax_t size = 0;
    std::error_code error;    // the database may remove files concurrently
    for (const auto& entry : fs::directory_iterator(folder)) {
        const auto entry_size = fs::file_size(entry, error);
        if (!error) size += entry_size;
    }
    return size;
}

std::string read_file(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Generates successive states like those that a voter writes.
struct StateGenerator {
    std::mt19937_64 random;
    PersistentState saved;
    explicit StateGenerator(std::uint64_t seed, const PersistentState& from) : random(seed), saved(from) {}
    const PersistentState& next_state() {
        if (saved.committed.voters.empty())
            saved.committed.voters = {{"10.1.0.1:7100", 0}, {"10.1.0.2:7100", 0}};
        saved.promised_ballot.round += 1 + random() % 3;
        saved.promised_ballot.proposer = "10.1.0.1:7100#" + std::to_string(random());
        if (saved.accepted_entry && random() % 2) {
            saved.committed = *std::exchange(saved.accepted_entry, std::nullopt);
            saved.promised_ballot = saved.accepted_ballot = {};
        } else if (random() % 2) {
            saved.accepted_ballot = saved.promised_ballot;
            saved.accepted_entry = saved.committed;
            ++saved.accepted_entry->number;
            if (random() % 4) {
                saved.accepted_entry->earlier_digests = {
                    {saved.accepted_entry->version, saved.accepted_entry->number, random()}};
                ++saved.accepted_entry->version;
                saved.accepted_entry->text.assign(random() % 40'000, static_cast<char>('a' + random() % 26));
            }
        }
        return saved;
    }
};

Test(store, database_size_stays_bounded) {
    TemporaryFolder folder;
    PowerLossFileSystem disk(1);
    TestStateStore test_store(folder.at("database"), true, &disk);
    PersistentState saved;
    std::uintmax_t maximum = 0;
    for (std::uint64_t token = 1; token <= 400; ++token) {
        saved.committed = {
            token, {{"10.1.0.1:7100", 0}}, token, std::string(100'000, static_cast<char>(token))};
        cr_assert(test_store.save_and_wait(token, saved));
        maximum = std::max(maximum, size_of(folder.path / "database"));
    }
    printf("at most %ju bytes on disk for texts of 100000 bytes\n", maximum);
    cr_assert(maximum < 8'000'000, "%ju", maximum);
}

Test(store, memory_and_disk_use_stay_bounded_over_ten_thousand_changes) {
    TemporaryFolder folder;
    PowerLossFileSystem disk(1);
    TestStateStore test_store(folder.at("database"), true, &disk);
    StateGenerator generator(1, test_store.store->loaded_state());
    constexpr std::uint64_t kChanges = 10'000 / kSanitizerDivisor, kWarmUpChanges = kChanges / 5;
    std::uintmax_t early = 0, late = 0;
    std::size_t heap = 0, max_heap = 0;
    for (std::uint64_t token = 1; token <= kChanges; ++token) {
        generator.next_state();
        if (generator.saved.accepted_entry) generator.saved.accepted_entry->text.resize(800);
        cr_assert(test_store.save_and_wait(token, generator.saved));
        if (token % 25 != 0) continue;
        std::uintmax_t& maximum = token <= kWarmUpChanges ? early : late;
        maximum = std::max(maximum, size_of(folder.path / "database"));
        if (token <= kWarmUpChanges) heap = std::max(heap, allocated_bytes());
        else max_heap = std::max(max_heap, allocated_bytes());
    }
    printf(
        "%lu changes: at most %ju bytes on disk until the %luth, then %ju; heap %zu, then %zu; %lu syncs of "
        "the "
        "folder\n",
        kChanges, early, kWarmUpChanges, late, heap, max_heap, disk.folder_syncs);
    cr_assert(late < 2'000'000);
    cr_assert(max_heap < heap + 1'000'000);
}

using Unsynced = PowerLossFileSystem::Unsynced;

// Successive incarnations of one store, each of which may end at any step of the disk.
struct CrashTestStore {
    TemporaryFolder folder;
    PowerLossFileSystem disk;
    std::string database_path = folder.at("database"), watermark_path = database_path + "/MARK",
                old_watermark;
    std::vector<PersistentState> possible_states;    // the last stored state, and those saved after it
    std::mt19937_64 random;
    std::size_t writes = 0, failed_opens = 0;

    explicit CrashTestStore(std::uint64_t seed) : disk(seed), random(seed) {}
    void run_incarnation(bool founder, std::uint64_t seed, std::uint64_t write_count,
                         std::optional<std::uint64_t> steps_left = {}) {
        TestStateStore test_store(database_path, founder, &disk);
        if (!test_store.store) {    // the power was lost while opening
            ++failed_opens;
            return;
        }
        const PersistentState& loaded = test_store.store->loaded_state();
        const auto is = [&](const PersistentState& state) { return state == loaded; };
        cr_assert(test_store.store->discard_reason().empty(), "%s",
                  test_store.store->discard_reason().c_str());
        cr_assert(possible_states.empty() || std::any_of(possible_states.begin(), possible_states.end(), is),
                  "seed %lu", seed);
        StateGenerator writer(seed, loaded);
        if (steps_left) disk.steps_left = *steps_left;
        possible_states = {loaded};
        for (std::uint64_t token = 1; token <= write_count; ++token, ++writes) {
            possible_states.push_back(writer.next_state());
            if (!test_store.save_and_wait(token, writer.saved)) break;
            possible_states = {writer.saved};
            if (random() % 32 == 0) old_watermark = read_file(watermark_path);
        }
    }
    void simulate_power_loss(Unsynced unsynced = Unsynced::KeptAtRandom) {
        disk.simulate_power_loss(unsynced);
        switch (random() % 4) {    // the watermark may be lost, truncated or outdated, as it is never synced
            case 0: fs::remove(watermark_path); break;
            case 1:
                if (fs::exists(watermark_path)) fs::resize_file(watermark_path, random() % 17);
                break;
            case 2: std::ofstream(watermark_path, std::ios::binary) << old_watermark; break;
            default: break;
        }
    }
};

Test(store, votes_survive_power_losses) {
    std::size_t writes = 0, unopened = 0;
    std::uint64_t folder_syncs = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CrashTestStore scenario(seed);
        for (int incarnation = 0; incarnation < 6; ++incarnation) {
            if (incarnation > 0) scenario.disk.steps_left = scenario.random() % 150;
            const std::uint64_t left = scenario.random() % 300;
            scenario.run_incarnation(incarnation == 0, scenario.random(), 80,
                                     incarnation == 0 ? std::optional(left) : std::optional<std::uint64_t>());
            scenario.simulate_power_loss();
        }
        writes += scenario.writes;
        unopened += scenario.failed_opens;
        folder_syncs += scenario.disk.folder_syncs;
    }
    printf("%zu writes, %zu power losses while opening, %lu folder syncs\n", writes, unopened, folder_syncs);
}

// Repeats the same writes, and ends them one step later each time by a kill or a loss of power; the next
// incarnation soon loses power as well.
Test(store, votes_survive_a_crash_at_every_disk_step) {
    // The trials with a loss of power need enough writes for a second log file, whose name only the sync of
    // that log makes durable.
    constexpr std::uint64_t kWrites = 40, kWritesOfTwoLogs = 100;
    std::uint64_t steps = 0, trials = 0;
    for (const bool loses_power : {true, false})
        for (std::uint64_t last = 0;;
             last += loses_power ? 1 + kSanitizerDivisor / 2 : 1 + 2 * kSanitizerDivisor, ++trials) {
            CrashTestStore scenario(last + 1);
            scenario.disk.steps_left = last;
            scenario.run_incarnation(true, 5, loses_power ? kWritesOfTwoLogs : kWrites);
            const bool complete = scenario.disk.steps_left > 0;
            // All unsynced changes are lost: with random losses, a name that is not durable would be detected
            // only in some runs, since other threads of the database also change names.
            if (loses_power) scenario.simulate_power_loss(Unsynced::Lost);
            scenario.disk.steps_left = scenario.random() % 60;
            scenario.run_incarnation(false, 6, 8);
            scenario.simulate_power_loss();
            scenario.run_incarnation(false, 7, 1);
            cr_assert_geq(scenario.writes, 1);
            steps = std::max(steps, last);
            if (complete) break;
        }
    printf("%lu trials of up to %lu steps\n", trials, steps);
    cr_assert(steps > 100);
}

// A failed folder sync is repeated before any write is reported as stored. The failing one is the nth of the
// first incarnation, which creates the database, or of the second.
Test(store, failed_folder_sync_loses_no_stored_state) {
    constexpr std::uint64_t kTrials = 6;
    std::uint64_t trials = 0;
    for (const int failing_incarnation : {0, 1})
        for (std::uint64_t trial = 0;; ++trial, ++trials) {
            const std::uint64_t nth = trial / kTrials;
            const bool lost_soon = trial % 2 == 0;
            CrashTestStore scenario(trial + 1);
            std::uint64_t failed = 0;
            PersistentState last;
            for (int incarnation = 0; incarnation < 3; ++incarnation) {
                if (incarnation == failing_incarnation) scenario.disk.syncs_before_failure = nth;
                std::optional<TestStateStore> test_store(std::in_place, scenario.database_path,
                                                         incarnation == 0, &scenario.disk);
                for (; !test_store->store && failed < 3; ++failed)
                    test_store.emplace(scenario.database_path, incarnation == 0, &scenario.disk);
                cr_assert(test_store->store && test_store->store->discard_reason().empty(), "sync %lu of %d",
                          nth, failing_incarnation);
                cr_assert(test_store->store->loaded_state() == last, "sync %lu of %d", nth,
                          failing_incarnation);
                StateGenerator writer(nth, last);
                for (std::uint64_t token = 1; token <= 80; ++token) {
                    test_store->store->save({token, writer.next_state()});
                    test_store->wait_for(token);
                    // Loses power right after the failure, since each later folder sync makes up for the
                    // failed one.
                    if (lost_soon && incarnation == failing_incarnation && scenario.disk.failed_syncs > 0)
                        break;
                }
                failed += test_store->store->failed_writes();
                last = writer.saved;
                test_store.reset();
                scenario.simulate_power_loss(lost_soon ? Unsynced::Lost : Unsynced::KeptAtRandom);
            }
            if (scenario.disk.failed_syncs == 0) break;
        }
    printf("%lu failed folder syncs\n", trials);
    cr_assert(trials > 10 * kTrials);
}

// The disk hangs, then fails, then works again: no write is reported as stored before it is, the thread of
// the event loop never blocks, and no write is lost.
Test(store, reports_no_write_as_stored_while_the_disk_hangs_or_fails) {
    using FaultMode = PowerLossFileSystem::FaultMode;
    TemporaryFolder folder;
    PowerLossFileSystem disk(1);
    PersistentState last;
    {
        TestStateStore test_store(folder.at("database"), true, &disk);
        StateGenerator generator(3, test_store.store->loaded_state());
        cr_assert(test_store.save_and_wait(1, generator.next_state()));
        disk.set_fault_mode(FaultMode::Hang);
        test_store.store->save({2, generator.next_state()});
        disk.wait_for_hanging_call();
        for (std::uint64_t token = 3; token <= 50; ++token)
            test_store.store->save({token, generator.next_state()});    // must not block
        cr_assert(test_store.store->take_stored_tokens().empty() && test_store.store->failed_writes() == 0);
        disk.set_fault_mode(FaultMode::Fail);
        {
            std::unique_lock lock(test_store.mutex);
            while (test_store.store->failed_writes() < 2) test_store.tokens_stored.wait_for(lock, 1ms);
        }
        cr_assert(test_store.store->take_stored_tokens().empty());
        disk.set_fault_mode(FaultMode::None);
        test_store.wait_for(50);
        last = generator.saved;
    }
    disk.simulate_power_loss(Unsynced::Lost);
    const TestStateStore reopened(folder.at("database"), true, &disk);
    cr_assert(reopened.store && reopened.store->discard_reason().empty());
    cr_assert(reopened.store->loaded_state() == last);
}

// A damaged database may lack acknowledged votes, so its votes must not be used again, at whichever step its
// repair was interrupted.
Test(store, ignores_votes_of_an_interrupted_repair) {
    TemporaryFolder folder;
    PersistentState last;
    {
        TestStateStore test_store(folder.at("database"), true);
        StateGenerator generator(7, test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 20; ++token)
            cr_assert(test_store.save_and_wait(token, generator.next_state()));
        last = generator.saved;
    }
    std::uint64_t step = 0;
    for (bool complete = false; !complete; ++step) {
        CrashTestStore scenario(step + 1);
        fs::copy(folder.at("database"), scenario.database_path);
        for (const char* name : {"CURRENT", "MARK"}) fs::remove(scenario.database_path + "/" + name);
        scenario.disk.steps_left = step;
        complete = TestStateStore(scenario.database_path, false, &scenario.disk).store != nullptr &&
                   scenario.disk.steps_left > 0;
        scenario.disk.simulate_power_loss();
        const TestStateStore reopened(scenario.database_path, false, &scenario.disk);
        cr_assert(reopened.store && reopened.store->loaded_state().disk_id != last.disk_id, "step %lu", step);
        cr_assert_eq(reopened.store->loaded_state().promised_ballot.round, 0, "step %lu", step);
    }
    printf("%lu steps\n", step);
    cr_assert(step > 10);
}

Test(store, discards_the_votes_of_truncated_or_damaged_files) {
    std::size_t complete = 0, restarted = 0;
    TemporaryFolder folder;
    PersistentState last;
    {
        TestStateStore test_store(folder.at("database"), true);
        StateGenerator generator(7, test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 60; ++token)
            cr_assert(test_store.save_and_wait(token, generator.next_state()));
        last = generator.saved;
    }
    std::mt19937_64 random(7);
    for (const auto& entry : fs::directory_iterator(folder.at("database"))) {
        const std::uintmax_t size = entry.file_size();
        for (int i = 0; i < 24 && size > 0; ++i) {
            const std::string copy = folder.at("copy"),
                              damaged_file = copy + "/" + entry.path().filename().string();
            fs::remove_all(copy);
            fs::copy(folder.at("database"), copy);
            const std::uintmax_t at = i == 0 ? 0 : random() % size;
            if (i % 2 == 0) fs::resize_file(damaged_file, at);
            else {
                std::fstream file(damaged_file, std::ios::in | std::ios::out | std::ios::binary);
                file.seekp(static_cast<std::streamoff>(at));
                file << static_cast<char>(random());
            }
            TestStateStore test_store(copy, i % 3 == 0);
            if (!test_store.store) continue;
            const PersistentState loaded = test_store.store->loaded_state();
            ++(loaded == last ? complete : restarted);
            if (loaded == last) continue;
            cr_assert(
                loaded.disk_id != last.disk_id && loaded.promised_ballot.round == 0 && !loaded.accepted_entry,
                "%s at %ju", damaged_file.c_str(), at);
            cr_assert(!test_store.store->discard_reason().empty() && test_store.save_and_wait(1, loaded));
        }
    }
    printf("%zu complete, %zu restarted\n", complete, restarted);
    cr_assert(complete > 0 && restarted > 0);
}

Test(store, retries_failed_writes_until_they_succeed) {
    TemporaryFolder folder;
    cr_assert_neq(TestStateStore(folder.at("other"), false).store->loaded_state().disk_id, 0);
    PowerLossFileSystem disk(1);
    std::mt19937_64 random(1);
    PersistentState last;
    for (disk.steps_left = 0; disk.steps_left < 30;
         disk.steps_left += 3) {    // fails at a later step of the creation each time
        const std::uint64_t left = disk.steps_left;
        if (const TestStateStore first(folder.at("database"), true, &disk); first.store) break;
        disk.steps_left = left;
    }
    disk.steps_left = ~0ull;
    for (int round = 0; round < 8; ++round) {
        TestStateStore test_store(folder.at("database"), round == 0, &disk);
        cr_assert(test_store.store->discard_reason().empty(), "%s",
                  test_store.store->discard_reason().c_str());
        cr_assert(test_store.store->loaded_state() == last);
        StateGenerator generator(random(), test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 5; ++token)
            cr_assert(test_store.save_and_wait(token, generator.next_state()));
        disk.steps_left = static_cast<std::uint64_t>(round % 3);    // fails at the write or at its sync
        cr_assert(!test_store.save_and_wait(6, generator.next_state()));
        test_store.store->save({7, generator.next_state()});
        disk.steps_left = ~0ull;
        std::uint64_t done = 0;
        std::unique_lock lock(test_store.mutex);
        while (done != 7) {
            for (const std::uint64_t token : test_store.store->take_stored_tokens())
                cr_assert((done = token) >= 6);
            test_store.tokens_stored.wait_for(lock, 10ms);
        }
        last = generator.saved;
    }
}

}    // namespace
}    // namespace shaletray::consensus::test
