#include "cluster/consensus/state_store.h"

#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>
#include <sys/random.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <filesystem>
#include <mutex>
#include <optional>
#include <thread>

#include "cluster/consensus/message.h"
#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus {
namespace {

using namespace std::chrono_literals;

constexpr auto kHead = "head";
constexpr std::size_t kWriteBuffer = 256 * 1024, kFile = 1024 * 1024, kCache = 64 * 1024;
constexpr auto kFirstRetry = 100ms, kLastRetry = 1000ms;

std::uint64_t draw_disk() {
    std::uint64_t number = 0;
    while (number == 0)
        if (getrandom(&number, sizeof number, 0) != sizeof number)
            number = static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count()) ^
                     (static_cast<std::uint64_t>(getpid()) << 48);
    return number;
}

// A name lasts only once its folder was synced. LevelDB itself does this before each sync of a MANIFEST, so
// the tables that one names are safe; but votes stand in a new log long before the next MANIFEST, and CURRENT
// is renamed into its place after the last. Both are made to last here.
class SyncedNames : public leveldb::EnvWrapper {
public:
    SyncedNames(Disk& disk, std::string folder)
        : EnvWrapper(&disk), disk_(disk), folder_(std::move(folder)) {}
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** out) override {
        leveldb::Status status = target()->NewWritableFile(name, out);
        if (status.ok() && name.ends_with(".log")) *out = new Log(*this, *out);
        return status;
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        leveldb::Status status = target()->RenameFile(from, to);
        return status.ok() ? Settle() : status;
    }
    // CURRENT may be the old one or the new after a loss of power: until that is settled what either leads to
    // must stay. LevelDB would remove the new one's MANIFEST.
    leveldb::Status RemoveFile(const std::string& name) override {
        if (unsure_) return leveldb::Status::IOError(name, "is kept until names last");
        return target()->RemoveFile(name);
    }
    leveldb::Status Settle() {
        const leveldb::Status status = disk_.SyncFolder(folder_);
        unsure_ = !status.ok();
        return status;
    }

private:
    class Log : public leveldb::WritableFile {
    public:
        Log(SyncedNames& names, leveldb::WritableFile* file) : names_(names), file_(file) {}
        leveldb::Status Append(const leveldb::Slice& data) override { return file_->Append(data); }
        leveldb::Status Close() override { return file_->Close(); }
        leveldb::Status Flush() override { return file_->Flush(); }
        leveldb::Status Sync() override {
            leveldb::Status status = file_->Sync();
            if (!status.ok() || lasts_) return status;
            status = names_.disk_.SyncFolder(names_.folder_);    // settles no rename of another thread
            lasts_ = status.ok();
            return status;
        }

    private:
        SyncedNames& names_;
        const std::unique_ptr<leveldb::WritableFile> file_;
        bool lasts_ = false;    // by its name
    };
    Disk& disk_;
    const std::string folder_;
    std::atomic<bool> unsure_ = false;
};

class Silent : public leveldb::Logger {    // else it keeps a log file of its own
public:
    void Logv(const char*, std::va_list) override {}
};

// The number of the newest write that is on the disk, beside the database. Neither it nor its name is ever
// synced, and it is written after what it tells of: it claims "at least this was acknowledged", no more.
// Where it is ahead of what the database holds, files were cut and votes forgotten. After a loss of power it
// may be old, torn or gone, which is no sign of anything.
class Mark {
public:
    explicit Mark(const std::string& path) : fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
        std::array<std::uint64_t, 2> at{};
        if (fd_ >= 0 && ::pread(fd_, at.data(), sizeof at, 0) == sizeof at && at[1] == sum(at[0]))
            value_ = at[0];
    }
    Mark(const Mark&) = delete;
    ~Mark() {
        if (fd_ >= 0) ::close(fd_);
    }
    std::uint64_t value() const { return value_; }
    void set(std::uint64_t value) {
        const std::array<std::uint64_t, 2> at{value, sum(value)};
        if (fd_ >= 0 && ::pwrite(fd_, at.data(), sizeof at, 0) == sizeof at) value_ = value;
    }

private:
    static std::uint64_t sum(std::uint64_t value) {
        return checksum({reinterpret_cast<const char*>(&value), sizeof value});
    }
    int fd_;
    std::uint64_t value_ = 0;
};

class InMemory : public Store {
public:
    explicit InMemory(bool founder) { loaded_.disk = founder ? 0 : draw_disk(); }
    const Saved& loaded() const override { return loaded_; }
    void put(Actions::Store what) override {
        done_.push_back(what.token);
        if (wake_) wake_();
    }
    std::vector<std::uint64_t> done() override { return std::exchange(done_, {}); }
    void on_done(std::function<void()> wake) override { wake_ = std::move(wake); }

private:
    Saved loaded_;
    std::vector<std::uint64_t> done_;
    std::function<void()> wake_;
};

