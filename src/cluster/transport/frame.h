// A letter's bytes. What is read may come from anyone: damaged bytes are an error, never more.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "cluster/transport/connection_manager.h"

namespace shaletray::transport {

constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kLongestFrom = 64;           // bytes of an address
constexpr std::size_t kMostAround = 256;           // bytes of an envelope besides the letter's own
constexpr std::size_t kFrameHead = 4;              // bytes of a frame's length, little-endian
constexpr std::size_t kLongestDatagram = 60000;    // bytes

enum class Spoilt { Form, Version, Kind, Sender };

std::string write_datagram(Kind kind, std::string_view from, std::uint64_t life, std::string_view bytes);
// A datagram's bytes behind their length.
std::string write_frame(Kind kind, std::string_view from, std::uint64_t life, std::string_view bytes);
// Errors: Spoilt.
boost::leaf::result<Letter> read_letter(std::string_view envelope);

// The length of the frame that begins `bytes`, without its head; 0 while the head is not there whole.
std::size_t frame_length(std::string_view bytes);

}    // namespace shaletray::transport
