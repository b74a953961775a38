#include "decision/peer_message.h"

#include <algorithm>
#include <cmath>

namespace shaletray::decision {
namespace {

constexpr std::uint8_t kVersion = 3;
constexpr std::uint8_t kHasRights = 1, kHasIntroduction = 2;    // flags of an entry
constexpr std::uint64_t kLargestNumber = 1u << 20;              // of a gateway or plan
constexpr double kLargestSteps = 1e12;

void put_varint(std::vector<std::uint8_t>& out, std::uint64_t value) {
    while (value >= 0x80) {
        out.push_back(static_cast<std::uint8_t>(value | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<std::uint8_t>(value));
}

void put_signed(std::vector<std::uint8_t>& out, std::int64_t value) {
    put_varint(out, (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63));
}

// Decodes numbers in order. After a missing or malformed one, failed() stays true.
class Reader {
public:
    explicit Reader(const std::vector<std::uint8_t>& bytes) : bytes_(bytes) {}

    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            const std::uint8_t byte = next();
            if (shift == 63 && byte > 1) failed_ = true;
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) return value;
        }
        failed_ = true;
        return 0;
    }
    std::uint8_t next() {
        if (at_ >= bytes_.size()) {
            failed_ = true;
            return 0;
        }
        return bytes_[at_++];
    }
    double amount() {    // zigzag encoded, so that small negative amounts are short
        const std::uint64_t zigzag = varint();
        return static_cast<double>(static_cast<std::int64_t>(zigzag >> 1) ^
                                   -static_cast<std::int64_t>(zigzag & 1));
    }
    bool done() const { return at_ == bytes_.size(); }
    bool failed() const { return failed_; }

private:
    const std::vector<std::uint8_t>& bytes_;
    std::size_t at_ = 0;
    bool failed_ = false;
};

std::int64_t to_steps(double units) {
    return static_cast<std::int64_t>(
        std::floor(std::clamp(units * kPeerUnitSteps, -kLargestSteps, kLargestSteps)));
}

}    // namespace

double peer_amount(double units) { return static_cast<double>(to_steps(units)) / kPeerUnitSteps; }

PeerMessageWriter::PeerMessageWriter(const PeerHeader& header) {
    bytes_.reserve(kPeerMessageLimit);
    bytes_.push_back(kVersion);
    put_varint(bytes_, header.incarnation);
    put_varint(bytes_, header.sequence);
    put_varint(bytes_, header.stamp_ms);
    put_varint(bytes_, header.echo_incarnation);
    put_varint(bytes_, header.echo_stamp_ms);
}

bool PeerMessageWriter::add(const PeerEntry& entry) {
    const std::size_t before = bytes_.size();
    const std::int64_t rights = std::max<std::int64_t>(0, to_steps(entry.rights));
    bytes_.push_back(static_cast<std::uint8_t>((rights > 0 ? kHasRights : 0) |
                                               (entry.introduction ? kHasIntroduction : 0)));
    put_varint(bytes_, static_cast<std::uint64_t>(entry.customer));    // below 2^33 in practice
    put_signed(bytes_, to_steps(entry.free));
    put_signed(bytes_, to_steps(entry.passed));
    if (rights > 0) put_varint(bytes_, static_cast<std::uint64_t>(rights));
    if (entry.introduction) {
        for (const int number :
             {entry.introduction->plan, entry.introduction->first_gateway, entry.introduction->width}) {
            put_varint(bytes_, static_cast<std::uint64_t>(std::max(0, number)));
        }
    }
    if (bytes_.size() > kPeerMessageLimit) {
        bytes_.resize(before);
        return false;
    }
    ++entries_;
    return true;
}

std::optional<PeerMessage> parse_peer_message(const std::vector<std::uint8_t>& bytes) {
    if (bytes.empty() || bytes.size() > kPeerMessageLimit || bytes.front() != kVersion) return std::nullopt;
    Reader reader(bytes);
    reader.next();
    PeerMessage message;
    message.header.incarnation = reader.varint();
    message.header.sequence = reader.varint();
    message.header.stamp_ms = reader.varint();
    message.header.echo_incarnation = reader.varint();
    message.header.echo_stamp_ms = reader.varint();
    while (!reader.failed() && !reader.done()) {
        const std::uint8_t flags = reader.next();
        if ((flags & ~(kHasRights | kHasIntroduction)) != 0) return std::nullopt;
        const std::uint64_t customer = reader.varint();
        const double free = reader.amount(), passed = reader.amount();
        const double rights = (flags & kHasRights) != 0 ? static_cast<double>(reader.varint()) : 0.0;
        if (std::max({std::abs(free), std::abs(passed), rights}) > kLargestSteps) return std::nullopt;
        PeerEntry entry{static_cast<CustomerId>(customer), free / kPeerUnitSteps, passed / kPeerUnitSteps,
                        rights / kPeerUnitSteps, std::nullopt};
        if ((flags & kHasIntroduction) != 0) {
            const std::uint64_t plan = reader.varint(), first = reader.varint(), width = reader.varint();
            if (std::max({plan, first, width}) > kLargestNumber) return std::nullopt;
            entry.introduction = {static_cast<int>(plan), static_cast<int>(first), static_cast<int>(width)};
        }
        message.entries.push_back(entry);
    }
    if (reader.failed()) return std::nullopt;
    return message;
}

}    // namespace shaletray::decision
