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
class Forgetful : public Disk {
public:
    explicit Forgetful(std::uint64_t seed) : random_(seed) {}
    std::uint64_t left = ~0ull, refused = ~0ull, refusals = 0, folder_syncs = 0;

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** out) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        changes_.push_back({Change::Made, {}, name, put_away(name)});
        leveldb::WritableFile* real = nullptr;
        if (leveldb::Status status = target()->NewWritableFile(name, &real); !status.ok()) return status;
        files_[name] = {};
        *out = new File(*this, name, real);
        return {};
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        changes_.push_back({Change::Renamed, from, to, put_away(to)});
        move(from, to);
        return {};
    }
    leveldb::Status RemoveFile(const std::string& name) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        if (!fs::exists(name)) return leveldb::Status::IOError(name, "there is none");
        changes_.push_back({Change::Removed, {}, name, put_away(name)});
        return {};
    }
    leveldb::Status SyncFolder(const std::string& folder) override {
        const std::lock_guard lock(mutex_);
        ++folder_syncs;
        return sync_folder(folder);
    }
    void lose_power() {
        const std::uint64_t fate = random_() % 4;    // at times all is gone, or nothing
        const auto lost = [&] { return fate == 0 || (fate != 1 && random_() % 2); };
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
            if (fate == 0) fs::resize_file(name, std::min(file.synced, size));
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
        File(Forgetful& disk, std::string name, leveldb::WritableFile* real)
            : disk_(disk), name_(std::move(name)), real_(real) {}
        leveldb::Status Append(const leveldb::Slice& data) override {
            const std::lock_guard lock(disk_.mutex_);
            leveldb::Status status = disk_.go_on();
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
            if (status.ok()) status = disk_.go_on();
            if (!status.ok()) return status;
            disk_.files_[name_].synced = disk_.files_[name_].written;
            return {};
        }

    private:
        Forgetful& disk_;
        std::string name_;
        std::unique_ptr<leveldb::WritableFile> real_;
    };
    leveldb::Status go_on() {
        if (left == 0) return leveldb::Status::IOError("no power");
        --left;
        return {};
    }
    leveldb::Status sync_folder(const std::string& folder) {
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        if (refused-- == 0) {
            ++refusals;
            return leveldb::Status::IOError("refused");
        }
        std::erase_if(changes_, [&](const Change& c) {
            if (fs::path(c.name).parent_path() != folder) return false;
            if (!c.before.empty()) fs::remove(c.before);
            files_.erase(c.before);
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
    std::string put_away(const std::string& name) {
        if (!fs::exists(name)) return {};
        const std::string kept = attic_.at(std::to_string(++kept_).c_str());
        move(name, kept);
        return kept;
    }
    std::mutex mutex_;
    std::mt19937_64 random_;
    Folder attic_;
    std::uint64_t kept_ = 0;
    std::map<std::string, Sizes> files_;
    std::vector<Change> changes_;
};

// A store with what was put and what it said is kept.
struct Kept {
    std::unique_ptr<Store> store;
    std::mutex mutex;
    std::condition_variable woken;
    std::uint64_t news = 0;

    Kept(const std::string& folder, bool founder, Disk* disk = nullptr) {
        auto opened = disk ? Store::open(folder, founder, *disk) : Store::open(folder, founder);
        if (!opened) return;
        store = std::move(opened.value());
        store->on_done([this] {
            const std::lock_guard lock(mutex);
            ++news;
            woken.notify_all();
        });
    }
    ~Kept() { store.reset(); }
    // False where writes began to fail.
    bool put(std::uint64_t token, const Saved& saved) {
        store->put({token, saved});
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->done())
                if (done == token) return true;
            if (store->failed_writes() > 0) return false;
            woken.wait_for(lock, 1ms);
        }
    }
    void wait_for(std::uint64_t token) {
        std::unique_lock lock(mutex);
        for (;;) {
            for (const std::uint64_t done : store->done())
                if (done == token) return;
            woken.wait_for(lock, 10ms);
        }
    }
};

