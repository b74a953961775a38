#include "core/timers.h"

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
    const Id newest = last_;
    while (!heap_.empty() && heap_.top().when <= now && heap_.top().id <= newest) {
        const Id id = heap_.top().id;
        heap_.pop();
        const auto it = tasks_.find(id);
        if (it == tasks_.end()) continue;
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
