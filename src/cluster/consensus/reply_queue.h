// Replies that must not be sent before the state that they rest on is on disk.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// Delays each reply until the write that was issued last before it has been stored. Keeps their order.
class ReplyQueue {
public:
    struct Reply {
        std::uint64_t token = 0;    // of the write that must be on disk first
        std::string recipient;
        Message message;
    };

    // Adds a reply. It belongs to the next write that is issued before the next call of take_sendable(), if
    // any.
    void add(std::string recipient, Message message);
    // The token for a write of the present state, greater than all before.
    std::uint64_t issue_token();
    // Tells that the write with this token and all before it are on disk.
    void on_stored(std::uint64_t token);
    // Binds the replies added so far to the last write, and returns those whose write is on disk.
    std::vector<Reply> take_sendable();

    std::uint64_t unstored_writes() const { return issued_token_ - stored_token_; }
    std::uint64_t issued_token() const { return issued_token_; }
    const std::deque<Reply>& delayed() const { return delayed_; }

private:
    std::uint64_t issued_token_ = 0;
    std::uint64_t stored_token_ = 0;
    std::vector<Reply> unbound_;    // added since the last take_sendable()
    std::deque<Reply> delayed_;     // by ascending token
};

}    // namespace shaletray::consensus
