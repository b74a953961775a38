// Everything that is due at a time, in one heap.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/common/clock.h"

namespace shaletray {

class Timers {
public:
    using Id = std::uint64_t;    // 0 is never given
    using Task = std::function<void()>;

    Id at(TimePoint when, Task task);
    // An id that is done, cancelled or 0 is ignored. The id is set to 0.
    void cancel(Id& id);
    // Runs what was due when it was called; what is added meanwhile waits for the next call.
    void run_due(TimePoint now);
    std::optional<TimePoint> next();
    std::size_t size() const { return tasks_.size(); }

private:
    struct Entry {
        TimePoint when;
        Id id;
        bool operator>(const Entry& other) const {
            return when != other.when ? when > other.when : id > other.id;
        }
    };
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap_;
    std::unordered_map<Id, Task> tasks_;
    Id last_ = 0;
};

}    // namespace shaletray
