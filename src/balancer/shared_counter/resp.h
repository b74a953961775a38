// The Redis protocol, RESP2: commands as bytes and bytes as replies, both by hiredis. Knows no socket.
// hiredis's own asynchronous connection is not used: it would own a socket that the reactor has to own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

struct redisReader;

namespace shaletray::shared_counter {

struct RespReply {
    enum class Kind { Nil, Text, Status, Error, Integer, List };
    Kind kind = Kind::Nil;
    std::string text;    // Text, Status, Error
    std::int64_t integer = 0;
    std::vector<RespReply> items;    // List
};

// The bytes are no RESP: nothing that follows can be read.
class RespProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

std::string serialize_command(const std::vector<std::string>& words);

// Takes replies (or, for a server, commands, which have the form of a list) out of a stream of bytes.
class RespReader {
public:
    // What a peer may make us hold: a longer reply is none of ours.
    static constexpr std::size_t kMaxReplySize = 16 * 1024 * 1024;

    RespReader();
    void feed(std::string_view bytes);
    // Nothing until a whole one is there. Throws NotResp.
    std::optional<RespReply> next_reply();

private:
    struct Free {
        void operator()(redisReader* reader) const;
    };
    std::unique_ptr<redisReader, Free> reader_;
    std::size_t pending_bytes_ = 0;    // bytes since the last whole reply
};

}    // namespace shaletray::shared_counter
