// Queue of commands between the connections that receive them and the event loop that executes them.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

#include "controller/api/control_command.h"

namespace shaletray::control_api {

struct PendingCommand {
    Command command;
    std::function<void(Response)> respond;    // called once, at any later time, on the event loop
    std::function<bool()> cancelled;          // whether the caller has disconnected
    TimePoint queued_at{};
};

// Bounded priority queue: first departures of servers, then other calls of servers and reads, then new
// configurations; first in, first out within each priority.
class CommandQueue {
public:
    explicit CommandQueue(std::size_t max_per_priority = 4096) : max_per_priority_(max_per_priority) {}
    // Returns false and leaves `pending` unchanged if the queue of its priority is full.
    bool push(PendingCommand&& pending);
    std::optional<PendingCommand> pop();
    std::size_t size() const;

private:
    enum Priority : std::size_t { Departure, Regular, Configuration, kPriorityCount };
    static Priority priority_of(const Command& command);

    std::size_t max_per_priority_;
    std::array<std::deque<PendingCommand>, kPriorityCount> pending_;
};

}    // namespace shaletray::control_api
