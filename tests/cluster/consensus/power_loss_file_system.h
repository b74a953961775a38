// A simulated file system that loses power, hangs or fails, for tests of the state store.
#pragma once

#include <criterion/criterion.h>
#include <leveldb/env.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus::test {

namespace fs = std::filesystem;

// A temporary folder, removed by the destructor.
struct TemporaryFolder {
    fs::path path;
    TemporaryFolder() {
        std::string name = (fs::temp_directory_path() / "consensusXXXXXX").string();
        cr_assert(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~TemporaryFolder() { fs::remove_all(path); }
    std::string at(const char* name) const { return (path / name).string(); }
};

// Records syncs instead of performing them. In a loss of power, the data written to a file since its last
// sync may be kept, lost or torn, and each creation, renaming or removal of a name since the last sync of its
// folder is kept or lost independently. Each write, sync and change of a name is a step: after `steps_left`
// steps, all further ones fail. The folder sync after `syncs_before_failure` others fails, and later ones
// succeed.
class PowerLossFileSystem : public SyncingFileSystem {
public:
    explicit PowerLossFileSystem(std::uint64_t seed) : random_(seed) {}
    std::uint64_t steps_left = ~0ull, syncs_before_failure = ~0ull, failed_syncs = 0, folder_syncs = 0;

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** out) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = take_step(); !status.ok()) return status;
        changes_.push_back({Change::Made, {}, name, move_to_replaced_files(name)});
        leveldb::WritableFile* wrapped_file = nullptr;
        if (leveldb::Status status = target()->NewWritableFile(name, &wrapped_file); !status.ok())
            return status;
        files_[name] = {};
        *out = new File(*this, name, wrapped_file);
        return {};
    }
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = take_step(); !status.ok()) return status;
        changes_.push_back({Change::Renamed, from, to, move_to_replaced_files(to)});
        move(from, to);
        return {};
    }
    leveldb::Status RemoveFile(const std::string& name) override {
        const std::lock_guard lock(mutex_);
        if (leveldb::Status status = take_step(); !status.ok()) return status;
        if (!fs::exists(name)) return leveldb::Status::IOError(name, "no such file");
        changes_.push_back({Change::Removed, {}, name, move_to_replaced_files(name)});
        return {};
    }
    leveldb::Status SyncFolder(const std::string& folder) override {
        const std::lock_guard lock(mutex_);
        ++folder_syncs;
        return sync_folder(folder);
    }
    // Hang: calls do not return until the fault mode changes. Fail: calls fail.
    enum class FaultMode { None, Hang, Fail };
    void set_fault_mode(FaultMode mode) {
        const std::lock_guard lock(fault_mutex_);
        fails_ = mode == FaultMode::Fail;
        hangs_ = mode == FaultMode::Hang;
        fault_changed_.notify_all();
    }
    void wait_for_hanging_call() {
        std::unique_lock lock(fault_mutex_);
        fault_changed_.wait(lock, [this] { return hanging_calls_ > 0; });
    }
    // What happens to unsynced changes in a loss of power: each is kept or lost at random, or all are lost.
    enum class Unsynced { KeptAtRandom, Lost };
    void simulate_power_loss(Unsynced unsynced = Unsynced::KeptAtRandom) {
        // 0: all unsynced changes are lost; 1: none is; otherwise each at random
        const std::uint64_t outcome = unsynced == Unsynced::Lost ? 0 : random_() % 4;
        const auto lost = [&] { return outcome == 0 || (outcome != 1 && random_() % 2); };
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
            if (outcome == 0) fs::resize_file(name, std::min(file.synced, size));
            else if (file.synced == 0 && random_() % 2) fs::remove(name);
            else if (random_() % 2) fs::resize_file(name, std::min(keep, size));
            else {    // the unsynced data is replaced by zeros, up to a random position
                std::fstream stream(name, std::ios::in | std::ios::out | std::ios::binary);
                stream.seekp(static_cast<std::streamoff>(file.synced));
                stream << std::string(std::min(keep, size) - std::min(size, file.synced), '\0');
            }
        }
        files_.clear();
        changes_.clear();
        steps_left = syncs_before_failure = ~0ull;
    }

private:
    struct Sizes {
        std::uint64_t written = 0, synced = 0;
    };
    // A change of a name since the last sync of its folder.
    struct Change {
        enum Kind { Made, Renamed, Removed } kind;
        // before: where the file that had the name before is kept; empty: there was none
        std::string from, name, before;
    };
    class File : public leveldb::WritableFile {
    public:
        File(PowerLossFileSystem& disk, std::string name, leveldb::WritableFile* wrapped_file)
            : disk_(disk), name_(std::move(name)), file_(wrapped_file) {}
        leveldb::Status Append(const leveldb::Slice& data) override {
            const std::lock_guard lock(disk_.mutex_);
            leveldb::Status status = disk_.take_step();
            if (!status.ok()) return status;
            disk_.files_[name_].written += data.size();
            status = file_->Append(data);
            return status.ok() ? file_->Flush() : status;
        }
        leveldb::Status Close() override { return file_->Close(); }
        leveldb::Status Flush() override { return {}; }
        leveldb::Status Sync() override {
            const std::lock_guard lock(disk_.mutex_);
            leveldb::Status status;    // as LevelDB does, sync the folder before a MANIFEST
            if (fs::path(name_).filename().string().starts_with("MANIFEST"))
                status = disk_.sync_folder(fs::path(name_).parent_path().string());
            if (status.ok()) status = disk_.take_step();
            if (!status.ok()) return status;
            disk_.files_[name_].synced = disk_.files_[name_].written;
            return {};
        }

    private:
        PowerLossFileSystem& disk_;
        std::string name_;
        std::unique_ptr<leveldb::WritableFile> file_;
    };
    leveldb::Status take_step() {
        wait_while_hanging();
        if (fails_) return leveldb::Status::IOError("simulated disk failure");
        if (steps_left == 0) return leveldb::Status::IOError("simulated loss of power");
        --steps_left;
        return {};
    }
    leveldb::Status sync_folder(const std::string& folder) {
        if (leveldb::Status status = take_step(); !status.ok()) return status;
        if (syncs_before_failure-- == 0) {
            ++failed_syncs;
            return leveldb::Status::IOError("simulated failure of a folder sync");
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
    // Moves the file, if it exists, to the folder of replaced files; returns its new name, empty if none.
    std::string move_to_replaced_files(const std::string& name) {
        if (!fs::exists(name)) return {};
        const std::string kept_name = replaced_files_.at(std::to_string(++kept_files_).c_str());
        move(name, kept_name);
        return kept_name;
    }
    void wait_while_hanging() {
        std::unique_lock lock(fault_mutex_);
        ++hanging_calls_;
        fault_changed_.notify_all();
        fault_changed_.wait(lock, [this] { return !hangs_; });
        --hanging_calls_;
    }
    std::mutex fault_mutex_;
    std::condition_variable fault_changed_;
    bool hangs_ = false;
    int hanging_calls_ = 0;
    std::atomic<bool> fails_ = false;
    std::mutex mutex_;
    std::mt19937_64 random_;
    TemporaryFolder replaced_files_;    // keeps replaced and removed files until the change is durable
    std::uint64_t kept_files_ = 0;
    std::map<std::string, Sizes> files_;
    std::vector<Change> changes_;
};

}    // namespace shaletray::consensus::test
