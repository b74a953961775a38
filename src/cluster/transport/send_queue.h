// A bounded queue of frames for one peer.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "base/common/clock.h"

namespace shaletray::transport {

// A FIFO queue of frames, bounded in bytes and, by expire(), in age. Frames are taken in batches. The bytes
// of a batch count until it is marked as written or discarded, which must happen before the next batch.
class SendQueue {
public:
    explicit SendQueue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Adds a frame and returns the number of older frames dropped for it. The newest frame is always kept, so
    // that a single frame may exceed the limit.
    std::size_t push(std::string frame, TimePoint now);
    // Drops the frames that were pushed before `cutoff` and returns their number.
    std::size_t expire(TimePoint cutoff);
    // Takes the first frame and as many of the following ones as fit into `max_bytes` in total. The queue
    // must not be empty.
    std::string take_batch(std::size_t max_bytes);
    void mark_written() { batch_bytes_ = batch_frames_ = 0; }
    // When the oldest frame that is not written yet was pushed. There must be one.
    TimePoint oldest_push() const {
        return batch_frames_ > 0 ? batch_pushed_at_ : pending_.front().queued_at;
    }
    // Discards a batch that was not written completely and returns the number of its frames.
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
    TimePoint batch_pushed_at_{};    // of its first frame
};

}    // namespace shaletray::transport
