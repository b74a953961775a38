#include "base/common/timers.h"

namespace shaletray {

Timers::Id Timers::schedule_at(TimePoint deadline, Task task) {
    deadlines_.push({deadline, ++last_id_});
    tasks_.emplace(last_id_, std::move(task));
    return last_id_;
}

void Timers::cancel(Id& id) {
    tasks_.erase(id);
    id = 0;
}

void Timers::run_due(TimePoint now) {
    // Due tasks are collected first: a task added by one of them must neither run in this call nor precede
    // those that were due already.
    std::vector<Id> due_ids;
    for (; !deadlines_.empty() && deadlines_.top().deadline <= now; deadlines_.pop())
        due_ids.push_back(deadlines_.top().id);
    for (const Id id : due_ids) {
        const auto found = tasks_.find(id);
        if (found == tasks_.end()) continue;    // cancelled, perhaps by an earlier task
        const Task task = std::move(found->second);
        tasks_.erase(found);
        task();
    }
}

std::optional<TimePoint> Timers::next_deadline() {
    while (!deadlines_.empty() && !tasks_.contains(deadlines_.top().id)) deadlines_.pop();
    if (deadlines_.empty()) return std::nullopt;
    return deadlines_.top().deadline;
}

}    // namespace shaletray
