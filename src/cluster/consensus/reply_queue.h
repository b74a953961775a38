// Delays replies until the state that they depend on is on disk.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// Releases each reply, in order, once the write of the state that it depends on has been stored.
class ReplyQueue {
public:
    struct Reply {
        std::uint64_t token = 0;    // of the write that must be on disk first
        std::string recipient;
        Message message;
    };

    // Adds a reply. It depends on the last write issued before the next call of take_sendable().
    void add(std::string recipient, Message message);
    // Returns the token for a write of the current state, greater than all earlier tokens.
    std::uint64_t issue_token();
    // Reports that the write with this token and all earlier ones are on disk.
    void on_stored(std::uint64_t token);
    // Assigns the replies added so far to the last issued write, and returns all replies whose write is on
    // disk.
    std::vector<Reply> take_sendable();

    std::uint64_t unstored_writes() const { return issued_token_ - stored_token_; }
    std::uint64_t issued_token() const { return issued_token_; }
    const std::deque<Reply>& delayed() const { return delayed_; }

private:
    std::uint64_t issued_token_ = 0;
    std::uint64_t stored_token_ = 0;
    std::vector<Reply> unbound_;    // added since the last take_sendable()
    std::deque<Reply> delayed_;     // ordered by token
};

}    // namespace shaletray::consensus
