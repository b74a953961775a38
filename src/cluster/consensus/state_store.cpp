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

constexpr auto kHeaderKey = "head";
constexpr std::size_t kWriteBufferSize = 256 * 1024, kMaxFileSize = 1024 * 1024, kCacheSize = 64 * 1024;
constexpr auto kMinRetryInterval = 100ms, kMaxRetryInterval = 1000ms;

std::uint64_t generate_disk_id() {
    std::uint64_t disk_id = 0;
    while (disk_id == 0)
        if (getrandom(&disk_id, sizeof disk_id, 0) != sizeof disk_id)
            disk_id =
                static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count()) ^
                (static_cast<std::uint64_t>(getpid()) << 48);
    return disk_id;
}

// A name lasts only once its folder was synced. LevelDB itself does this before each sync of a MANIFEST, so
// the tables that one names are safe; but votes stand in a new log long before the next MANIFEST, and CURRENT
// is renamed into its place after the last. Both are made to last here.
class DirectorySyncingEnv : public leveldb::EnvWrapper {
public:
    DirectorySyncingEnv(SyncingFileSystem& file_system, std::string folder)
        : EnvWrapper(&file_system), file_system_(file_system), folder_(std::move(folder)) {}
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override {
        leveldb::Status status = target()->NewWritableFile(name, file);
        if (status.ok() && name.ends_with(".log")) *file = new SyncedLogFile(*this, *file);
        return status;
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        leveldb::Status status = target()->RenameFile(from, to);
        return status.ok() ? SyncDirectory() : status;
    }
    // CURRENT may be the old one or the new after a loss of power: until that is settled what either leads to
    // must stay. LevelDB would remove the new one's MANIFEST.
    leveldb::Status RemoveFile(const std::string& name) override {
        if (directory_sync_failed_) return leveldb::Status::IOError(name, "is kept until names last");
        return target()->RemoveFile(name);
    }
    leveldb::Status SyncDirectory() {
        const leveldb::Status status = file_system_.SyncFolder(folder_);
        directory_sync_failed_ = !status.ok();
        return status;
    }

private:
    class SyncedLogFile : public leveldb::WritableFile {
    public:
        SyncedLogFile(DirectorySyncingEnv& env, leveldb::WritableFile* file) : env_(env), file_(file) {}
        leveldb::Status Append(const leveldb::Slice& data) override { return file_->Append(data); }
        leveldb::Status Close() override { return file_->Close(); }
        leveldb::Status Flush() override { return file_->Flush(); }
        leveldb::Status Sync() override {
            leveldb::Status status = file_->Sync();
            if (!status.ok() || name_is_synced_) return status;
            status = env_.file_system_.SyncFolder(env_.folder_);    // settles no rename of another thread
            name_is_synced_ = status.ok();
            return status;
        }

    private:
        DirectorySyncingEnv& env_;
        const std::unique_ptr<leveldb::WritableFile> file_;
        bool name_is_synced_ = false;    // by its name
    };
    SyncingFileSystem& file_system_;
    const std::string folder_;
    std::atomic<bool> directory_sync_failed_ = false;
};

class NullLogger : public leveldb::Logger {    // else it keeps a log file of its own
public:
    void Logv(const char*, std::va_list) override {}
};

// The number of the newest write that is on the disk, beside the database. Neither it nor its name is ever
// synced, and it is written after what it tells of: it claims "at least this was acknowledged", no more.
// Where it is ahead of what the database holds, files were cut and votes forgotten. After a loss of power it
// may be old, torn or gone, which is no sign of anything.
class WriteWatermark {
public:
    explicit WriteWatermark(const std::string& path)
        : descriptor_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
        std::array<std::uint64_t, 2> record{};
        if (descriptor_ >= 0 && ::pread(descriptor_, record.data(), sizeof record, 0) == sizeof record &&
            record[1] == record_checksum(record[0]))
            value_ = record[0];
    }
    WriteWatermark(const WriteWatermark&) = delete;
    ~WriteWatermark() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    std::uint64_t value() const { return value_; }
    void write_value(std::uint64_t sequence) {
        const std::array<std::uint64_t, 2> record{sequence, record_checksum(sequence)};
        if (descriptor_ >= 0 && ::pwrite(descriptor_, record.data(), sizeof record, 0) == sizeof record)
            value_ = sequence;
    }

