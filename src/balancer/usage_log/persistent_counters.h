// A few figures by number that survive a kill: sums that are raised in place, in memory that is a file's.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "balancer/usage_log/file_system.h"

namespace shaletray::usage_log {

class PersistentCounters {
public:
    static constexpr std::size_t kSlots = 4096;

    // Throws FileError, or std::runtime_error where another process has it or it is something else.
    explicit PersistentCounters(std::string path, FileSystem& file_system = real_file_system());

    // As they were read at the start, by key.
    const std::map<std::uint64_t, std::int64_t>& initial_values() const { return initial_values_; }
    // False where there is no room for another key.
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
