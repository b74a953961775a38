// The messages between neighbours as values. Pure.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::quota {

namespace leaf = boost::leaf;

constexpr std::size_t kMostEntries = 40;    // of a message, so that it stays below 1,200 bytes
constexpr double kParts = 64.0;             // amounts given are whole parts of a unit, exact on the wire

struct Entry {
    std::uint64_t tenant = 0;
    float free = 0.0F, gift = 0.0F, want = 0.0F;
    bool urgent = false, pressed = false;
    bool operator==(const Entry&) const = default;
};

struct Message {
    std::uint64_t life = 0, sequence = 0, stamp = 0;
    std::uint64_t echo_life = 0, echo = 0, held = 0;
    std::vector<Entry> entries;
    bool operator==(const Message&) const = default;
};

enum class BadMessage { Unreadable, TooLong, Amount };

std::string encode(const Message& message);
// Any bytes are safe. An amount that is no number, below nothing or absurd spoils the whole message.
leaf::result<Message> decode(std::string_view bytes);

// The tenant's name on the wire and in the tables.
std::uint64_t tenant_id(std::string_view name);

}    // namespace shaletray::quota
