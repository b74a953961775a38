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

    Id schedule_at(TimePoint deadline, Task task);
    // An id that is done, cancelled or 0 is ignored. The id is set to 0.
    void cancel(Id& id);
    // Runs what was due when it was called; what is added meanwhile waits for the next call.
    void run_due(TimePoint now);
    std::optional<TimePoint> next_deadline();
    std::size_t size() const { return tasks_.size(); }

private:
    struct ScheduledTask {
        TimePoint deadline;
        Id id;
        bool operator>(const ScheduledTask& other) const {
            return deadline != other.deadline ? deadline > other.deadline : id > other.id;
        }
    };
    std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>> deadlines_;
    std::unordered_map<Id, Task> tasks_;
    Id last_id_ = 0;
};

}    // namespace shaletray
