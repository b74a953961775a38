// The bytes of messages: an envelope is a whole datagram, or a frame of a session behind its length. What is
// read may come from anyone: malformed bytes are an error, and never more.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/transport/message.h"

namespace shaletray::transport {

constexpr std::uint16_t kProtocolVersion = 1;
constexpr std::size_t kMaxSenderBytes = 64;          // of an address
constexpr std::size_t kMaxEnvelopeOverhead = 256;    // bytes of an envelope besides its payload
constexpr std::size_t kFrameHeaderBytes = 4;         // a frame's length, little-endian
constexpr std::size_t kMaxDatagramBytes = 60000;     // below UDP's limit of 65,507

enum class FrameError { Malformed, UnsupportedVersion, UnknownKind, InvalidSender };

// An envelope as a datagram carries it.
std::string write_datagram(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload);
// An envelope behind its length, as a session carries it.
std::string write_frame(Kind kind, std::string_view sender, std::uint64_t incarnation,
                        std::string_view payload);
// Reads an envelope, without a frame's header. Errors: FrameError.
boost::leaf::result<Message> read_message(std::string_view bytes);

// The length of the frame that `bytes` begin with, without its header; 0 while the header is incomplete.
std::size_t frame_length(std::string_view bytes);

}    // namespace shaletray::transport
