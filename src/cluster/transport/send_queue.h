// Frames that wait for one peer.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "base/common/clock.h"

namespace shaletray::transport {

// Frames in the order in which they were pushed, bounded in bytes and, by expire(), in age. A batch of them
// is taken at a time; its bytes count until it was written or discarded, which comes before the next batch.
class SendQueue {
public:
    explicit SendQueue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Returns how many older frames were dropped to make room. The newest one is always kept, so that a
    // single frame may exceed the bound.
    std::size_t push(std::string frame, TimePoint now);
    // Drops the frames that were pushed before `cutoff`; returns how many.
    std::size_t expire(TimePoint cutoff);
    // Takes one frame, and those behind it while all together have at most `max_bytes`. Only while the queue
    // is not empty.
    std::string take_batch(std::size_t max_bytes);
    void mark_written() { batch_bytes_ = batch_frames_ = 0; }
    // The batch was not written completely; returns how many frames it had.
    std::size_t discard_batch();

    bool empty() const { return pending_.empty(); }
    std::size_t total_bytes() const { return pending_bytes_ + batch_bytes_; }
    std::size_t batch_frames() const { return batch_frames_; }

private:
    struct Frame {
        std::string bytes;
        TimePoint queued_at;
    };
    void drop_first();

    std::size_t max_bytes_;
    std::deque<Frame> pending_;
    std::size_t pending_bytes_ = 0, batch_bytes_ = 0, batch_frames_ = 0;
};

}    // namespace shaletray::transport
