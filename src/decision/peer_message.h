// Encoding of the messages between gateways. quota_balancing.cpp decides on their contents.
//
// A message is a version byte, the header and any number of entries. Numbers are unsigned varints; amounts
// are whole steps of 1 / kPeerUnitSteps units, zigzag encoded if they may be negative.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/control.h"

namespace shaletray::decision {

constexpr std::size_t kPeerMessageLimit = 256;    // bytes
constexpr double kPeerUnitSteps = 128.0;          // steps per unit of quota

// The plan and the gateway set of a customer, for a receiver that may not know it.
struct PeerIntroduction {
    int plan = 0, first_gateway = 0, width = 1;
};

// The balancing state of one customer.
struct PeerEntry {
    CustomerId customer{};
    double free = 0.0;    // free units of the sender; negative: debt
    // Net units that the sender has transferred over this link since its start. A sum, so that the next
    // message makes up for a lost one; may be negative.
    double passed = 0.0;
    double rights = 0.0;    // hard limit units transferred by this message; not negative
    std::optional<PeerIntroduction> introduction;
};

// Identifies a message, and echoes the last one that the sender received from the receiver.
struct PeerHeader {
    std::uint64_t incarnation = 0;         // of the sender; grows with each start
    std::uint64_t sequence = 0;            // of the messages to this receiver
    std::uint64_t stamp_ms = 0;            // time since the start of the sender
    std::uint64_t echo_incarnation = 0;    // the receiver's; 0: no message received yet
    std::uint64_t echo_stamp_ms = 0;       // the receiver's last stamp_ms
};

struct PeerMessage {
    PeerHeader header;
    std::vector<PeerEntry> entries;
};

// The amount rounded down as the receiver will decode it, so that a sender debits exactly what arrives.
double peer_amount(double units);

// Encodes one message of at most kPeerMessageLimit bytes.
class PeerMessageWriter {
public:
    explicit PeerMessageWriter(const PeerHeader& header);
    // Returns false, and writes nothing, if the entry does not fit.
    bool add(const PeerEntry& entry);
    std::size_t entries() const { return entries_; }
    std::vector<std::uint8_t> take() { return std::move(bytes_); }

private:
    std::vector<std::uint8_t> bytes_;
    std::size_t entries_ = 0;
};

// Decodes a message; nullopt unless the bytes are exactly one well-formed message of this version.
std::optional<PeerMessage> parse_peer_message(const std::vector<std::uint8_t>& bytes);

}    // namespace shaletray::decision
