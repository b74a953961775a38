// Persists the plan table: an append-only file with one line of JSON per change, written before the change
// takes effect. Used on the reactor's thread; a background thread syncs the file.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "balancer/usage_log/file_system.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray {

// Holds a lock on the file, so that one process at a time writes it.
class PlanTableFile {
public:
    // The result of reading the file.
    struct LoadResult {
        std::size_t change_count = 0;
        bool is_torn = false;         // a kill truncated the last line: it had no effect and was removed
        std::string damage_reason;    // why the rest cannot be read, if damaged files are served
    };

    // Reads the file into `table`; a missing file is empty. Throws std::runtime_error if another process has
    // it open, if it cannot be read or written, and, unless `serve_damaged`, if a line is damaged.
    PlanTableFile(std::string path, plans::PlanTable& table, bool serve_damaged,
                  usage_log::FileSystem& files = usage_log::real_file_system());
    ~PlanTableFile();
    PlanTableFile(const PlanTableFile&) = delete;
    PlanTableFile& operator=(const PlanTableFile&) = delete;

    // Appends a line. It survives a kill of the process from the return of this function on, and a crash of
    // the machine from the next sync on. Throws std::runtime_error, and leaves no part of the line, if that
    // fails.
    void append_change(const plans::PlanChange& change);
    const LoadResult& load_result() const { return load_result_; }

private:
    void run_sync();

    std::string path_;
    usage_log::FileSystem& file_system_;
    std::unique_ptr<usage_log::File> file_;
    std::size_t size_ = 0;
    LoadResult load_result_;
    std::mutex mutex_;
    std::condition_variable wake_condition_;
    bool has_unsynced_ = false, is_stopping_ = false;
    std::thread thread_;    // syncs, so that no request waits for the disk
};

}    // namespace shaletray
