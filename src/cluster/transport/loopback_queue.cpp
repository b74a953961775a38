#include "cluster/transport/loopback_queue.h"

#include <utility>

namespace shaletray::transport {

LoopbackQueue::LoopbackQueue(Reactor& reactor, std::size_t max_bytes, ConnectionCounters& counters,
                             std::function<void(Message&&)> on_message)
    : reactor_(reactor), max_bytes_(max_bytes), counters_(counters), on_message_(std::move(on_message)) {}

LoopbackQueue::~LoopbackQueue() { reactor_.cancel_timer(timer_); }

void LoopbackQueue::send(Message message) {
    while (!pending_.empty() && pending_bytes_ + message.payload.size() > max_bytes_) {
        pending_bytes_ -= pending_.front().payload.size();
        pending_.pop_front();
        ++counters_.dropped;
    }
    pending_bytes_ += message.payload.size();
    pending_.push_back(std::move(message));
    if (timer_ == 0) timer_ = reactor_.schedule_after(Duration(0), [this] { deliver_pending(); });
}

// Messages that are sent during delivery wait for the next iteration.
void LoopbackQueue::deliver_pending() {
    timer_ = 0;
    pending_bytes_ = 0;
    for (Message& message : std::exchange(pending_, {})) on_message_(std::move(message));
}

}    // namespace shaletray::transport