private:
    static std::uint64_t record_checksum(std::uint64_t sequence) {
        return checksum({reinterpret_cast<const char*>(&sequence), sizeof sequence});
    }
    int descriptor_;
    std::uint64_t value_ = 0;
};

class InMemoryStateStore : public StateStore {
public:
    explicit InMemoryStateStore(bool founder) { loaded_state_.disk_id = founder ? 0 : generate_disk_id(); }
    const PersistentState& loaded_state() const override { return loaded_state_; }
    void save(Actions::StateWrite write) override {
        stored_tokens_.push_back(write.token);
        if (stored_callback_) stored_callback_();
    }
    std::vector<std::uint64_t> take_stored_tokens() override { return std::exchange(stored_tokens_, {}); }
    void set_stored_callback(std::function<void()> callback) override {
        stored_callback_ = std::move(callback);
    }

private:
    PersistentState loaded_state_;
    std::vector<std::uint64_t> stored_tokens_;
    std::function<void()> stored_callback_;
};

class LevelDbStateStore : public StateStore {
public:
    LevelDbStateStore(std::string folder, SyncingFileSystem& file_system)
        : folder_(std::move(folder)),
          file_system_(file_system),
          env_(file_system, folder_),
          cache_(leveldb::NewLRUCache(kCacheSize)) {}
    ~LevelDbStateStore() override {
        if (writer_thread_.joinable()) {
            {
                const std::lock_guard lock(mutex_);
                stopping_ = true;
            }
            work_available_.notify_all();
            writer_thread_.join();
        }
        database_.reset();
    }

    leveldb::Status start(bool founder) {
        const leveldb::Status status = load_state(founder);
        if (status.ok()) writer_thread_ = std::thread([this] { run_writer(); });
        return status;
    }

    const PersistentState& loaded_state() const override { return loaded_state_; }
    void save(Actions::StateWrite write) override {
        {
            const std::lock_guard lock(mutex_);
            pending_tokens_.push_back(write.token);
            pending_state_ = std::move(write.state);
        }
        work_available_.notify_one();
    }
    std::vector<std::uint64_t> take_stored_tokens() override {
        const std::lock_guard lock(mutex_);
        return std::exchange(stored_tokens_, {});
    }
    void set_stored_callback(std::function<void()> callback) override {
        const std::lock_guard lock(mutex_);
        stored_callback_ = std::move(callback);
    }
    std::string discard_reason() const override { return discard_reason_; }
    std::uint64_t failed_writes() const override { return failed_writes_; }

private:
    leveldb::Options make_options() {
        leveldb::Options options;
        options.env = &env_;
        options.info_log = &null_logger_;
        options.write_buffer_size = kWriteBufferSize;
        options.max_file_size = kMaxFileSize;
        options.max_open_files = 64;
        options.block_cache = cache_.get();
        options.compression = leveldb::kNoCompression;
        return options;
    }
    std::string file_path(const char* name) const { return folder_ + "/" + name; }
    bool has_database_files() const {
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
        database_.reset();
        const bool database_exists = has_database_files();
        if (database_exists && !std::filesystem::exists(file_path("CURRENT")))
            return leveldb::Status::Corruption("no CURRENT");
        leveldb::Options options = make_options();
        options.create_if_missing = !database_exists;
        leveldb::DB* database = nullptr;
        const leveldb::Status status = leveldb::DB::Open(options, folder_, &database);
        database_.reset(database);
        return status;
    }
    leveldb::Status repair_database() {
        database_.reset();
        const leveldb::Status status = leveldb::RepairDB(folder_, make_options());
        std::error_code ignored_error;
        std::filesystem::remove_all(file_path("lost"), ignored_error);
        return status;
    }
    static bool is_damaged(const leveldb::Status& status) {
        return !status.ok() && !status.IsIOError();    // a disk that refuses may do better later
    }

