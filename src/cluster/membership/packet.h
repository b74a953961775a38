// Codec for the datagrams of the membership protocol. Decoding is safe for arbitrary bytes.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/membership/membership.h"

namespace shaletray::membership {

enum class PacketKind : std::uint8_t {
    Ping,
    Ack,            // answers a Ping; with `target` set, reports that a relayed ping was answered
    PingRequest,    // asks the receiver to ping `target` on behalf of the sender
    Gossip,         // membership changes; not answered
    SyncRequest,    // requests the members after `after_address` in the buckets that differ
    SyncPage        // part of the reply to a SyncRequest
};

// How much of a member's information an entry carries.
enum class EntryForm : std::uint8_t {
    Brief,    // address, incarnation, version, state, quota divisor and disk id
    Full      // all of MemberInfo
};

// One member, as the sender of a packet knows it.
struct Entry {
    MemberInfo info;
    State state = State::Alive;    // Dead: the member announced its departure
    std::uint32_t version = 0;     // of `info` within its incarnation
    bool brief = false;            // role, name, location, control address and eligibility are omitted
    bool unheard = false;          // the sender presumes the member dead for its silence
};

// The heartbeat of a member that is identified by MemberTable::identity_hash.
struct HashedHeartbeat {
    std::uint32_t hash = 0;
    std::uint8_t heartbeat = 0;
};

// One datagram. membership.capnp documents the fields.
struct Packet {
    PacketKind kind = PacketKind::Ping;
    bool wants_info = false;
    bool joined = false;
    bool from_controller = false;
    bool last_page = false;
    bool request_more = false;
    bool verify_suspicions = false;
    std::uint16_t member_count = 0;
    std::uint32_t sequence_number = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    std::uint8_t heartbeat = 0;
    std::uint64_t digest = 0;
    std::string target;
    std::string after_address;
    std::string up_to_address;
    std::vector<Entry> entries;
    std::vector<std::uint8_t> ordered_heartbeats;
    std::vector<HashedHeartbeat> hashed_heartbeats;
    std::vector<std::uint64_t> digest_buckets;
};

// Maximum number of digest buckets in a SyncRequest; the number of buckets is a power of two.
constexpr std::size_t kMaxBuckets = 128;
// Size of the checksum in front of the packed Packet.
constexpr std::size_t kChecksumBytes = 4;

// Error returned by decode().
struct MalformedPacket {
    std::string reason;
};

// Upper estimate of the bytes that an entry adds to an encoded packet.
std::size_t entry_size(const Entry& entry);
// Computes the checksum of all but the first kChecksumBytes and writes it into these.
void write_checksum(std::string& bytes);
std::string encode(const Packet& packet);
// Removes entries from the end of the packet until its encoding has at most max_bytes, or no entry is left.
std::string encode_fitting(Packet& packet, std::size_t max_bytes);
// Error: MalformedPacket. Entries with an unknown role or state are skipped.
boost::leaf::result<Packet> decode(std::string_view bytes);

}    // namespace shaletray::membership
