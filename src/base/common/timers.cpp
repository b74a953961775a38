#include "base/common/timers.h"

namespace shaletray {

Timers::Id Timers::at(TimePoint when, Task task) {
    heap_.push({when, ++last_});
    tasks_.emplace(last_, std::move(task));
    return last_;
}

void Timers::cancel(Id& id) {
    tasks_.erase(id);
    id = 0;
}

void Timers::run_due(TimePoint now) {
    // Taken out first: what a task adds must neither run in this call nor stand before what was due already.
    std::vector<Id> due;
    for (; !heap_.empty() && heap_.top().when <= now; heap_.pop()) due.push_back(heap_.top().id);
    for (const Id id : due) {
        const auto it = tasks_.find(id);
        if (it == tasks_.end()) continue;    // cancelled, perhaps by a task before it
        const Task task = std::move(it->second);
        tasks_.erase(it);
        task();
    }
}

std::optional<TimePoint> Timers::next() {
    while (!heap_.empty() && !tasks_.contains(heap_.top().id)) heap_.pop();
    if (heap_.empty()) return std::nullopt;
    return heap_.top().when;
}

}    // namespace shaletray
