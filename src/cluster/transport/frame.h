// A letter's bytes. What is read may come from anyone: damaged bytes are an error, never more.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "cluster/transport/connection_manager.h"

namespace shaletray::transport {

constexpr std::uint16_t kProtocolVersion = 1;
constexpr std::size_t kMaxSenderBytes = 64;          // bytes of an address
constexpr std::size_t kMaxEnvelopeOverhead = 256;    // bytes of an envelope besides the letter's own
constexpr std::size_t kFrameHeaderBytes = 4;         // bytes of a frame's length, little-endian
constexpr std::size_t kMaxDatagramBytes = 60000;     // bytes

enum class FrameError { Malformed, UnsupportedVersion, UnknownKind, InvalidSender };

std::string write_datagram(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload);
// A datagram's bytes behind their length.
std::string write_frame(Kind kind, std::string_view sender, std::uint64_t incarnation,
                        std::string_view payload);
// Errors: Spoilt.
boost::leaf::result<Message> read_message(std::string_view bytes);

// The length of the frame that begins `bytes`, without its head; 0 while the head is not there whole.
std::size_t frame_length(std::string_view bytes);

}    // namespace shaletray::transport
