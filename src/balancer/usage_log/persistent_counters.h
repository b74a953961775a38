// Counters by key, updated in place in a mapped file, so that they survive a kill of the process. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "balancer/usage_log/file_system.h"

namespace shaletray::usage_log {

// Locks its file, so that only one process at a time uses it.
class PersistentCounters {
public:
    static constexpr std::size_t kSlots = 4096;    // maximum number of keys

    // Throws FileError, or std::runtime_error if another process uses the file or it holds no counters.
    explicit PersistentCounters(std::string path, FileSystem& file_system = real_file_system());

    // The values read at construction, by key.
    const std::map<std::uint64_t, std::int64_t>& initial_values() const { return initial_values_; }
    // False if there is no free slot for another key.
    bool set_value(std::uint64_t key, std::int64_t value);
    void remove_key(std::uint64_t key);

private:
    struct Slot {
        std::uint64_t key;
        std::int64_t value;
    };
    Slot* slots() const;

    std::unique_ptr<File> file_;
    std::unique_ptr<Mapping> mapping_;
    std::map<std::uint64_t, std::int64_t> initial_values_;
    std::map<std::uint64_t, std::size_t> slots_by_key_;
};

}    // namespace shaletray::usage_log
