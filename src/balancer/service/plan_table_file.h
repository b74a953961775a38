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

class BookFile {
public:
    struct Loaded {
        std::size_t changes = 0;
        bool torn = false;     // the last line was cut short by a kill: it had not counted, and is gone
        std::string damage;    // what stands in the way of the rest, where the operator lets that be served
    };

    // Reads it into the book; a file that is not there is an empty one. Throws std::runtime_error where
    // another process has it, where it cannot be read or written, and, unless `serve_damaged`, where a line
    // in it is spoilt.
    BookFile(std::string path, plans::Book& book, bool serve_damaged,
             usage_log::Files& files = usage_log::real_files());
    ~BookFile();
    BookFile(const BookFile&) = delete;
    BookFile& operator=(const BookFile&) = delete;

    // Once this returns the line survives a kill of the process, and soon after that the loss of the machine.
    // Throws std::runtime_error, and then nothing of it stays.
    void append(const plans::Change& change);
    const Loaded& loaded() const { return loaded_; }

private:
    void sync();

    std::string path_;
    usage_log::Files& files_;
    std::unique_ptr<usage_log::File> file_;
    std::size_t size_ = 0;
    Loaded loaded_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool dirty_ = false, ending_ = false;
    std::thread thread_;    // waits for the disk, so that no request does
};

}    // namespace shaletray
