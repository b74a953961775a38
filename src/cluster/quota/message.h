// The messages between neighbours as values, and their encoding. Pure.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::quota {

namespace leaf = boost::leaf;

// Keeps a message below 1,200 bytes, so that it fits a datagram.
constexpr std::size_t kMaxEntries = 40;
// Transferred amounts are whole fractions of a unit, which a float has exactly.
constexpr double kFractionsPerUnit = 64.0;

// What a message says of one tenant's bucket. Amounts are in units.
struct Entry {
    std::uint64_t tenant = 0;       // tenant_id() of its name
    float available = 0.0F;         // the sender's units less the requests that wait for them
    float transfer = 0.0F;          // moved to the receiver with this message
    float max_transfer = 0.0F;      // the most units that the receiver may transfer to the sender
    bool urgent = false;            // requests wait for units
    bool under_pressure = false;    // more was requested of late than the sender had
    bool operator==(const Entry&) const = default;
};

// Times are in microseconds of the sender's clock, those that are echoed of the receiver's.
struct Message {
    std::uint64_t incarnation = 0;    // the sender's
    std::uint64_t sequence = 0;       // of its messages to all neighbours
    std::uint64_t timestamp = 0;
    std::uint64_t echoed_incarnation = 0;    // the receiver's; 0: the sender has received nothing of late
    std::uint64_t echoed_timestamp = 0;      // of the last message received from the receiver
    std::uint64_t echo_delay = 0;            // from receiving that message to sending this one
    std::vector<Entry> entries;
    bool operator==(const Message&) const = default;
};

// Errors of decode(), besides runtime::MalformedMessage.
enum class DecodeError {
    TooLarge,
    InvalidAmount,    // not finite, negative where it may not be, or absurdly large
};

std::string encode(const Message& message);
// Any bytes are safe. One invalid amount makes the whole message invalid.
leaf::result<Message> decode(std::string_view bytes);

// A tenant's number in messages and tables: the hash of its name.
std::uint64_t tenant_id(std::string_view name);

}    // namespace shaletray::quota