    leveldb::Status read_text(const StateHeader::TextReference& reference, std::string& text) {
        if (reference.slot != 0) {
            leveldb::ReadOptions read_options;
            read_options.verify_checksums = true;
            read_options.fill_cache = false;
            const leveldb::Status status = database_->Get(read_options, text_key(reference.slot), &text);
            if (status.IsNotFound()) return leveldb::Status::Corruption("a text is missing");
            if (!status.ok()) return status;
        }
        return make_text_reference(reference.slot, text).has_same_content(reference)
                   ? leveldb::Status::OK()
                   : leveldb::Status::Corruption("a text of other bytes");
    }
    leveldb::Status read_header(StateHeader& header) {
        leveldb::ReadOptions read_options;
        read_options.verify_checksums = true;
        std::string bytes;
        const leveldb::Status status = database_->Get(read_options, kHeaderKey, &bytes);
        if (!status.ok()) return status;
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<leveldb::Status> {
                BOOST_LEAF_ASSIGN(header, decode_state_header(bytes));
                return leveldb::Status::OK();
            },
            [](const DecodeError& error) { return leveldb::Status::Corruption("head", error.reason); },
            [] { return leveldb::Status::Corruption("head"); });
    }
    // What can be read is left in `head`, though an error be returned: the decree only with its text.
    leveldb::Status read_state(StateHeader& header, bool& has_committed_entry) {
        has_committed_entry = false;
        leveldb::Status status = read_header(header);
        if (!status.ok()) return status;
        status = read_text(header.committed_text, header.state.committed.text);
        has_committed_entry = status.ok();
        if (status.ok() && header.state.accepted_entry)
            status = read_text(header.accepted_text, header.state.accepted_entry->text);
        return status;
    }

    leveldb::Status load_state(bool founder) {
        std::error_code error;
        std::filesystem::create_directories(folder_, error);
        if (error) return leveldb::Status::IOError(folder_, error.message());
        const std::string parent_folder = std::filesystem::path(folder_).parent_path().string();
        if (leveldb::Status sync_status = file_system_.SyncFolder(parent_folder); !sync_status.ok())
            return sync_status;
        watermark_.emplace(file_path("MARK"));
        is_untrusted_ = env_.FileExists(file_path("DISTRUST"));
        bool is_new = !is_untrusted_ && !has_database_files() && watermark_->value() == 0;
        StateHeader header;
        bool has_committed_entry = false;
        leveldb::Status status = open_database();
        if (status.ok() && !is_new) status = read_state(header, has_committed_entry);
        if (status.IsIOError()) return status;
        if (status.IsNotFound() && !is_untrusted_ && watermark_->value() == 0) {
            is_new = true;    // the disk failed before the first write
            status = {};
        }
        if (status.ok() && is_untrusted_) status = leveldb::Status::Corruption("was being repaired");
        if (status.ok() && header.sequence < watermark_->value())
            status = leveldb::Status::Corruption("older than what was stored");
        sequence_ = std::max(header.sequence, watermark_->value());
        if (status.ok() && is_new) {
            loaded_state_.disk_id = founder ? 0 : generate_disk_id();
            return write_state(loaded_state_, true);
        }
        if (status.ok()) {
            loaded_state_ = std::move(header.state);
            last_header_ = std::move(header);
            return status;
        }
        return discard_state(status.ToString(), std::move(header), has_committed_entry);
    }
    leveldb::Status discard_state(std::string reason, StateHeader header, bool has_committed_entry) {
        discard_reason_ = std::move(reason);
        leveldb::Status status = create_untrusted_marker();
        if (!status.ok()) return status;
        if (!has_committed_entry && repair_database().ok()) {
            status = open_database();
            if (status.ok()) status = read_state(header, has_committed_entry);
            if (status.IsIOError()) return status;
            sequence_ = std::max(header.sequence, watermark_->value());
        }
        loaded_state_.disk_id = generate_disk_id();
        if (has_committed_entry) loaded_state_.committed = std::move(header.state.committed);
        if (database_) status = write_state(loaded_state_, true);
        if (database_ && !is_damaged(status)) return status;
        status = recreate_database();
        return status.ok() ? write_state(loaded_state_, true) : status;
    }
    // What is repaired or begun anew may open well at any moment, and hold less than was acknowledged: a file
    // says so, by a name that lasts, until the whole state is written.
    leveldb::Status create_untrusted_marker() {
        leveldb::WritableFile* marker = nullptr;
        leveldb::Status status = env_.NewWritableFile(file_path("DISTRUST"), &marker);
        const std::unique_ptr<leveldb::WritableFile> owned_marker(marker);
        if (status.ok()) status = env_.SyncDirectory();
        is_untrusted_ = is_untrusted_ || status.ok();
        return status;
    }
    leveldb::Status remove_untrusted_marker() {
        leveldb::Status status = env_.RemoveFile(file_path("DISTRUST"));
        if (status.ok()) status = env_.SyncDirectory();
        is_untrusted_ = is_untrusted_ && !status.ok();
        return status;
    }
    leveldb::Status recreate_database() {    // distrusted by now
        database_.reset();
        std::error_code ignored_error;
        std::filesystem::remove_all(file_path("lost"), ignored_error);
        std::vector<std::string> file_names;
        leveldb::Status status = env_.GetChildren(folder_, &file_names);
        for (const std::string& file_name : file_names)
            if (status.ok() && file_name != "." && file_name != ".." && file_name != "MARK" &&
                file_name != "DISTRUST")
                status = env_.RemoveFile(file_path(file_name.c_str()));
        if (status.ok()) status = env_.SyncDirectory();
        return status.ok() ? open_database() : status;
    }

    static std::string text_key(std::uint64_t slot) { return "text" + std::to_string(slot); }
    StateHeader::TextReference add_text(const std::string& text, std::uint64_t slot, bool rewrite_all,
                                        leveldb::WriteBatch& batch) const {
        StateHeader::TextReference reference = make_text_reference(slot, text);
        if (reference.slot == 0) return reference;
        if (!rewrite_all && last_header_.committed_text.slot != 0 &&
            reference.has_same_content(last_header_.committed_text))
            return last_header_.committed_text;
        if (!rewrite_all && last_header_.accepted_text.slot != 0 &&
            reference.has_same_content(last_header_.accepted_text))
            return last_header_.accepted_text;
        batch.Put(text_key(reference.slot), text);
        return reference;
    }
    // `anew`: what stands on the disk is not known, and is all put in place.
    leveldb::Status write_state(const PersistentState& state, bool rewrite_all) {
        leveldb::WriteBatch batch;
        StateHeader header;
        header.sequence = sequence_ + 1;
        header.committed_text = add_text(state.committed.text, header.sequence * 2, rewrite_all, batch);
        if (state.accepted_entry) {
            header.accepted_text =
                add_text(state.accepted_entry->text, header.sequence * 2 + 1, rewrite_all, batch);
            if (header.accepted_text.slot == header.sequence * 2 + 1 &&
                header.accepted_text.has_same_content(header.committed_text)) {
                batch.Delete(text_key(header.accepted_text.slot));    // one text, one slot
                header.accepted_text = header.committed_text;
            }
        }
        const auto is_used = [&header](std::uint64_t slot) {
            return slot == header.committed_text.slot || slot == header.accepted_text.slot;
        };
        if (rewrite_all) {
            const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator({}));
            for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next())
                if (iterator->key() != kHeaderKey &&
                    iterator->key() != text_key(header.committed_text.slot) &&
                    iterator->key() != text_key(header.accepted_text.slot))
                    batch.Delete(iterator->key());
        } else {
            for (const std::uint64_t slot :
                 {last_header_.committed_text.slot, last_header_.accepted_text.slot})
                if (slot != 0 && !is_used(slot)) batch.Delete(text_key(slot));
        }
        header.state = {state.disk_id,
                        {state.committed.number, state.committed.voters, state.committed.version, {}},
                        state.promised_ballot,
                        state.accepted_ballot,
                        std::nullopt};
        header.state.committed.earlier_digests = state.committed.earlier_digests;
        if (state.accepted_entry) {
            header.state.accepted_entry = {state.accepted_entry->number,
                                           state.accepted_entry->voters,
                                           state.accepted_entry->version,
                                           {}};
            header.state.accepted_entry->earlier_digests = state.accepted_entry->earlier_digests;
        }
        batch.Put(kHeaderKey, encode(header));
        leveldb::WriteOptions write_options;
        write_options.sync = true;
        leveldb::Status status = database_->Write(write_options, &batch);
        if (!status.ok()) return status;
        sequence_ = header.sequence;
        last_header_ = std::move(header);
        watermark_->write_value(sequence_);
        return is_untrusted_ ? remove_untrusted_marker() : status;
    }
    // After an error the database takes no more writes until it is opened again.
    leveldb::Status reopen_database() {
        const leveldb::Status status = open_database();
        if (!is_damaged(status)) return status;
        const leveldb::Status marker_status = create_untrusted_marker();
        return marker_status.ok() ? recreate_database()
                                  : marker_status;    // all that counts is in memory, and is written next
    }

    void run_writer() {
        std::unique_lock lock(mutex_);
        auto retry_interval = kMinRetryInterval;
        bool recovering = false;
        PersistentState state;
        std::size_t token_count = 0;
        for (;;) {
            if (!recovering) work_available_.wait(lock, [this] { return stopping_ || pending_state_; });
            if (pending_state_) {
                state = std::move(*pending_state_);
                pending_state_.reset();
                token_count = pending_tokens_.size();
            } else if (stopping_) return;
            lock.unlock();
            leveldb::Status status;
            if (recovering) status = reopen_database();
            if (status.ok()) status = write_state(state, recovering);
            lock.lock();
            if (!status.ok()) {
                ++failed_writes_;
                recovering = true;
                if (stopping_) return;
                work_available_.wait_for(lock, retry_interval, [this] { return stopping_; });
                retry_interval = std::min<std::chrono::milliseconds>(retry_interval * 2, kMaxRetryInterval);
                continue;
            }
            recovering = false;
            retry_interval = kMinRetryInterval;
            state = {};
            const auto stored_end = pending_tokens_.begin() + static_cast<std::ptrdiff_t>(token_count);
            stored_tokens_.insert(stored_tokens_.end(), pending_tokens_.begin(), stored_end);
            pending_tokens_.erase(pending_tokens_.begin(), stored_end);
            if (!stored_callback_) continue;
            const std::function<void()> callback = stored_callback_;
            lock.unlock();
            callback();
            lock.lock();
        }
    }

    const std::string folder_;
    SyncingFileSystem& file_system_;
    DirectorySyncingEnv env_;
    NullLogger null_logger_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> database_;
    std::optional<WriteWatermark> watermark_;
    PersistentState loaded_state_;
    std::string discard_reason_;
    StateHeader last_header_;    // as it is on the disk, without texts
    std::uint64_t sequence_ = 0;
    bool is_untrusted_ = false;    // by a file that lasts

    std::thread writer_thread_;
    std::mutex mutex_;    // guards what follows
    std::condition_variable work_available_;
    std::optional<PersistentState> pending_state_;    // the newest only
    std::vector<std::uint64_t> pending_tokens_, stored_tokens_;
    std::function<void()> stored_callback_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> failed_writes_ = 0;
};

}    // namespace

boost::leaf::result<std::unique_ptr<StateStore>> StateStore::open(const std::string& folder, bool founder) {
    static SyncingFileSystem disk;
    return open(folder, founder, disk);
}

boost::leaf::result<std::unique_ptr<StateStore>> StateStore::open(const std::string& folder, bool founder,
                                                                  SyncingFileSystem& disk) {
    auto store = std::make_unique<LevelDbStateStore>(folder, disk);
    const leveldb::Status status = store->start(founder);
    if (!status.ok()) return boost::leaf::new_error(StorageError{status.ToString()});
    return std::unique_ptr<StateStore>(std::move(store));
}

std::unique_ptr<StateStore> StateStore::in_memory(bool founder) {
    return std::make_unique<InMemoryStateStore>(founder);
}

}    // namespace shaletray::consensus
