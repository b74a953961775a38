// The Redis protocol RESP2, by hiredis: serializes commands and parses replies. Independent of sockets, as
// hiredis's asynchronous connection would own the socket, which the reactor has to own.
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

// A parsed reply.
struct RespReply {
    enum class Kind { Nil, Text, Status, Error, Integer, List };
    Kind kind = Kind::Nil;
    std::string text;    // Text, Status, Error
    std::int64_t integer = 0;
    std::vector<RespReply> items;    // List
};

// Thrown for bytes that are not RESP, after which nothing can be parsed.
class RespProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// A command as an array of bulk strings.
std::string serialize_command(const std::vector<std::string>& arguments);

// Parses replies from a stream of bytes, or in a server commands, which are lists.
class RespReader {
public:
    // Bytes. Bounds the memory that a peer can cause to be used; no legitimate reply is longer.
    static constexpr std::size_t kMaxReplySize = 16 * 1024 * 1024;

    RespReader();
    void feed(std::string_view bytes);
    // Empty until a complete reply has arrived. Throws RespProtocolError.
    std::optional<RespReply> next_reply();

private:
    struct ReaderDeleter {
        void operator()(redisReader* reader) const;
    };
    std::unique_ptr<redisReader, ReaderDeleter> reader_;
    std::size_t pending_bytes_ = 0;    // bytes since the last complete reply
};

}    // namespace shaletray::shared_counter
