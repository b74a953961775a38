// The lamp's state on a disk that loses power, tears files, refuses writes.
#include "lamp/store.h"

#include <leveldb/env.h>
#include <stdlib.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>

#include "world.h"

namespace shaletray::lamp::test {
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

// A disk that forgets: syncs are counted rather than made, and what was not synced may be lost, torn or gone
// when the power is. After `left` operations it refuses all that follow.
class Forgetful : public leveldb::EnvWrapper {
public:
    explicit Forgetful(std::uint64_t seed) : EnvWrapper(leveldb::Env::Default()), random_(seed) {}
    std::uint64_t left = ~0ull;

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** out) override {
        const std::lock_guard lock(mutex_);
        leveldb::WritableFile* real = nullptr;
        leveldb::Status status = go_on();
        if (status.ok()) status = target()->NewWritableFile(name, &real);
        if (!status.ok()) return status;
        files_[name] = {};
        *out = new File(*this, name, real);
        return status;
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        files_[to] = files_[from];
        files_.erase(from);
        return target()->RenameFile(from, to);
    }
    leveldb::Status RemoveFile(const std::string& name) override {    // may be back after a loss of power
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = go_on(); !status.ok()) return status;
        fs::rename(name, name + ".removed");
        return {};
    }
    leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* out) override {
        leveldb::Status status = target()->GetChildren(folder, out);
        std::erase_if(*out, [](const std::string& name) { return name.ends_with(".removed"); });
        return status;
    }
    void lose_power(const std::string& folder) {
        for (const auto& entry : fs::directory_iterator(folder)) {
            const std::string name = entry.path().string();
            if (!name.ends_with(".removed")) continue;
            const std::string before = name.substr(0, name.size() - 8);
            if (random_() % 2 || fs::exists(before)) fs::remove(name);
            else fs::rename(name, before);
        }
        for (const auto& [name, file] : files_) {
            if (!fs::exists(name) || file.written == file.synced) continue;
            const std::uint64_t size = fs::file_size(name),
                                keep = file.synced + random_() % (size - std::min(size, file.synced) + 1);
            if (file.synced == 0 && random_() % 2) fs::remove(name);
            else if (random_() % 2) fs::resize_file(name, std::min(keep, size));
            else {    // a hole, and what came after it
                std::fstream f(name, std::ios::in | std::ios::out | std::ios::binary);
                f.seekp(static_cast<std::streamoff>(file.synced));
                f << std::string(std::min(keep, size) - std::min(size, file.synced), '\0');
            }
        }
        files_.clear();
        left = ~0ull;
    }

private:
    struct Sizes {
        std::uint64_t written = 0, synced = 0;
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
            if (leveldb::Status status = disk_.go_on(); !status.ok()) return status;
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
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::map<std::string, Sizes> files_;
};

// A store with what was put and what it said is kept.
struct Kept {
    std::unique_ptr<Store> store;
    std::mutex mutex;
    std::condition_variable woken;
    std::uint64_t news = 0;

    Kept(const std::string& folder, bool founder, leveldb::Env* disk = nullptr) {
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
};

bool operator==(const Saved& a, const Saved& b) {
    return a.disk == b.disk && a.decree == b.decree && a.promised == b.promised && a.accepted == b.accepted &&
           a.pending == b.pending;
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
                ++saved.pending->version;
                saved.pending->text.assign(random() % 40'000, static_cast<char>('a' + random() % 26));
            }
        }
        return saved;
    }
};

Test(store, stays_small_however_much_is_written) {
    Folder folder;
    Kept kept(folder.at("lamp"), true);
    Saved saved;
    std::uintmax_t most = 0;
    for (std::uint64_t token = 1; token <= 400; ++token) {
        saved.decree = {token, {{"10.1.0.1:7100", 0}}, token, std::string(100'000, static_cast<char>(token))};
        cr_assert(kept.put(token, saved));
        std::uintmax_t size = 0;
        std::error_code gone;
        for (const auto& entry : fs::directory_iterator(folder.at("lamp"))) {
            const auto one = fs::file_size(entry, gone);
            if (!gone) size += one;
        }
        most = std::max(most, size);
    }
    printf("at most %ju bytes on disk for texts of 100000\n", most);
    cr_assert(most < 8'000'000, "%ju", most);
}

Test(store, keeps_its_votes_through_losses_of_power) {
    std::size_t writes = 0, unopened = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Folder folder;
        std::mt19937_64 random(seed);
        Forgetful disk(seed);
        const std::string place = folder.at("lamp"), mark = place + "/MARK";
        std::vector<Saved> may_be;    // what was kept, and what was put after it
        for (int life = 0; life < 6; ++life) {
            if (life > 0) disk.left = random() % 150;
            if (Kept kept(place, life == 0, &disk); !kept.store) ++unopened;    // the power went meanwhile
            else {
                const Saved& loaded = kept.store->loaded();
                const auto is = [&](const Saved& s) { return s == loaded; };
                cr_assert(kept.store->given_up().empty());
                cr_assert(life == 0 || std::any_of(may_be.begin(), may_be.end(), is), "seed %lu", seed);
                Life writer(random(), loaded);
                if (life == 0) disk.left = random() % 300;
                may_be = {loaded};
                for (std::uint64_t token = 1; token <= 80; ++token, ++writes) {
                    may_be.push_back(writer.next());
                    if (!kept.put(token, writer.saved)) break;
                    may_be = {writer.saved};
                }
            }
            disk.lose_power(place);
            if (random() % 3 == 0) fs::remove(mark);    // it was never synced
            else if (random() % 2 && fs::exists(mark)) fs::resize_file(mark, random() % 17);
        }
    }
    printf("%zu writes, %zu losses of power while opening\n", writes, unopened);
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
}    // namespace shaletray::lamp::test
