// The calls of servers and operators as commands: what a call asks for, decoded once, to be run elsewhere.
// Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/registry/service_registry.h"

namespace shaletray::control_api {

struct HeartbeatCommand {    // POST /members/ID/heartbeat
    registry::Heartbeat heartbeat;
};
struct Deregister {    // POST /members/ID/deregister
    std::string id;
};
struct ReplaceConfiguration {    // POST /configuration/replace; the text is not looked into yet
    std::string text;
};
struct ReadConfiguration {};    // GET /configuration/read
using Command = std::variant<HeartbeatCommand, Deregister, ReplaceConfiguration, ReadConfiguration>;

struct CommandError {
    int status = 400;
    std::string message;           // one line
    std::string allowed_method;    // with 405: the method that the path takes
};

constexpr std::size_t kMaxHeartbeatSize = 4 * 1024, kMaxConfigurationSize = 64 * 1024 * 1024;

// Errors: Refused: 400 a body or an id that makes no sense, 404 an unknown path, 405, 413.
boost::leaf::result<Command> decode_command(std::string_view method, std::string_view target,
                                            std::string_view body);
// What a body may bring at most, known by the head alone. What this allows too much, decode refuses.
std::size_t max_body_size(std::string_view method, std::string_view target);

// Commands between the connections and the loop that runs them, by urgency: servers that leave, then other
// calls of servers and reads, then configurations; within one kind as they came.
class CommandQueue {
public:
    struct Response {
        int status = 200;
        std::string body;
        std::string headers;
    };
    struct PendingCommand {
        Command command;
        std::function<void(Response)> respond;    // once, at any time, from the loop
        std::function<bool()> cancelled;          // nobody waits for it any more
        TimePoint queued_at{};
    };
    explicit CommandQueue(std::size_t max_per_priority = 4096) : max_per_priority_(max_per_priority) {}
    // False where it is full: nothing was taken, and `order` is as it was.
    bool push(PendingCommand&& pending);
    std::optional<PendingCommand> pop();
    std::size_t size() const;

private:
    static constexpr std::size_t kPriorities = 3;
    std::size_t max_per_priority_;    // of each kind
    std::deque<PendingCommand> pending_[kPriorities];
};

}    // namespace shaletray::control_api
