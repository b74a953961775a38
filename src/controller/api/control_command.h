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

struct Beat {    // POST /members/ID/heartbeat
    registry::Beat beat;
};
struct Deregister {    // POST /members/ID/deregister
    std::string id;
};
struct Replace {    // POST /configuration/replace; the text is not looked into yet
    std::string text;
};
struct Read {};    // GET /configuration/read
using Command = std::variant<Beat, Deregister, Replace, Read>;

struct Refused {
    int status = 400;
    std::string why;      // one line
    std::string allow;    // with 405: the method that the path takes
};

constexpr std::size_t kLongestBeat = 4 * 1024, kLongestText = 64 * 1024 * 1024;

// Errors: Refused: 400 a body or an id that makes no sense, 404 an unknown path, 405, 413.
boost::leaf::result<Command> decode(std::string_view method, std::string_view target, std::string_view body);
// What a body may bring at most, known by the head alone. What this allows too much, decode refuses.
std::size_t longest_body(std::string_view method, std::string_view target);

// Commands between the connections and the loop that runs them, by urgency: servers that leave, then other
// calls of servers and reads, then configurations; within one kind as they came.
class Queue {
public:
    struct Answer {
        int status = 200;
        std::string body;
        std::string headers;
    };
    struct Order {
        Command command;
        std::function<void(Answer)> answer;    // once, at any time, from the loop
        std::function<bool()> gone;            // nobody waits for it any more
        TimePoint since{};
    };
    explicit Queue(std::size_t most = 4096) : most_(most) {}
    // False where it is full: nothing was taken, and `order` is as it was.
    bool push(Order&& order);
    std::optional<Order> pop();
    std::size_t size() const;

private:
    static constexpr std::size_t kKinds = 3;
    std::size_t most_;    // of each kind
    std::deque<Order> waiting_[kKinds];
};

}    // namespace shaletray::control_api
