#include "cluster/transport/send_queue.h"

#include <algorithm>
#include <utility>

namespace shaletray::transport {

void Outbox::drop_first() {
    bytes_ -= waiting_.front().bytes.size();
    waiting_.pop_front();
}

std::size_t Outbox::push(std::string frame, TimePoint now) {
    std::size_t dropped = 0;
    for (; !waiting_.empty() && bytes() + frame.size() > most_; ++dropped) drop_first();
    bytes_ += frame.size();
    waiting_.push_back({std::move(frame), now});
    return dropped;
}

std::size_t Outbox::expire(TimePoint since) {
    std::size_t dropped = 0;
    for (; !waiting_.empty() && waiting_.front().since < since; ++dropped) drop_first();
    return dropped;
}

std::string Outbox::take(std::size_t most) {
    std::string out = std::move(waiting_.front().bytes);
    bytes_ -= out.size();
    waiting_.pop_front();
    taken_ = 1;
    while (!waiting_.empty() && out.size() + waiting_.front().bytes.size() <= most) {
        out += waiting_.front().bytes;
        drop_first();
        ++taken_;
    }
    taken_bytes_ = out.size();
    return out;
}

std::size_t Outbox::lost() {
    taken_bytes_ = 0;
    return std::exchange(taken_, 0);
}

Duration Backoff::next() {
    const auto less = std::uniform_int_distribution<Duration::rep>(0, wait_.count() / 4)(random_);
    const Duration wait = wait_ - Duration(less);
    wait_ = std::min(wait_ * 2, kLast);
    return std::max(wait, kFirst * 3 / 4);
}

}    // namespace shaletray::transport
