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

enum class Kind : std::uint8_t {
    Ping,
    Answer,     // to a Ping; with `about`: a third one answered
    PingFor,    // asks that `about` be pinged
    Told,       // news; not answered
    Ask,        // for members after `after`, in those parts that differ
    Page        // the answer
};

struct Entry {
    Facts facts;
    State state = State::Alive;    // Gone: it said goodbye
    std::uint32_t version = 0;
    bool brief = false;      // names, places and the role are left out
    bool unheard = false;    // Suspected for so long that it is Gone for the sender
};

struct Packet {
    Kind kind = Kind::Ping;
    bool who = false, joined = false, lighthouse = false, last = false, more = false, check = false;
    std::uint16_t members = 0;
    std::uint32_t number = 0;
    std::uint64_t life = 0;
    std::uint32_t version = 0;
    std::uint8_t beat = 0;
    std::uint64_t digest = 0;
    std::string about, after, next;
    std::vector<Entry> entries;
    std::vector<std::uint8_t> row;
    std::vector<std::pair<std::uint32_t, std::uint8_t>> beats;    // hash, beat
    std::vector<std::uint64_t> buckets;
};

constexpr std::size_t kMostBuckets = 128;
constexpr std::size_t kSumBytes = 4;    // before the packed Packet, a sum of it

struct BadPacket {
    std::string what;
};

// About what an entry adds to a packet, in bytes; rather too much.
std::size_t entry_size(const Entry& entry);
void seal(std::string& bytes);    // writes the sum into the first bytes
std::string encode(const Packet& packet);
// Leaves out entries from the end until the bytes are no more than `longest`.
std::string encode_fitting(Packet& packet, std::size_t longest);
// Errors: BadPacket. Entries of roles and states that are not known here are left out.
boost::leaf::result<Packet> decode(std::string_view bytes);

}    // namespace shaletray::membership
