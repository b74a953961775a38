#include "cluster/consensus/reply_queue.h"

#include <algorithm>

namespace shaletray::consensus {
namespace {

// Bounds the memory use while a disk hangs. A dropped reply is like a lost message: the request is sent
// again.
constexpr std::size_t kMaxDelayedReplies = 512;

}    // namespace

void ReplyQueue::add(std::string recipient, Message message) {
    unbound_.push_back({0, std::move(recipient), std::move(message)});
}

std::uint64_t ReplyQueue::issue_token() { return ++issued_token_; }

void ReplyQueue::on_stored(std::uint64_t token) {
    stored_token_ = std::max(stored_token_, std::min(token, issued_token_));
}

std::vector<ReplyQueue::Reply> ReplyQueue::take_sendable() {
    for (Reply& reply : unbound_) {
        reply.token = issued_token_;
        delayed_.push_back(std::move(reply));
    }
    unbound_.clear();
    while (delayed_.size() > kMaxDelayedReplies) delayed_.pop_front();
    std::vector<Reply> sendable;
    while (!delayed_.empty() && delayed_.front().token <= stored_token_) {
        sendable.push_back(std::move(delayed_.front()));
        delayed_.pop_front();
    }
    return sendable;
}

}    // namespace shaletray::consensus
