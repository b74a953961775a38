// The lamp's state on a disk that loses power, tears files, refuses writes.
#include "cluster/consensus/state_store.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>

#include "cluster/consensus/register_cluster.h"
#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus::test {
namespace {

namespace fs = std::filesystem;

struct Folder {
    fs::path path;
    Folder() {
        std::string name = (fs::temp_directory_path() / "lampXXXXXX").string();
        cr_assert(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~Folder() { fs::remove_all(path); }
    std::string at(const char* name) const { return (path / name).string(); }
};

// A disk that forgets. Syncs are counted rather than made; when the power goes, what a file was given since
// its last sync may be kept, missing or torn, and each name that was made, renamed or removed since its
// folder's last sync is kept or lost by itself. Each write, sync and change of a name is a step: after `left`
// of them it refuses all that follow; of the folder's syncs the one after `refused` others is refused, and it
// goes on.
class PowerLossFileSystem : public SyncingFileSystem {
public:
    explicit PowerLossFileSystem(std::uint64_t seed) : random_(seed) {}
    std::uint64_t left = ~0ull, refused = ~0ull, refusals = 0, folder_syncs = 0;

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** out) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = resume_writes(); !status.ok()) return status;
        changes_.push_back({Change::Made, {}, name, move_to_attic(name)});
        leveldb::WritableFile* real = nullptr;
        if (leveldb::Status status = target()->NewWritableFile(name, &real); !status.ok()) return status;
        files_[name] = {};
        *out = new File(*this, name, real);
        return {};
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = resume_writes(); !status.ok()) return status;
        changes_.push_back({Change::Renamed, from, to, move_to_attic(to)});
        move(from, to);
        return {};
    }
    leveldb::Status RemoveFile(const std::string& name) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = resume_writes(); !status.ok()) return status;
        if (!fs::exists(name)) return leveldb::Status::IOError(name, "there is none");
        changes_.push_back({Change::Removed, {}, name, move_to_attic(name)});
        return {};
    }
    leveldb::Status SyncFolder(const std::string& folder) override {
        const std::lock_guard lock(mutex_);
        ++folder_syncs;
        return sync_folder(folder);
    }
    void simulate_power_loss() {
        const std::uint64_t outcome_roll = random_() % 4;    // at times all is gone, or nothing
        const auto lost = [&] { return outcome_roll == 0 || (outcome_roll != 1 && random_() % 2); };
        for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
            if (!lost()) continue;
            if (change->kind == Change::Renamed) move(change->name, change->from);
            else if (change->kind == Change::Made) fs::remove(change->name);
            if (!change->before.empty() && !fs::exists(change->name)) move(change->before, change->name);
        }
        for (const auto& [name, file] : files_) {
            if (!fs::exists(name) || file.written == file.synced) continue;
            const std::uint64_t size = fs::file_size(name),
                                keep = file.synced + random_() % (size - std::min(size, file.synced) + 1);
            if (outcome_roll == 0) fs::resize_file(name, std::min(file.synced, size));
            else if (file.synced == 0 && random_() % 2) fs::remove(name);
            else if (random_() % 2) fs::resize_file(name, std::min(keep, size));
            else {    // a hole, and what came after it
                std::fstream f(name, std::ios::in | std::ios::out | std::ios::binary);
                f.seekp(static_cast<std::streamoff>(file.synced));
                f << std::string(std::min(keep, size) - std::min(size, file.synced), '\0');
            }
        }
        files_.clear();
        changes_.clear();
        left = refused = ~0ull;
    }

