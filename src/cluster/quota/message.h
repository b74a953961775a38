// The balancing messages between gateways, and their encoding. Pure.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::quota {

namespace leaf = boost::leaf;

// Maximum number of entries per message. Keeps a message below 1,200 bytes, so that it fits into a datagram.
constexpr std::size_t kMaxEntries = 40;
// Transferred amounts are multiples of 1/64 unit, which a float represents exactly.
constexpr double kFractionsPerUnit = 64.0;

// The state of one tenant's bucket at the sender. Amounts are in units.
struct Entry {
    std::uint64_t tenant = 0;       // tenant_id() of its name
    float available = 0.0F;         // the sender's units minus the requests queued for them
    float transfer = 0.0F;          // moved to the receiver with this message
    float max_transfer = 0.0F;      // maximum units that the receiver may transfer to the sender
    bool urgent = false;            // requests are queued for units
    bool under_pressure = false;    // more was requested recently than the sender had
    bool operator==(const Entry&) const = default;
};

// A balancing message. Times are in microseconds of the sender's clock, echoed ones of the receiver's.
struct Message {
    std::uint64_t incarnation = 0;    // the sender's
    std::uint64_t sequence = 0;       // counts its messages to all neighbours
    std::uint64_t timestamp = 0;
    std::uint64_t echoed_incarnation = 0;    // the receiver's; 0: the sender has received nothing recently
    std::uint64_t echoed_timestamp = 0;      // of the last message received from the receiver
    std::uint64_t echo_delay = 0;            // from receiving that message to sending this one
    std::vector<Entry> entries;
    bool operator==(const Message&) const = default;
};

// Errors of decode(), besides runtime::MalformedMessage.
enum class DecodeError {
    TooLarge,
    InvalidAmount,    // not finite, negative where that is not allowed, or implausibly large
};

std::string encode(const Message& message);
// Safe for arbitrary input. One invalid amount makes the whole message invalid.
leaf::result<Message> decode(std::string_view bytes);

// Returns a tenant's id in messages and tables: the hash of its name.
std::uint64_t tenant_id(std::string_view name);

}    // namespace shaletray::quota