class OnDisk : public Store {
public:
    OnDisk(std::string folder, Disk& disk)
        : folder_(std::move(folder)),
          disk_(disk),
          env_(disk, folder_),
          cache_(leveldb::NewLRUCache(kCache)) {}
    ~OnDisk() override {
        if (thread_.joinable()) {
            {
                const std::lock_guard lock(mutex_);
                stop_ = true;
            }
            ready_.notify_all();
            thread_.join();
        }
        db_.reset();
    }

    leveldb::Status begin(bool founder) {
        const leveldb::Status status = load(founder);
        if (status.ok()) thread_ = std::thread([this] { run(); });
        return status;
    }

    const Saved& loaded() const override { return loaded_; }
    void put(Actions::Store what) override {
        {
            const std::lock_guard lock(mutex_);
            tokens_.push_back(what.token);
            waiting_ = std::move(what.saved);
        }
        ready_.notify_one();
    }
    std::vector<std::uint64_t> done() override {
        const std::lock_guard lock(mutex_);
        return std::exchange(done_, {});
    }
    void on_done(std::function<void()> wake) override {
        const std::lock_guard lock(mutex_);
        wake_ = std::move(wake);
    }
    std::string given_up() const override { return given_up_; }
    std::uint64_t failed_writes() const override { return failures_; }

private:
    leveldb::Options options() {
        leveldb::Options o;
        o.env = &env_;
        o.info_log = &silent_;
        o.write_buffer_size = kWriteBuffer;
        o.max_file_size = kFile;
        o.max_open_files = 64;
        o.block_cache = cache_.get();
        o.compression = leveldb::kNoCompression;
        return o;
    }
    std::string file(const char* name) const { return folder_ + "/" + name; }
    bool has_files() const {
        std::error_code error;
        for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
            const std::string name = entry.path().filename().string();
            // What a database leaves that was never finished: nothing was put into it.
            if (name != "LOCK" && name != "MARK" && name != "DISTRUST" && name != "MANIFEST-000001" &&
                name != "000001.dbtmp")
                return true;
        }
        return false;
    }
    leveldb::Status open_database() {
        db_.reset();
        const bool begun = has_files();
        if (begun && !std::filesystem::exists(file("CURRENT")))
            return leveldb::Status::Corruption("no CURRENT");
        leveldb::Options o = options();
        o.create_if_missing = !begun;
        leveldb::DB* db = nullptr;
        const leveldb::Status status = leveldb::DB::Open(o, folder_, &db);
        db_.reset(db);
        return status;
    }
    leveldb::Status repair() {
        db_.reset();
        const leveldb::Status status = leveldb::RepairDB(folder_, options());
        std::error_code ignored;
        std::filesystem::remove_all(file("lost"), ignored);
        return status;
    }
    static bool damaged(const leveldb::Status& status) {
        return !status.ok() && !status.IsIOError();    // a disk that refuses may do better later
    }

    leveldb::Status read_text(const Head::TextAt& at, std::string& text) {
        if (at.slot != 0) {
            leveldb::ReadOptions o;
            o.verify_checksums = true;
            o.fill_cache = false;
            const leveldb::Status status = db_->Get(o, key(at.slot), &text);
            if (status.IsNotFound()) return leveldb::Status::Corruption("a text is missing");
            if (!status.ok()) return status;
        }
        return text_at(at.slot, text).same(at) ? leveldb::Status::OK()
                                               : leveldb::Status::Corruption("a text of other bytes");
    }
    leveldb::Status read_head(Head& head) {
        leveldb::ReadOptions o;
        o.verify_checksums = true;
        std::string bytes;
        const leveldb::Status status = db_->Get(o, kHead, &bytes);
        if (!status.ok()) return status;
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<leveldb::Status> {
                BOOST_LEAF_ASSIGN(head, decode_head(bytes));
                return leveldb::Status::OK();
            },
            [](const Unreadable& e) { return leveldb::Status::Corruption("head", e.why); },
            [] { return leveldb::Status::Corruption("head"); });
    }
    // What can be read is left in `head`, though an error be returned: the decree only with its text.
    leveldb::Status read_all(Head& head, bool& has_decree) {
        has_decree = false;
        leveldb::Status status = read_head(head);
        if (!status.ok()) return status;
        status = read_text(head.decree, head.saved.decree.text);
        has_decree = status.ok();
        if (status.ok() && head.saved.pending) status = read_text(head.pending, head.saved.pending->text);
        return status;
    }

    leveldb::Status load(bool founder) {
        std::error_code error;
        std::filesystem::create_directories(folder_, error);
        if (error) return leveldb::Status::IOError(folder_, error.message());
        const std::string parent = std::filesystem::path(folder_).parent_path().string();
        if (leveldb::Status named = disk_.SyncFolder(parent); !named.ok()) return named;
        mark_.emplace(file("MARK"));
        distrusted_ = env_.FileExists(file("DISTRUST"));
        bool fresh = !distrusted_ && !has_files() && mark_->value() == 0;
        Head head;
        bool has_decree = false;
        leveldb::Status status = open_database();
        if (status.ok() && !fresh) status = read_all(head, has_decree);
        if (status.IsIOError()) return status;
        if (status.IsNotFound() && !distrusted_ && mark_->value() == 0) {
            fresh = true;    // the disk failed before the first write
            status = {};
        }
        if (status.ok() && distrusted_) status = leveldb::Status::Corruption("was being repaired");
        if (status.ok() && head.sequence < mark_->value())
            status = leveldb::Status::Corruption("older than what was stored");
        sequence_ = std::max(head.sequence, mark_->value());
        if (status.ok() && fresh) {
            loaded_.disk = founder ? 0 : draw_disk();
            return write(loaded_, true);
        }
        if (status.ok()) {
            loaded_ = std::move(head.saved);
            last_ = std::move(head);
            return status;
        }
        return give_up(status.ToString(), std::move(head), has_decree);
    }
    leveldb::Status give_up(std::string why, Head head, bool has_decree) {
        given_up_ = std::move(why);
        leveldb::Status status = distrust();
        if (!status.ok()) return status;
        if (!has_decree && repair().ok()) {
            status = open_database();
            if (status.ok()) status = read_all(head, has_decree);
            if (status.IsIOError()) return status;
            sequence_ = std::max(head.sequence, mark_->value());
        }
        loaded_.disk = draw_disk();
        if (has_decree) loaded_.decree = std::move(head.saved.decree);
        if (db_) status = write(loaded_, true);
        if (db_ && !damaged(status)) return status;
        status = start_over();
        return status.ok() ? write(loaded_, true) : status;
    }
    // What is repaired or begun anew may open well at any moment, and hold less than was acknowledged: a file
    // says so, by a name that lasts, until the whole state is written.
    leveldb::Status distrust() {
        leveldb::WritableFile* made = nullptr;
        leveldb::Status status = env_.NewWritableFile(file("DISTRUST"), &made);
        const std::unique_ptr<leveldb::WritableFile> closed(made);
        if (status.ok()) status = env_.Settle();
        distrusted_ = distrusted_ || status.ok();
        return status;
    }
    leveldb::Status trust() {
        leveldb::Status status = env_.RemoveFile(file("DISTRUST"));
        if (status.ok()) status = env_.Settle();
        distrusted_ = distrusted_ && !status.ok();
        return status;
    }
    leveldb::Status start_over() {    // distrusted by now
        db_.reset();
        std::error_code ignored;
        std::filesystem::remove_all(file("lost"), ignored);
        std::vector<std::string> names;
        leveldb::Status status = env_.GetChildren(folder_, &names);
        for (const std::string& name : names)
            if (status.ok() && name != "." && name != ".." && name != "MARK" && name != "DISTRUST")
                status = env_.RemoveFile(file(name.c_str()));
        if (status.ok()) status = env_.Settle();
        return status.ok() ? open_database() : status;
    }

    static std::string key(std::uint64_t slot) { return "text" + std::to_string(slot); }
    Head::TextAt place(const std::string& text, std::uint64_t slot, bool anew,
                       leveldb::WriteBatch& batch) const {
        Head::TextAt at = text_at(slot, text);
        if (at.slot == 0) return at;
        if (!anew && last_.decree.slot != 0 && at.same(last_.decree)) return last_.decree;
        if (!anew && last_.pending.slot != 0 && at.same(last_.pending)) return last_.pending;
        batch.Put(key(at.slot), text);
        return at;
    }
    // `anew`: what stands on the disk is not known, and is all put in place.
    leveldb::Status write(const Saved& saved, bool anew) {
        leveldb::WriteBatch batch;
        Head head;
        head.sequence = sequence_ + 1;
        head.decree = place(saved.decree.text, head.sequence * 2, anew, batch);
        if (saved.pending) {
            head.pending = place(saved.pending->text, head.sequence * 2 + 1, anew, batch);
            if (head.pending.slot == head.sequence * 2 + 1 && head.pending.same(head.decree)) {
                batch.Delete(key(head.pending.slot));    // one text, one slot
                head.pending = head.decree;
            }
        }
        const auto used = [&head](std::uint64_t slot) {
            return slot == head.decree.slot || slot == head.pending.slot;
        };
        if (anew) {
            const std::unique_ptr<leveldb::Iterator> all(db_->NewIterator({}));
            for (all->SeekToFirst(); all->Valid(); all->Next())
                if (all->key() != kHead && all->key() != key(head.decree.slot) &&
                    all->key() != key(head.pending.slot))
                    batch.Delete(all->key());
        } else {
            for (const std::uint64_t slot : {last_.decree.slot, last_.pending.slot})
                if (slot != 0 && !used(slot)) batch.Delete(key(slot));
        }
        head.saved = {saved.disk,
                      {saved.decree.number, saved.decree.voters, saved.decree.version, {}},
                      saved.promised,
                      saved.accepted,
                      std::nullopt};
        head.saved.decree.earlier = saved.decree.earlier;
        if (saved.pending) {
            head.saved.pending = {saved.pending->number, saved.pending->voters, saved.pending->version, {}};
            head.saved.pending->earlier = saved.pending->earlier;
        }
        batch.Put(kHead, encode(head));
        leveldb::WriteOptions synced;
        synced.sync = true;
        leveldb::Status status = db_->Write(synced, &batch);
        if (!status.ok()) return status;
        sequence_ = head.sequence;
        last_ = std::move(head);
        mark_->set(sequence_);
        return distrusted_ ? trust() : status;
    }
    // After an error the database takes no more writes until it is opened again.
    leveldb::Status reopen() {
        const leveldb::Status status = open_database();
        if (!damaged(status)) return status;
        const leveldb::Status told = distrust();
        return told.ok() ? start_over() : told;    // all that counts is in memory, and is written next
    }

    void run() {
        std::unique_lock lock(mutex_);
        auto retry = kFirstRetry;
        bool anew = false;
        Saved saved;
        std::size_t tokens = 0;
        for (;;) {
            if (!anew) ready_.wait(lock, [this] { return stop_ || waiting_; });
            if (waiting_) {
                saved = std::move(*waiting_);
                waiting_.reset();
                tokens = tokens_.size();
            } else if (stop_) return;
            lock.unlock();
            leveldb::Status status;
            if (anew) status = reopen();
            if (status.ok()) status = write(saved, anew);
            lock.lock();
            if (!status.ok()) {
                ++failures_;
                anew = true;
                if (stop_) return;
                ready_.wait_for(lock, retry, [this] { return stop_; });
                retry = std::min<std::chrono::milliseconds>(retry * 2, kLastRetry);
                continue;
            }
            anew = false;
            retry = kFirstRetry;
            saved = {};
            const auto end = tokens_.begin() + static_cast<std::ptrdiff_t>(tokens);
            done_.insert(done_.end(), tokens_.begin(), end);
            tokens_.erase(tokens_.begin(), end);
            if (!wake_) continue;
            const std::function<void()> wake = wake_;
            lock.unlock();
            wake();
            lock.lock();
        }
    }

    const std::string folder_;
    Disk& disk_;
    SyncedNames env_;
    Silent silent_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> db_;
    std::optional<Mark> mark_;
    Saved loaded_;
    std::string given_up_;
    Head last_;    // as it is on the disk, without texts
    std::uint64_t sequence_ = 0;
    bool distrusted_ = false;    // by a file that lasts

    std::thread thread_;
    std::mutex mutex_;    // guards what follows
    std::condition_variable ready_;
    std::optional<Saved> waiting_;    // the newest only
    std::vector<std::uint64_t> tokens_, done_;
    std::function<void()> wake_;
    bool stop_ = false;
    std::atomic<std::uint64_t> failures_ = 0;
};

}    // namespace

boost::leaf::result<std::unique_ptr<Store>> Store::open(const std::string& folder, bool founder) {
    static Disk disk;
    return open(folder, founder, disk);
}

boost::leaf::result<std::unique_ptr<Store>> Store::open(const std::string& folder, bool founder, Disk& disk) {
    auto store = std::make_unique<OnDisk>(folder, disk);
    const leveldb::Status status = store->begin(founder);
    if (!status.ok()) return boost::leaf::new_error(DiskTrouble{status.ToString()});
    return std::unique_ptr<Store>(std::move(store));
}

std::unique_ptr<Store> Store::in_memory(bool founder) { return std::make_unique<InMemory>(founder); }

}    // namespace shaletray::consensus
