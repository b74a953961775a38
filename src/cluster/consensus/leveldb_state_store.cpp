#include "cluster/consensus/leveldb_state_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace shaletray::consensus {
namespace {

using namespace std::chrono_literals;

// After a failed write, retries start soon, as a full or hanging disk may recover, and back off to one a
// second.
constexpr std::chrono::milliseconds kMinRetryInterval = 100ms;
constexpr std::chrono::milliseconds kMaxRetryInterval = 1000ms;

}    // namespace

LevelDbStateStore::~LevelDbStateStore() {
    if (!writer_thread_.joinable()) return;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    work_available_.notify_all();
    writer_thread_.join();
}

leveldb::Status LevelDbStateStore::start(bool founder) {
    const leveldb::Status status = database_.load(founder);
    if (status.ok()) writer_thread_ = std::thread([this] { run_writer(); });
    return status;
}

void LevelDbStateStore::save(Actions::StateWrite write) {
    {
        const std::lock_guard lock(mutex_);
        pending_tokens_.push_back(write.token);
        pending_state_ = std::move(write.state);
    }
    work_available_.notify_one();
}

std::vector<std::uint64_t> LevelDbStateStore::take_stored_tokens() {
    const std::lock_guard lock(mutex_);
    return std::exchange(stored_tokens_, {});
}

void LevelDbStateStore::set_stored_callback(std::function<void()> callback) {
    const std::lock_guard lock(mutex_);
    stored_callback_ = std::move(callback);
}

void LevelDbStateStore::run_writer() {
    std::unique_lock lock(mutex_);
    WriterProgress progress;
    progress.retry_interval = kMinRetryInterval;
    while (take_pending_state(lock, progress)) {
        lock.unlock();
        const bool written = write_state(progress);
        lock.lock();
        if (written) finish_write(lock, progress);
        else if (!wait_to_retry(lock, progress)) return;
    }
}

bool LevelDbStateStore::take_pending_state(std::unique_lock<std::mutex>& lock, WriterProgress& progress) {
    if (!progress.recovering) work_available_.wait(lock, [this] { return stopping_ || pending_state_; });
    if (!pending_state_) return !stopping_;
    progress.state = std::move(*pending_state_);
    pending_state_.reset();
    progress.token_count = pending_tokens_.size();
    return true;
}

bool LevelDbStateStore::write_state(const WriterProgress& progress) {
    if (progress.recovering && !database_.reopen().ok()) return false;
    return database_.write(progress.state).ok();
}

void LevelDbStateStore::finish_write(std::unique_lock<std::mutex>& lock, WriterProgress& progress) {
    progress.recovering = false;
    progress.retry_interval = kMinRetryInterval;
    progress.state = {};
    const auto stored_end = pending_tokens_.begin() + static_cast<std::ptrdiff_t>(progress.token_count);
    stored_tokens_.insert(stored_tokens_.end(), pending_tokens_.begin(), stored_end);
    pending_tokens_.erase(pending_tokens_.begin(), stored_end);
    if (!stored_callback_) return;
    const std::function<void()> callback = stored_callback_;
    lock.unlock();
    callback();
    lock.lock();
}

bool LevelDbStateStore::wait_to_retry(std::unique_lock<std::mutex>& lock, WriterProgress& progress) {
    ++failed_writes_;
    progress.recovering = true;
    if (stopping_) return false;
    work_available_.wait_for(lock, progress.retry_interval, [this] { return stopping_; });
    progress.retry_interval = std::min(progress.retry_interval * 2, kMaxRetryInterval);
    return true;
}

}    // namespace shaletray::consensus