bool operator==(const Saved& a, const Saved& b) {
    return a.disk == b.disk && a.decree == b.decree && a.promised == b.promised && a.accepted == b.accepted &&
           a.pending == b.pending;
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
struct Life {
    std::mt19937_64 random;
    Saved saved;
    explicit Life(std::uint64_t seed, const Saved& from) : random(seed), saved(from) {}
    const Saved& next() {
        if (saved.decree.voters.empty()) saved.decree.voters = {{"10.1.0.1:7100", 0}, {"10.1.0.2:7100", 0}};
        saved.promised.round += 1 + random() % 3;
        saved.promised.proposer = "10.1.0.1:7100#" + std::to_string(random());
        if (saved.pending && random() % 2) {
            saved.decree = *std::exchange(saved.pending, std::nullopt);
            saved.promised = saved.accepted = {};
        } else if (random() % 2) {
            saved.accepted = saved.promised;
            saved.pending = saved.decree;
            ++saved.pending->number;
            if (random() % 4) {
                saved.pending->earlier = {{saved.pending->version, saved.pending->number, random()}};
                ++saved.pending->version;
                saved.pending->text.assign(random() % 40'000, static_cast<char>('a' + random() % 26));
            }
        }
        return saved;
    }
};

Test(store, stays_small_however_much_is_written) {
    Folder folder;
    Forgetful disk(1);
    Kept kept(folder.at("lamp"), true, &disk);
    Saved saved;
    std::uintmax_t most = 0;
    for (std::uint64_t token = 1; token <= 400; ++token) {
        saved.decree = {token, {{"10.1.0.1:7100", 0}}, token, std::string(100'000, static_cast<char>(token))};
        cr_assert(kept.put(token, saved));
        most = std::max(most, size_of(folder.path / "lamp"));
    }
    printf("at most %ju bytes on disk for texts of 100000\n", most);
    cr_assert(most < 8'000'000, "%ju", most);
}

Test(store, stays_flat_over_ten_thousand_changes) {
    Folder folder;
    Forgetful disk(1);
    Kept kept(folder.at("lamp"), true, &disk);
    Life life(1, kept.store->loaded());
    constexpr std::uint64_t kChanges = 10'000 / kLess, kWarm = kChanges / 5;
    std::uintmax_t early = 0, late = 0;
    std::size_t heap = 0, most_heap = 0;
    for (std::uint64_t token = 1; token <= kChanges; ++token) {
        life.next();
        if (life.saved.pending) life.saved.pending->text.resize(800);
        cr_assert(kept.put(token, life.saved));
        if (token % 25 != 0) continue;
        std::uintmax_t& most = token <= kWarm ? early : late;
        most = std::max(most, size_of(folder.path / "lamp"));
        if (token <= kWarm) heap = std::max(heap, allocated());
        else most_heap = std::max(most_heap, allocated());
    }
    printf(
        "%lu changes: at most %ju bytes on disk until the %luth, then %ju; heap %zu, then %zu; %lu syncs of "
        "the "
        "folder\n",
        kChanges, early, kWarm, late, heap, most_heap, disk.folder_syncs);
    cr_assert(late < 2'000'000);
    cr_assert(most_heap < heap + 1'000'000);
}

// Lives of one store, each of which may end at any step of its disk.
struct Lives {
    Folder folder;
    Forgetful disk;
    std::string place = folder.at("lamp"), mark = place + "/MARK", old_mark;
    std::vector<Saved> may_be;    // what was kept, and what was put after it
    std::mt19937_64 random;
    std::size_t writes = 0, unopened = 0;

    explicit Lives(std::uint64_t seed) : disk(seed), random(seed) {}
    void live(bool founder, std::uint64_t seed, std::uint64_t puts, std::optional<std::uint64_t> left = {}) {
        Kept kept(place, founder, &disk);
        if (!kept.store) {    // the power went meanwhile
            ++unopened;
            return;
        }
        const Saved& loaded = kept.store->loaded();
        const auto is = [&](const Saved& s) { return s == loaded; };
        cr_assert(kept.store->given_up().empty(), "%s", kept.store->given_up().c_str());
        cr_assert(may_be.empty() || std::any_of(may_be.begin(), may_be.end(), is), "seed %lu", seed);
        Life writer(seed, loaded);
        if (left) disk.left = *left;
        may_be = {loaded};
        for (std::uint64_t token = 1; token <= puts; ++token, ++writes) {
            may_be.push_back(writer.next());
            if (!kept.put(token, writer.saved)) break;
            may_be = {writer.saved};
            if (random() % 32 == 0) old_mark = bytes_of(mark);
        }
    }
    void lose_power() {
        disk.lose_power();
        switch (random() % 4) {    // it was never synced
            case 0: fs::remove(mark); break;
            case 1:
                if (fs::exists(mark)) fs::resize_file(mark, random() % 17);
                break;
            case 2: std::ofstream(mark, std::ios::binary) << old_mark; break;
            default: break;
        }
    }
};

Test(store, keeps_its_votes_through_losses_of_power) {
    std::size_t writes = 0, unopened = 0;
    std::uint64_t folder_syncs = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Lives lives(seed);
        for (int life = 0; life < 6; ++life) {
            if (life > 0) lives.disk.left = lives.random() % 150;
            const std::uint64_t left = lives.random() % 300;
            lives.live(life == 0, lives.random(), 80,
                       life == 0 ? std::optional(left) : std::optional<std::uint64_t>());
            lives.lose_power();
        }
        writes += lives.writes;
        unopened += lives.unopened;
        folder_syncs += lives.disk.folder_syncs;
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
            Lives lives(last + 1);
            lives.disk.left = last;
            lives.live(true, 5, 40);
            const bool whole = lives.disk.left > 0;
            if (power) lives.lose_power();
            lives.disk.left = lives.random() % 60;
            lives.live(false, 6, 8);
            lives.lose_power();
            lives.live(false, 7, 1);
            cr_assert_geq(lives.writes, 1);
            steps = std::max(steps, last);
            if (whole) break;
        }
    printf("%lu trials of up to %lu steps\n", trials, steps);
    cr_assert(steps > 100);
}

// A refused sync of the folder is an error that is made good before anything is told to be kept: the nth of
// the first life, that makes the database, or of the second.
Test(store, bears_a_folder_that_cannot_be_synced) {
    constexpr std::uint64_t kTosses = 6;    // a name that does not last is lost by every second toss only
    std::uint64_t trials = 0;
    for (const int victim : {0, 1})
        for (std::uint64_t trial = 0;; ++trial, ++trials) {
            const std::uint64_t nth = trial / kTosses;
            Lives lives(trial + 1);
            std::uint64_t failed = 0;
            Saved last;
            for (int life = 0; life < 3; ++life) {
                if (life == victim) lives.disk.refused = nth;
                std::optional<Kept> kept(std::in_place, lives.place, life == 0, &lives.disk);
                for (; !kept->store && failed < 3; ++failed)
                    kept.emplace(lives.place, life == 0, &lives.disk);
                cr_assert(kept->store && kept->store->given_up().empty(), "sync %lu of %d", nth, victim);
                cr_assert(kept->store->loaded() == last, "sync %lu of %d", nth, victim);
                Life writer(nth, last);
                for (std::uint64_t token = 1; token <= 80; ++token) {
                    kept->store->put({token, writer.next()});
                    kept->wait_for(token);
                }
                failed += kept->store->failed_writes();
                last = writer.saved;
                kept.reset();
                lives.lose_power();
            }
            if (lives.disk.refusals == 0) break;
        }
    printf("%lu syncs refused\n", trials);
    cr_assert(trials > 10 * kTosses);
}

// Damage is no sign of what was acknowledged: however far its repair came, the old votes are not taken up.
Test(store, takes_no_votes_from_a_repair_that_was_cut_short) {
    Folder folder;
    Saved last;
    {
        Kept kept(folder.at("lamp"), true);
        Life life(7, kept.store->loaded());
        for (std::uint64_t token = 1; token <= 20; ++token) cr_assert(kept.put(token, life.next()));
        last = life.saved;
    }
    std::uint64_t step = 0;
    for (bool whole = false; !whole; ++step) {
        Lives lives(step + 1);
        fs::copy(folder.at("lamp"), lives.place);
        for (const char* name : {"CURRENT", "MARK"}) fs::remove(lives.place + "/" + name);
        lives.disk.left = step;
        whole = Kept(lives.place, false, &lives.disk).store != nullptr && lives.disk.left > 0;
        lives.disk.lose_power();
        const Kept again(lives.place, false, &lives.disk);
        cr_assert(again.store && again.store->loaded().disk != last.disk, "step %lu", step);
        cr_assert_eq(again.store->loaded().promised.round, 0, "step %lu", step);
    }
    printf("%lu steps\n", step);
    cr_assert(step > 10);
}

Test(store, never_votes_from_a_state_that_was_cut) {
    std::size_t whole = 0, anew = 0;
    Folder folder;
    Saved last;
    {
        Kept kept(folder.at("lamp"), true);
        Life life(7, kept.store->loaded());
        for (std::uint64_t token = 1; token <= 60; ++token) cr_assert(kept.put(token, life.next()));
        last = life.saved;
    }
    std::mt19937_64 random(7);
    for (const auto& entry : fs::directory_iterator(folder.at("lamp"))) {
        const std::uintmax_t size = entry.file_size();
        for (int i = 0; i < 24 && size > 0; ++i) {
            const std::string copy = folder.at("copy"), cut = copy + "/" + entry.path().filename().string();
            fs::remove_all(copy);
            fs::copy(folder.at("lamp"), copy);
            const std::uintmax_t at = i == 0 ? 0 : random() % size;
            if (i % 2 == 0) fs::resize_file(cut, at);
            else {
                std::fstream f(cut, std::ios::in | std::ios::out | std::ios::binary);
                f.seekp(static_cast<std::streamoff>(at));
                f << static_cast<char>(random());
            }
            Kept kept(copy, i % 3 == 0);
            if (!kept.store) continue;
            const Saved loaded = kept.store->loaded();
            ++(loaded == last ? whole : anew);
            if (loaded == last) continue;
            cr_assert(loaded.disk != last.disk && loaded.promised.round == 0 && !loaded.pending, "%s at %ju",
                      cut.c_str(), at);
            cr_assert(!kept.store->given_up().empty() && kept.put(1, loaded));
        }
    }
    printf("%zu whole, %zu anew\n", whole, anew);
    cr_assert(whole > 0 && anew > 0);
}

Test(store, tries_again_until_the_disk_takes_it) {
    Folder folder;
    cr_assert_neq(Kept(folder.at("other"), false).store->loaded().disk, 0);
    Forgetful disk(1);
    std::mt19937_64 random(1);
    Saved last;
    for (disk.left = 0; disk.left < 30; disk.left += 3) {    // from the first write on
        const std::uint64_t left = disk.left;
        if (const Kept first(folder.at("lamp"), true, &disk); first.store) break;
        disk.left = left;
    }
    disk.left = ~0ull;
    for (int round = 0; round < 8; ++round) {
        Kept kept(folder.at("lamp"), round == 0, &disk);
        cr_assert(kept.store->given_up().empty(), "%s", kept.store->given_up().c_str());
        cr_assert(kept.store->loaded() == last);
        Life life(random(), kept.store->loaded());
        for (std::uint64_t token = 1; token <= 5; ++token) cr_assert(kept.put(token, life.next()));
        disk.left = static_cast<std::uint64_t>(round % 3);    // refuses to write, to sync
        cr_assert(!kept.put(6, life.next()));
        kept.store->put({7, life.next()});
        disk.left = ~0ull;
        std::uint64_t done = 0;
        std::unique_lock lock(kept.mutex);
        while (done != 7) {
            for (const std::uint64_t token : kept.store->done()) cr_assert((done = token) >= 6);
            kept.woken.wait_for(lock, 10ms);
        }
        last = life.saved;
    }
}

}    // namespace
}    // namespace shaletray::consensus::test
