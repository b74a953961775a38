#include "cluster/transport/send_queue.h"

#include <utility>

namespace shaletray::transport {

void SendQueue::drop_first() {
    pending_bytes_ -= pending_.front().bytes.size();
    pending_.pop_front();
}

std::size_t SendQueue::push(std::string frame, TimePoint now) {
    std::size_t dropped = 0;
    for (; !pending_.empty() && total_bytes() + frame.size() > max_bytes_; ++dropped) drop_first();
    pending_bytes_ += frame.size();
    pending_.push_back({std::move(frame), now});
    return dropped;
}

std::size_t SendQueue::expire(TimePoint cutoff) {
    std::size_t dropped = 0;
    for (; !pending_.empty() && pending_.front().queued_at < cutoff; ++dropped) drop_first();
    return dropped;
}

std::string SendQueue::take_batch(std::size_t max_bytes) {
    std::string batch = std::move(pending_.front().bytes);
    batch_pushed_at_ = pending_.front().queued_at;
    pending_bytes_ -= batch.size();
    pending_.pop_front();
    batch_frames_ = 1;
    while (!pending_.empty() && batch.size() + pending_.front().bytes.size() <= max_bytes) {
        batch += pending_.front().bytes;
        drop_first();
        ++batch_frames_;
    }
    batch_bytes_ = batch.size();
    return batch;
}

std::size_t SendQueue::discard_batch() {
    batch_bytes_ = 0;
    return std::exchange(batch_frames_, 0);
}

}    // namespace shaletray::transport
