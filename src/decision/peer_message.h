// Byte layout of the messages between gateways. What goes in is decided in balancing.cpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/control.h"

namespace shaletray::decision {

constexpr std::size_t kPeerMessageLimit = 256;
constexpr double kPeerUnitSteps = 128.0;    // amounts travel in these parts of a unit

// A customer's set of gateways and plan, for a receiver that has not met it.
struct PeerIntroduction {
    int plan = 0, first_gateway = 0, width = 1;
};

struct PeerEntry {
    CustomerId customer{};
    double free = 0.0;    // may be below nothing
    double passed =
        0.0;    // net units that the sender passed on over this link since it began; of either sign
    double rights = 0.0;    // ceiling rights that come with this message; never below nothing
    std::optional<PeerIntroduction> introduction;
};

struct PeerHeader {
    std::uint64_t incarnation = 0;    // grows with every start of the sender
    std::uint64_t sequence = 0;
    std::uint64_t stamp_ms = 0;            // sender's age when it sent this
    std::uint64_t echo_incarnation = 0;    // the receiver's, as last heard; 0: never heard
    std::uint64_t echo_stamp_ms = 0;       // the receiver's last stamp heard
};

struct PeerMessage {
    PeerHeader header;
    std::vector<PeerEntry> entries;
};

// Amounts as the receiver will read them, so that a sender debits exactly what arrives.
double peer_amount(double units);

class PeerMessageWriter {
public:
    explicit PeerMessageWriter(const PeerHeader& header);
    // False, and nothing written, where the entry does not fit any more.
    bool add(const PeerEntry& entry);
    std::size_t entries() const { return entries_; }
    std::vector<std::uint8_t> take() { return std::move(bytes_); }

private:
    std::vector<std::uint8_t> bytes_;
    std::size_t entries_ = 0;
};

// Nothing where the bytes are not exactly one well-formed message of this version.
std::optional<PeerMessage> parse_peer_message(const std::vector<std::uint8_t>& bytes);

}    // namespace shaletray::decision
