// What waits for one peer: frames in order, of bounded bytes and, while the peer is not reached, of bounded
// age. Pure.
#pragma once

#include <deque>
#include <random>
#include <string>

#include "base/common/clock.h"

namespace shaletray::transport {

class SendQueue {
public:
    explicit SendQueue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Returns how many older frames were dropped to make room. The newest always stays, so one frame may be
    // longer than the bound.
    std::size_t push(std::string frame, TimePoint now);
    // Drops what came before `since`; returns how many.
    std::size_t expire(TimePoint cutoff);
    // Whole frames, in order: more than one only up to `most` bytes. They count until they are written or
    // lost, which is before the next are taken. Only while something waits.
    std::string take_batch(std::size_t max_bytes);
    void mark_written() { batch_bytes_ = batch_frames_ = 0; }
    std::size_t discard_batch();    // returns how many frames were

    bool empty() const { return pending_.empty(); }
    std::size_t total_bytes() const { return pending_bytes_ + batch_bytes_; }
    std::size_t batch_frames() const { return batch_frames_; }    // frames

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

// How long to wait before the next dial of a peer that was not reached.
class Backoff {
public:
    static constexpr Duration kInitialDelay = std::chrono::milliseconds(200),
                              kMaxDelay = std::chrono::milliseconds(1000);
    explicit Backoff(std::uint32_t seed) : random_(seed) {}

    Duration next_delay();    // 200 ms to 1 s, up to a quarter less by chance, so that not all come at once
    void reset() { delay_ = kInitialDelay; }

private:
    std::minstd_rand random_;
    Duration delay_ = kInitialDelay;
};

}    // namespace shaletray::transport