private:
    struct Sizes {
        std::uint64_t written = 0, synced = 0;
    };
    struct Change {    // of a name, since its folder was synced
        enum Kind { Made, Renamed, Removed } kind;
        std::string from, name, before;    // before: where the file is kept that had the name; empty: none
    };
    class File : public leveldb::WritableFile {
    public:
        File(PowerLossFileSystem& disk, std::string name, leveldb::WritableFile* real)
            : disk_(disk), name_(std::move(name)), real_(real) {}
        leveldb::Status Append(const leveldb::Slice& data) override {
            const std::lock_guard lock(disk_.mutex_);
            leveldb::Status status = disk_.resume_writes();
            if (!status.ok()) return status;
            disk_.files_[name_].written += data.size();
            status = real_->Append(data);
            return status.ok() ? real_->Flush() : status;
        }
        leveldb::Status Close() override { return real_->Close(); }
        leveldb::Status Flush() override { return {}; }
        leveldb::Status Sync() override {
            const std::lock_guard lock(disk_.mutex_);
            leveldb::Status status;    // LevelDB's files sync the folder before a MANIFEST
            if (fs::path(name_).filename().string().starts_with("MANIFEST"))
                status = disk_.sync_folder(fs::path(name_).parent_path().string());
            if (status.ok()) status = disk_.resume_writes();
            if (!status.ok()) return status;
            disk_.files_[name_].synced = disk_.files_[name_].written;
            return {};
        }

    private:
        PowerLossFileSystem& disk_;
        std::string name_;
        std::unique_ptr<leveldb::WritableFile> real_;
    };
    leveldb::Status resume_writes() {
        if (left == 0) return leveldb::Status::IOError("no power");
        --left;
        return {};
    }
    leveldb::Status sync_folder(const std::string& folder) {
        if (leveldb::Status status = resume_writes(); !status.ok()) return status;
        if (refused-- == 0) {
            ++refusals;
            return leveldb::Status::IOError("refused");
        }
        std::erase_if(changes_, [&](const Change& change) {
            if (fs::path(change.name).parent_path() != folder) return false;
            if (!change.before.empty()) fs::remove(change.before);
            files_.erase(change.before);
            return true;
        });
        return {};
    }
    void move(const std::string& from, const std::string& to) {
        if (!fs::exists(from)) return;
        fs::rename(from, to);
        if (auto sizes = files_.extract(from)) {
            sizes.key() = to;
            files_.erase(to);
            files_.insert(std::move(sizes));
        }
    }
    std::string move_to_attic(const std::string& name) {
        if (!fs::exists(name)) return {};
        const std::string kept = attic_.at(std::to_string(++kept_files_).c_str());
        move(name, kept);
        return kept;
    }
    std::mutex mutex_;
    std::mt19937_64 random_;
    Folder attic_;
    std::uint64_t kept_files_ = 0;
    std::map<std::string, Sizes> files_;
    std::vector<Change> changes_;
};

// A store with what was put and what it said is kept.
struct TestStateStore {
    std::unique_ptr<StateStore> store;
    std::mutex mutex;
    std::condition_variable woken;
    std::uint64_t has_new_tokens = 0;

    TestStateStore(const std::string& folder, bool founder, SyncingFileSystem* disk = nullptr) {
        auto opened = disk ? StateStore::open(folder, founder, *disk) : StateStore::open(folder, founder);
        if (!opened) return;
        store = std::move(opened.value());
        store->set_stored_callback([this] {
            const std::lock_guard lock(mutex);
            ++has_new_tokens;
            woken.notify_all();
        });
    }
    ~TestStateStore() { store.reset(); }
    // False where writes began to fail.
    bool put(std::uint64_t token, const PersistentState& saved) {
        store->save({token, saved});
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->take_stored_tokens())
                if (done == token) return true;
            if (store->failed_writes() > 0) return false;
            woken.wait_for(lock, 1ms);
        }
    }
    void wait_for(std::uint64_t token) {
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->take_stored_tokens())
                if (done == token) return;
            woken.wait_for(lock, 10ms);
        }
    }
};

bool operator==(const PersistentState& a, const PersistentState& state) {
    return a.disk_id == state.disk_id && a.committed == state.committed &&
           a.promised_ballot == state.promised_ballot && a.accepted_ballot == state.accepted_ballot &&
           a.accepted_entry == state.accepted_entry;
}

