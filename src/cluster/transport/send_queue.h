// What waits for one peer: frames in order, of bounded bytes and, while the peer is not reached, of bounded
// age. Pure.
#pragma once

#include <deque>
#include <random>
#include <string>

#include "base/common/clock.h"

namespace shaletray::transport {

class Outbox {
public:
    explicit Outbox(std::size_t most_bytes) : most_(most_bytes) {}

    // Returns how many older frames were dropped to make room. The newest always stays, so one frame may be
    // longer than the bound.
    std::size_t push(std::string frame, TimePoint now);
    // Drops what came before `since`; returns how many.
    std::size_t expire(TimePoint since);
    // Whole frames, in order: more than one only up to `most` bytes. They count until they are written or
    // lost, which is before the next are taken. Only while something waits.
    std::string take(std::size_t most);
    void written() { taken_bytes_ = taken_ = 0; }
    std::size_t lost();    // returns how many frames were

    bool empty() const { return waiting_.empty(); }
    std::size_t bytes() const { return bytes_ + taken_bytes_; }
    std::size_t taken() const { return taken_; }    // frames

private:
    struct Frame {
        std::string bytes;
        TimePoint since;
    };
    void drop_first();

    std::size_t most_;
    std::deque<Frame> waiting_;
    std::size_t bytes_ = 0, taken_bytes_ = 0, taken_ = 0;
};

// How long to wait before the next dial of a peer that was not reached.
class Backoff {
public:
    static constexpr Duration kFirst = std::chrono::milliseconds(200),
                              kLast = std::chrono::milliseconds(1000);
    explicit Backoff(std::uint32_t seed) : random_(seed) {}

    Duration next();    // 200 ms to 1 s, up to a quarter less by chance, so that not all come at once
    void reset() { wait_ = kFirst; }

private:
    std::minstd_rand random_;
    Duration wait_ = kFirst;
};

}    // namespace shaletray::transport
