// The messages between neighbours as values. Pure.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::quota {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxEntries = 40;       // of a message, so that it stays below 1,200 bytes
constexpr double kFractionsPerUnit = 64.0;    // amounts given are whole parts of a unit, exact on the wire

struct Entry {
    std::uint64_t tenant = 0;
    float available = 0.0F, transfer = 0.0F, max_transfer = 0.0F;
    bool urgent = false, under_pressure = false;
    bool operator==(const Entry&) const = default;
};

struct Message {
    std::uint64_t incarnation = 0, sequence = 0, timestamp = 0;
    std::uint64_t echoed_incarnation = 0, echoed_timestamp = 0, echo_delay = 0;
    std::vector<Entry> entries;
    bool operator==(const Message&) const = default;
};

enum class DecodeError { Malformed, TooLarge, InvalidAmount };

std::string encode(const Message& message);
// Any bytes are safe. An amount that is no number, below nothing or absurd spoils the whole message.
leaf::result<Message> decode(std::string_view bytes);

// The tenant's name on the wire and in the tables.
std::uint64_t tenant_id(std::string_view name);

}    // namespace shaletray::quota
