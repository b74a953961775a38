// A state store on disk.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "cluster/consensus/state_database.h"
#include "cluster/consensus/state_store.h"

namespace shaletray::consensus {

// Stores the state in a LevelDB database, written by a thread of the store.
class LevelDbStateStore : public StateStore {
public:
    // The file system must outlive the store.
    LevelDbStateStore(std::string folder, SyncingFileSystem& file_system)
        : database_(std::move(folder), file_system) {}
    // Waits for a write in progress, and performs a pending one unless writes are failing.
    ~LevelDbStateStore() override;

    // Loads the state and starts the writer thread. Must be called once, before any other function.
    leveldb::Status start(bool founder);

    const PersistentState& loaded_state() const override { return database_.loaded_state(); }
    void save(Actions::StateWrite write) override;
    std::vector<std::uint64_t> take_stored_tokens() override;
    void set_stored_callback(std::function<void()> callback) override;
    std::string discard_reason() const override { return database_.discard_reason(); }
    std::uint64_t failed_writes() const override { return failed_writes_; }

private:
    // The write that the writer thread is performing.
    struct WriterProgress {
        PersistentState state;
        std::size_t token_count = 0;    // number of pending_tokens_ that the state covers
        bool recovering = false;        // the last attempt failed
        std::chrono::milliseconds retry_interval{};
    };

    void run_writer();
    // Waits for a state to write; returns false when the store is stopping.
    bool take_pending_state(std::unique_lock<std::mutex>& lock, WriterProgress& progress);
    bool write_state(const WriterProgress& progress);
    void finish_write(std::unique_lock<std::mutex>& lock, WriterProgress& progress);
    // Returns false when the store is stopping.
    bool wait_to_retry(std::unique_lock<std::mutex>& lock, WriterProgress& progress);

    StateDatabase database_;    // used only by the writer thread once that has started
    std::thread writer_thread_;
    std::mutex mutex_;    // guards the members below except failed_writes_
    std::condition_variable work_available_;
    std::optional<PersistentState> pending_state_;    // only the newest
    std::vector<std::uint64_t> pending_tokens_, stored_tokens_;
    std::function<void()> stored_callback_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> failed_writes_ = 0;
};

}    // namespace shaletray::consensus
