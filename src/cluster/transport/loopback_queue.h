// A queue for messages of a process to itself.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>

#include "base/net/reactor.h"
#include "cluster/transport/limits.h"
#include "cluster/transport/message.h"

namespace shaletray::transport {

// Delivers messages to the sending process in a later iteration of the loop, so that a sender is never called
// back while it sends. Bounded like the queue to a peer: the oldest messages are dropped.
class LoopbackQueue {
public:
    LoopbackQueue(Reactor& reactor, std::size_t max_bytes, ConnectionCounters& counters,
                  std::function<void(Message&&)> on_message);
    ~LoopbackQueue();
    LoopbackQueue(const LoopbackQueue&) = delete;
    LoopbackQueue& operator=(const LoopbackQueue&) = delete;

    void send(Message message);

private:
    void deliver_pending();

    Reactor& reactor_;
    std::size_t max_bytes_;
    ConnectionCounters& counters_;
    std::function<void(Message&&)> on_message_;
    std::deque<Message> pending_;
    std::size_t pending_bytes_ = 0;
    Timers::Id timer_ = 0;
};

}    // namespace shaletray::transport