std::uintmax_t size_of(const fs::path& folder) {
    std::uintmax_t size = 0;
    std::error_code gone;
    for (const auto& entry : fs::directory_iterator(folder)) {
        const auto one = fs::file_size(entry, gone);
        if (!gone) size += one;
    }
    return size;
}

std::string bytes_of(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

// As a voter writes them, one after the other.
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

Test(store, stays_small_however_much_is_written) {
    Folder folder;
    PowerLossFileSystem disk(1);
    TestStateStore test_store(folder.at("lamp"), true, &disk);
    PersistentState saved;
    std::uintmax_t maximum = 0;
    for (std::uint64_t token = 1; token <= 400; ++token) {
        saved.committed = {
            token, {{"10.1.0.1:7100", 0}}, token, std::string(100'000, static_cast<char>(token))};
        cr_assert(test_store.put(token, saved));
        maximum = std::max(maximum, size_of(folder.path / "lamp"));
    }
    printf("at most %ju bytes on disk for texts of 100000\n", maximum);
    cr_assert(maximum < 8'000'000, "%ju", maximum);
}

Test(store, stays_flat_over_ten_thousand_changes) {
    Folder folder;
    PowerLossFileSystem disk(1);
    TestStateStore test_store(folder.at("lamp"), true, &disk);
    StateGenerator generator(1, test_store.store->loaded_state());
    constexpr std::uint64_t kChanges = 10'000 / kLess, kWarm = kChanges / 5;
    std::uintmax_t early = 0, late = 0;
    std::size_t heap = 0, max_heap = 0;
    for (std::uint64_t token = 1; token <= kChanges; ++token) {
        generator.next_state();
        if (generator.saved.accepted_entry) generator.saved.accepted_entry->text.resize(800);
        cr_assert(test_store.put(token, generator.saved));
        if (token % 25 != 0) continue;
        std::uintmax_t& maximum = token <= kWarm ? early : late;
        maximum = std::max(maximum, size_of(folder.path / "lamp"));
        if (token <= kWarm) heap = std::max(heap, allocated());
        else max_heap = std::max(max_heap, allocated());
    }
    printf(
        "%lu changes: at most %ju bytes on disk until the %luth, then %ju; heap %zu, then %zu; %lu syncs of "
        "the "
        "folder\n",
        kChanges, early, kWarm, late, heap, max_heap, disk.folder_syncs);
    cr_assert(late < 2'000'000);
    cr_assert(max_heap < heap + 1'000'000);
}

// Lives of one store, each of which may end at any step of its disk.
struct CrashTestStore {
    Folder folder;
    PowerLossFileSystem disk;
    std::string place = folder.at("lamp"), watermark = place + "/MARK", old_watermark;
    std::vector<PersistentState> possible_states;    // what was kept, and what was put after it
    std::mt19937_64 random;
    std::size_t writes = 0, failed_opens = 0;

    explicit CrashTestStore(std::uint64_t seed) : disk(seed), random(seed) {}
    void run_incarnation(bool founder, std::uint64_t seed, std::uint64_t puts,
                         std::optional<std::uint64_t> left = {}) {
        TestStateStore test_store(place, founder, &disk);
        if (!test_store.store) {    // the power went meanwhile
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
        if (left) disk.left = *left;
        possible_states = {loaded};
        for (std::uint64_t token = 1; token <= puts; ++token, ++writes) {
            possible_states.push_back(writer.next_state());
            if (!test_store.put(token, writer.saved)) break;
            possible_states = {writer.saved};
            if (random() % 32 == 0) old_watermark = bytes_of(watermark);
        }
    }
    void simulate_power_loss() {
        disk.simulate_power_loss();
        switch (random() % 4) {    // it was never synced
            case 0: fs::remove(watermark); break;
            case 1:
                if (fs::exists(watermark)) fs::resize_file(watermark, random() % 17);
                break;
            case 2: std::ofstream(watermark, std::ios::binary) << old_watermark; break;
            default: break;
        }
    }
};

Test(store, keeps_its_votes_through_losses_of_power) {
    std::size_t writes = 0, unopened = 0;
    std::uint64_t folder_syncs = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CrashTestStore scenario(seed);
        for (int incarnation = 0; incarnation < 6; ++incarnation) {
            if (incarnation > 0) scenario.disk.left = scenario.random() % 150;
            const std::uint64_t left = scenario.random() % 300;
            scenario.run_incarnation(incarnation == 0, scenario.random(), 80,
                                     incarnation == 0 ? std::optional(left) : std::optional<std::uint64_t>());
            scenario.simulate_power_loss();
        }
        writes += scenario.writes;
        unopened += scenario.failed_opens;
        folder_syncs += scenario.disk.folder_syncs;
    }
    printf("%zu writes, %zu losses of power while opening, %lu syncs of the folder\n", writes, unopened,
           folder_syncs);
}

// The same writes again and again, which end one step later each time: killed there or without power; the
// life after it loses power soon as well.
Test(store, keeps_its_votes_whichever_step_is_its_last) {
    std::uint64_t steps = 0, trials = 0;
    for (const bool power : {true, false})
        for (std::uint64_t last = 0;; last += power ? 1 + kLess / 2 : 1 + 2 * kLess, ++trials) {
            CrashTestStore scenario(last + 1);
            scenario.disk.left = last;
            scenario.run_incarnation(true, 5, 40);
            const bool complete = scenario.disk.left > 0;
            if (power) scenario.simulate_power_loss();
            scenario.disk.left = scenario.random() % 60;
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

// A refused sync of the folder is an error that is made good before anything is told to be kept: the nth of
// the first life, that makes the database, or of the second.
Test(store, bears_a_folder_that_cannot_be_synced) {
    constexpr std::uint64_t kTrials = 6;    // a name that does not last is lost by every second toss only
    std::uint64_t trials = 0;
    for (const int victim : {0, 1})
        for (std::uint64_t trial = 0;; ++trial, ++trials) {
            const std::uint64_t nth = trial / kTrials;
            CrashTestStore scenario(trial + 1);
            std::uint64_t failed = 0;
            PersistentState last;
            for (int incarnation = 0; incarnation < 3; ++incarnation) {
                if (incarnation == victim) scenario.disk.refused = nth;
                std::optional<TestStateStore> test_store(std::in_place, scenario.place, incarnation == 0,
                                                         &scenario.disk);
                for (; !test_store->store && failed < 3; ++failed)
                    test_store.emplace(scenario.place, incarnation == 0, &scenario.disk);
                cr_assert(test_store->store && test_store->store->discard_reason().empty(), "sync %lu of %d",
                          nth, victim);
                cr_assert(test_store->store->loaded_state() == last, "sync %lu of %d", nth, victim);
                StateGenerator writer(nth, last);
                for (std::uint64_t token = 1; token <= 80; ++token) {
                    test_store->store->save({token, writer.next_state()});
                    test_store->wait_for(token);
                }
                failed += test_store->store->failed_writes();
                last = writer.saved;
                test_store.reset();
                scenario.simulate_power_loss();
            }
            if (scenario.disk.refusals == 0) break;
        }
    printf("%lu syncs refused\n", trials);
    cr_assert(trials > 10 * kTrials);
}

// Damage is no sign of what was acknowledged: however far its repair came, the old votes are not taken up.
Test(store, takes_no_votes_from_a_repair_that_was_cut_short) {
    Folder folder;
    PersistentState last;
    {
        TestStateStore test_store(folder.at("lamp"), true);
        StateGenerator generator(7, test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 20; ++token)
            cr_assert(test_store.put(token, generator.next_state()));
        last = generator.saved;
    }
    std::uint64_t step = 0;
    for (bool complete = false; !complete; ++step) {
        CrashTestStore scenario(step + 1);
        fs::copy(folder.at("lamp"), scenario.place);
        for (const char* name : {"CURRENT", "MARK"}) fs::remove(scenario.place + "/" + name);
        scenario.disk.left = step;
        complete =
            TestStateStore(scenario.place, false, &scenario.disk).store != nullptr && scenario.disk.left > 0;
        scenario.disk.simulate_power_loss();
        const TestStateStore reopened(scenario.place, false, &scenario.disk);
        cr_assert(reopened.store && reopened.store->loaded_state().disk_id != last.disk_id, "step %lu", step);
        cr_assert_eq(reopened.store->loaded_state().promised_ballot.round, 0, "step %lu", step);
    }
    printf("%lu steps\n", step);
    cr_assert(step > 10);
}

Test(store, never_votes_from_a_state_that_was_cut) {
    std::size_t complete = 0, restarted = 0;
    Folder folder;
    PersistentState last;
    {
        TestStateStore test_store(folder.at("lamp"), true);
        StateGenerator generator(7, test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 60; ++token)
            cr_assert(test_store.put(token, generator.next_state()));
        last = generator.saved;
    }
    std::mt19937_64 random(7);
    for (const auto& entry : fs::directory_iterator(folder.at("lamp"))) {
        const std::uintmax_t size = entry.file_size();
        for (int i = 0; i < 24 && size > 0; ++i) {
            const std::string copy = folder.at("copy"),
                              truncated = copy + "/" + entry.path().filename().string();
            fs::remove_all(copy);
            fs::copy(folder.at("lamp"), copy);
            const std::uintmax_t at = i == 0 ? 0 : random() % size;
            if (i % 2 == 0) fs::resize_file(truncated, at);
            else {
                std::fstream file(truncated, std::ios::in | std::ios::out | std::ios::binary);
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
                "%s at %ju", truncated.c_str(), at);
            cr_assert(!test_store.store->discard_reason().empty() && test_store.put(1, loaded));
        }
    }
    printf("%zu whole, %zu anew\n", complete, restarted);
    cr_assert(complete > 0 && restarted > 0);
}

Test(store, tries_again_until_the_disk_takes_it) {
    Folder folder;
    cr_assert_neq(TestStateStore(folder.at("other"), false).store->loaded_state().disk_id, 0);
    PowerLossFileSystem disk(1);
    std::mt19937_64 random(1);
    PersistentState last;
    for (disk.left = 0; disk.left < 30; disk.left += 3) {    // from the first write on
        const std::uint64_t left = disk.left;
        if (const TestStateStore first(folder.at("lamp"), true, &disk); first.store) break;
        disk.left = left;
    }
    disk.left = ~0ull;
    for (int round = 0; round < 8; ++round) {
        TestStateStore test_store(folder.at("lamp"), round == 0, &disk);
        cr_assert(test_store.store->discard_reason().empty(), "%s",
                  test_store.store->discard_reason().c_str());
        cr_assert(test_store.store->loaded_state() == last);
        StateGenerator generator(random(), test_store.store->loaded_state());
        for (std::uint64_t token = 1; token <= 5; ++token)
            cr_assert(test_store.put(token, generator.next_state()));
        disk.left = static_cast<std::uint64_t>(round % 3);    // refuses to write, to sync
        cr_assert(!test_store.put(6, generator.next_state()));
        test_store.store->save({7, generator.next_state()});
        disk.left = ~0ull;
        std::uint64_t done = 0;
        std::unique_lock lock(test_store.mutex);
        while (done != 7) {
            for (const std::uint64_t token : test_store.store->take_stored_tokens())
                cr_assert((done = token) >= 6);
            test_store.woken.wait_for(lock, 10ms);
        }
        last = generator.saved;
    }
}

}    // namespace
}    // namespace shaletray::consensus::test
