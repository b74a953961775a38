// Timers in one binary heap, run by the reactor or, in tests, by virtual time. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/common/clock.h"

namespace shaletray {

// Tasks run once, ordered by deadline, and in order of their creation for equal deadlines.
class Timers {
public:
    using Id = std::uint64_t;    // 0 is never assigned
    using Task = std::function<void()>;

    Id schedule_at(TimePoint deadline, Task task);
    // Ignores an id that has run, was cancelled or is 0. Sets the id to 0.
    void cancel(Id& id);
    // Runs the tasks due by `now`; tasks that they add wait for the next call.
    void run_due(TimePoint now);
    // The earliest deadline, if there is a task.
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
