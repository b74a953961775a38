// Where the plan book lasts: one line of JSON for each change, written before the change counts.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "balancer/usage_log/file_system.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray {

class PlanTableFile {
public:
    struct Loaded {
        std::size_t change_count = 0;
        bool is_torn = false;    // the last line was cut short by a kill: it had not counted, and is gone
        std::string
            damage_reason;    // what stands in the way of the rest, where the operator lets that be served
    };

    // Reads it into the book; a file that is not there is an empty one. Throws std::runtime_error where
    // another process has it, where it cannot be read or written, and, unless `serve_damaged`, where a line
    // in it is spoilt.
    PlanTableFile(std::string path, plans::PlanTable& book, bool serve_damaged,
                  usage_log::FileSystem& files = usage_log::real_file_system());
    ~PlanTableFile();
    PlanTableFile(const PlanTableFile&) = delete;
    PlanTableFile& operator=(const PlanTableFile&) = delete;

    // Once this returns the line survives a kill of the process, and soon after that the loss of the machine.
    // Throws std::runtime_error, and then nothing of it stays.
    void append_change(const plans::PlanChange& change);
    const Loaded& load_result() const { return load_result_; }

private:
    void run_sync();

    std::string path_;
    usage_log::FileSystem& file_system_;
    std::unique_ptr<usage_log::File> file_;
    std::size_t size_ = 0;
    Loaded load_result_;
    std::mutex mutex_;
    std::condition_variable wake_condition_;
    bool has_unsynced_ = false, is_stopping_ = false;
    std::thread thread_;    // waits for the disk, so that no request does
};

}    // namespace shaletray
