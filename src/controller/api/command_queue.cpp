#include "controller/api/command_queue.h"

#include <utility>

namespace shaletray::control_api {

CommandQueue::Priority CommandQueue::priority_of(const Command& command) {
    if (std::holds_alternative<Deregister>(command)) return Departure;
    if (std::holds_alternative<ReadConfiguration>(command)) return Regular;
    if (std::holds_alternative<ReplaceConfiguration>(command)) return Configuration;
    const registry::Server& server = std::get<HeartbeatCommand>(command).heartbeat.server;
    return server.state == registry::State::Draining ? Departure : Regular;
}

bool CommandQueue::push(PendingCommand&& pending) {
    std::deque<PendingCommand>& queue = pending_[priority_of(pending.command)];
    if (queue.size() >= max_per_priority_) return false;
    queue.push_back(std::move(pending));
    return true;
}

std::optional<PendingCommand> CommandQueue::pop() {
    for (std::deque<PendingCommand>& queue : pending_) {
        if (queue.empty()) continue;
        std::optional<PendingCommand> command(std::move(queue.front()));
        queue.pop_front();
        return command;
    }
    return std::nullopt;
}

std::size_t CommandQueue::size() const {
    std::size_t count = 0;
    for (const std::deque<PendingCommand>& queue : pending_) count += queue.size();
    return count;
}

}    // namespace shaletray::control_api
