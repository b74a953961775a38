// A datagram of the convoy, as bytes and as a structure. Bytes of any kind are survived.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/membership/membership.h"

namespace shaletray::membership {

enum class PacketKind : std::uint8_t {
    Ping,
    Ack,            // to a Ping; with `about`: a third one answered
    PingRequest,    // asks that `about` be pinged
    Gossip,         // news; not answered
    SyncRequest,    // for members after `after`, in those parts that differ
    SyncPage        // the answer
};

struct Entry {
    MemberInfo info;
    State state = State::Alive;    // Gone: it said goodbye
    std::uint32_t version = 0;
    bool brief = false;      // names, places and the role are left out
    bool unheard = false;    // Suspected for so long that it is Gone for the sender
};

struct Packet {
    PacketKind kind = PacketKind::Ping;
    bool wants_info = false, joined = false, from_controller = false, last_page = false, request_more = false,
         verify_suspicions = false;
    std::uint16_t member_count = 0;
    std::uint32_t sequence_number = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    std::uint8_t heartbeat = 0;
    std::uint64_t digest = 0;
    std::string target, after_address, up_to_address;
    std::vector<Entry> entries;
    std::vector<std::uint8_t> ordered_heartbeats;
    std::vector<std::pair<std::uint32_t, std::uint8_t>> hashed_heartbeats;    // hash, beat
    std::vector<std::uint64_t> digest_buckets;
};

constexpr std::size_t kMaxBuckets = 128;
constexpr std::size_t kChecksumBytes = 4;    // before the packed Packet, a sum of it

struct MalformedPacket {
    std::string reason;
};

// About what an entry adds to a packet, in bytes; rather too much.
std::size_t entry_size(const Entry& entry);
void write_checksum(std::string& bytes);    // writes the sum into the first bytes
std::string encode(const Packet& packet);
// Leaves out entries from the end until the bytes are no more than `longest`.
std::string encode_fitting(Packet& packet, std::size_t max_bytes);
// Errors: BadPacket. Entries of roles and states that are not known here are left out.
boost::leaf::result<Packet> decode(std::string_view bytes);

}    // namespace shaletray::membership
