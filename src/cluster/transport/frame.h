// Encoding of messages. An envelope is sent as a datagram, or in a session as a frame that starts with its
// length. Input is untrusted: malformed bytes result in an error.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/transport/message.h"

namespace shaletray::transport {

constexpr std::uint16_t kProtocolVersion = 1;
constexpr std::size_t kMaxSenderBytes = 64;          // of the sender's address
constexpr std::size_t kMaxEnvelopeOverhead = 256;    // bytes of an envelope besides its payload
constexpr std::size_t kFrameHeaderBytes = 4;         // the length of the envelope, little-endian
constexpr std::size_t kMaxDatagramBytes = 60000;     // below UDP's limit of 65,507

// Why an envelope is rejected.
enum class FrameError { Malformed, UnsupportedVersion, UnknownKind, InvalidSender };

// Encodes an envelope as a datagram.
std::string write_datagram(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload);
// Encodes an envelope as a frame of a session: its length, then the envelope.
std::string write_frame(Kind kind, std::string_view sender, std::uint64_t incarnation,
                        std::string_view payload);
// Decodes an envelope, without the header of a frame. Errors: FrameError.
boost::leaf::result<Message> read_message(std::string_view bytes);

// Returns the length of the frame at the start of `bytes`, without its header; 0 while the header is
// incomplete.
std::size_t frame_length(std::string_view bytes);

}    // namespace shaletray::transport
