#include "cluster/membership/packet.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>

#include "cluster/membership/membership.capnp.h"

namespace shaletray::membership {
namespace {

// Limits for received packets, far above what a member's datagram contains.
constexpr std::size_t kMaxPacketBytes = 16 * 1024;
constexpr std::size_t kMaxPacketWords = 32 * 1024;
constexpr std::size_t kMaxTextBytes = 128;
constexpr std::size_t kMaxEntries = 512;
constexpr std::size_t kMaxHeartbeats = 512;
constexpr int kMaxNesting = 6;
// Initial buffer sizes that suffice for a datagram, to avoid reallocations.
constexpr std::size_t kScratchWords = 1024;
constexpr std::size_t kExpectedBytes = 1500;

struct Ipv4 {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
};

std::string format_ipv4(const Ipv4& address) {
    std::string formatted;
    formatted.reserve(21);
    for (int shift = 24; shift >= 0; shift -= 8) {
        formatted += std::to_string((address.ip >> shift) & 0xff);
        formatted += shift == 0 ? ':' : '.';
    }
    return formatted + std::to_string(address.port);
}

// Returns the zero address unless the text is exactly what format_ipv4 returns for the parsed address, so
// that the text can be restored from it.
Ipv4 parse_ipv4(const std::string& address) {
    Ipv4 parsed;
    const char* position = address.data();
    const char* const end = position + address.size();
    for (int octet = 0; octet < 4; ++octet) {
        unsigned value = 0;
        const auto [next, error] = std::from_chars(position, end, value);
        if (error != std::errc() || value > 255 || next == end || *next != (octet < 3 ? '.' : ':')) return {};
        parsed.ip = (parsed.ip << 8) | value;
        position = next + 1;
    }
    const auto [next, error] = std::from_chars(position, end, parsed.port);
    if (error != std::errc() || next != end || parsed.ip == 0 || format_ipv4(parsed) != address) return {};
    return parsed;
}

std::string checked_text(capnp::Text::Reader text) {
    KJ_REQUIRE(text.size() <= kMaxTextBytes, "text field is too long");
    for (const char character : text)
        KJ_REQUIRE(static_cast<unsigned char>(character) >= 0x20, "text field contains control characters");
    return std::string(text.begin(), text.size());
}

// The distinct locations of a packet's entries, numbered from 1.
class LocationList {
public:
    explicit LocationList(const std::vector<Entry>& entries) {
        for (const Entry& entry : entries) {
            if (entry.brief) continue;
            const auto number = static_cast<std::uint16_t>(sources_.size() + 1);
            if (numbers_.emplace(key(entry.info), number).second) sources_.push_back(&entry.info);
        }
    }
    std::uint16_t number_of(const MemberInfo& info) const { return numbers_.at(key(info)); }
    void write(wire::Packet::Builder root) const {
        if (sources_.empty()) return;
        auto list = root.initLocations(static_cast<unsigned>(sources_.size()));
        for (unsigned i = 0; i < sources_.size(); ++i) {
            list[i].setZone(sources_[i]->zone);
            list[i].setRegion(sources_[i]->region);
        }
    }

private:
    static std::string key(const MemberInfo& info) { return info.zone + '\n' + info.region; }

    std::map<std::string, std::uint16_t> numbers_;
    std::vector<const MemberInfo*> sources_;
};

void write_entry(const Entry& entry, wire::Entry::Builder builder, const LocationList& locations) {
    const Ipv4 ipv4_address = parse_ipv4(entry.info.address);
    if (ipv4_address.ip != 0) {
        builder.setIp(ipv4_address.ip);
        builder.setPort(ipv4_address.port);
    } else {
        builder.setAddress(entry.info.address);
    }
    builder.setState(static_cast<std::uint8_t>(entry.state));
    builder.setIncarnation(entry.info.incarnation);
    builder.setVersion(entry.version);
    builder.setQuotaDivisor(entry.info.quota_divisor);
    builder.setDiskId(entry.info.disk_id);
    builder.setBrief(entry.brief);
    builder.setUnheard(entry.unheard);
    if (entry.brief) return;
    builder.setRole(static_cast<std::uint8_t>(entry.info.role));
    builder.setVoterEligible(entry.info.voter_eligible);
    builder.setLocation(locations.number_of(entry.info));
    if (!entry.info.name.empty()) builder.setName(entry.info.name);
    if (!entry.info.control_address.empty()) builder.setControlAddress(entry.info.control_address);
}

void write_header(const Packet& packet, wire::Packet::Builder root) {
    root.setKind(static_cast<std::uint8_t>(packet.kind));
    root.setWantsInfo(packet.wants_info);
    root.setJoined(packet.joined);
    root.setFromController(packet.from_controller);
    root.setLastPage(packet.last_page);
    root.setRequestMore(packet.request_more);
    root.setVerifySuspicions(packet.verify_suspicions);
    root.setMemberCount(packet.member_count);
    root.setSequenceNumber(packet.sequence_number);
    root.setIncarnation(packet.incarnation);
    root.setVersion(packet.version);
    root.setHeartbeat(packet.heartbeat);
    root.setDigest(packet.digest);
    if (!packet.target.empty()) root.setTarget(packet.target);
    if (!packet.after_address.empty()) root.setAfterAddress(packet.after_address);
    if (!packet.up_to_address.empty()) root.setUpToAddress(packet.up_to_address);
}

void write_entries(const Packet& packet, wire::Packet::Builder root) {
    if (packet.entries.empty()) return;
    const LocationList locations(packet.entries);
    locations.write(root);
    auto list = root.initEntries(static_cast<unsigned>(packet.entries.size()));
    for (unsigned i = 0; i < packet.entries.size(); ++i) write_entry(packet.entries[i], list[i], locations);
}

void write_heartbeats(const Packet& packet, wire::Packet::Builder root) {
    if (!packet.ordered_heartbeats.empty())
        root.setOrderedHeartbeats(
            kj::arrayPtr(packet.ordered_heartbeats.data(), packet.ordered_heartbeats.size()));
    if (packet.hashed_heartbeats.empty()) return;
    const auto count = static_cast<unsigned>(packet.hashed_heartbeats.size());
    auto hashes = root.initHeartbeatHashes(count);
    auto heartbeats = root.initHashedHeartbeats(count);
    for (unsigned i = 0; i < count; ++i) {
        hashes.set(i, packet.hashed_heartbeats[i].hash);
        heartbeats[i] = packet.hashed_heartbeats[i].heartbeat;
    }
}

void write_digest_buckets(const Packet& packet, wire::Packet::Builder root) {
    if (packet.digest_buckets.empty()) return;
    auto list = root.initDigestBuckets(static_cast<unsigned>(packet.digest_buckets.size()));
    for (unsigned i = 0; i < packet.digest_buckets.size(); ++i) list.set(i, packet.digest_buckets[i]);
}

std::string pack_with_checksum(capnp::MessageBuilder& message) {
    kj::VectorOutputStream stream(kExpectedBytes);
    const kj::byte checksum_space[kChecksumBytes] = {};
    stream.write(checksum_space, kChecksumBytes);
    capnp::writePackedMessage(stream, message);
    const auto array = stream.getArray();
    std::string bytes(array.asChars().begin(), array.size());
    write_checksum(bytes);
    return bytes;
}

Entry read_entry(wire::Entry::Reader reader, capnp::List<wire::Location>::Reader locations) {
    Entry entry;
    entry.info.address = reader.getIp() != 0 ? format_ipv4({reader.getIp(), reader.getPort()})
                                             : checked_text(reader.getAddress());
    KJ_REQUIRE(!entry.info.address.empty(), "entry has no address");
    entry.info.incarnation = reader.getIncarnation();
    entry.state = static_cast<State>(reader.getState());
    entry.version = reader.getVersion();
    entry.info.quota_divisor = reader.getQuotaDivisor();
    entry.info.disk_id = reader.getDiskId();
    entry.brief = reader.getBrief();
    entry.unheard = reader.getUnheard();
    if (entry.brief) return entry;
    entry.info.role = static_cast<Role>(reader.getRole());
    entry.info.voter_eligible = reader.getVoterEligible();
    entry.info.name = checked_text(reader.getName());
    entry.info.control_address = checked_text(reader.getControlAddress());
    if (reader.getLocation() != 0) {
        KJ_REQUIRE(reader.getLocation() <= locations.size(), "entry refers to a missing location");
        const auto location = locations[reader.getLocation() - 1u];
        entry.info.zone = checked_text(location.getZone());
        entry.info.region = checked_text(location.getRegion());
    }
    return entry;
}

void read_header(wire::Packet::Reader reader, Packet& packet) {
    KJ_REQUIRE(reader.getKind() <= static_cast<std::uint8_t>(PacketKind::SyncPage), "unknown packet kind");
    packet.kind = static_cast<PacketKind>(reader.getKind());
    packet.wants_info = reader.getWantsInfo();
    packet.joined = reader.getJoined();
    packet.from_controller = reader.getFromController();
    packet.last_page = reader.getLastPage();
    packet.request_more = reader.getRequestMore();
    packet.verify_suspicions = reader.getVerifySuspicions();
    packet.member_count = reader.getMemberCount();
    packet.sequence_number = reader.getSequenceNumber();
    packet.incarnation = reader.getIncarnation();
    packet.version = reader.getVersion();
    packet.heartbeat = reader.getHeartbeat();
    packet.digest = reader.getDigest();
    packet.target = checked_text(reader.getTarget());
    packet.after_address = checked_text(reader.getAfterAddress());
    packet.up_to_address = checked_text(reader.getUpToAddress());
}

// Rejects lists that are longer than any a member sends, and bucket counts that are not a power of two.
void check_list_sizes(wire::Packet::Reader reader) {
    const auto hash_count = reader.getHeartbeatHashes().size();
    const auto bucket_count = reader.getDigestBuckets().size();
    KJ_REQUIRE(reader.getEntries().size() <= kMaxEntries && hash_count <= kMaxHeartbeats &&
                   hash_count == reader.getHashedHeartbeats().size() &&
                   reader.getOrderedHeartbeats().size() <= kMaxHeartbeats && bucket_count <= kMaxBuckets &&
                   (bucket_count & (bucket_count - 1)) == 0,
               "list has an invalid size");
}

void read_entries(wire::Packet::Reader reader, Packet& packet) {
    const auto entries = reader.getEntries();
    const auto locations = reader.getLocations();
    packet.entries.reserve(entries.size());
    for (const auto entry : entries) {
        if (entry.getState() > static_cast<std::uint8_t>(State::Dead)) continue;
        if (entry.getRole() > static_cast<std::uint8_t>(Role::Controller)) continue;
        packet.entries.push_back(read_entry(entry, locations));
    }
}

void read_heartbeats(wire::Packet::Reader reader, Packet& packet) {
    const auto ordered = reader.getOrderedHeartbeats();
    packet.ordered_heartbeats.assign(ordered.begin(), ordered.end());
    const auto hashes = reader.getHeartbeatHashes();
    const auto heartbeats = reader.getHashedHeartbeats();
    for (unsigned i = 0; i < hashes.size(); ++i)
        packet.hashed_heartbeats.push_back({hashes[i], heartbeats[i]});
}

Packet read_packet(wire::Packet::Reader reader) {
    Packet packet;
    read_header(reader, packet);
    check_list_sizes(reader);
    read_entries(reader, packet);
    read_heartbeats(reader, packet);
    for (const auto bucket : reader.getDigestBuckets()) packet.digest_buckets.push_back(bucket);
    return packet;
}

bool has_valid_checksum(std::string_view bytes) {
    const std::string_view body = bytes.substr(kChecksumBytes);
    std::uint32_t checksum = XXH32(body.data(), body.size(), 0);
    for (std::size_t i = 0; i < kChecksumBytes; ++i, checksum >>= 8)
        if (static_cast<std::uint8_t>(bytes[i]) != (checksum & 0xff)) return false;
    return true;
}

}    // namespace

void write_checksum(std::string& bytes) {
    std::uint32_t checksum = XXH32(bytes.data() + kChecksumBytes, bytes.size() - kChecksumBytes, 0);
    for (std::size_t i = 0; i < kChecksumBytes; ++i, checksum >>= 8)
        bytes[i] = static_cast<char>(checksum & 0xff);
}

std::size_t entry_size(const Entry& entry) {
    if (entry.brief) return 40 + (entry.info.disk_id != 0 ? 9 : 0);
    return 60 + entry.info.name.size() +
           (entry.info.control_address.empty() ? 0 : 12 + entry.info.control_address.size()) +
           (entry.info.disk_id != 0 ? 9 : 0);
}

std::string encode(const Packet& packet) {
    capnp::word scratch[kScratchWords] = {};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, kScratchWords));
    auto root = message.initRoot<wire::Packet>();
    // These calls determine the order of the parts in the encoded message.
    write_header(packet, root);
    write_entries(packet, root);
    write_heartbeats(packet, root);
    write_digest_buckets(packet, root);
    return pack_with_checksum(message);
}

std::string encode_fitting(Packet& packet, std::size_t max_bytes) {
    for (;;) {
        std::string bytes = encode(packet);
        if (bytes.size() <= max_bytes || packet.entries.empty()) return bytes;
        packet.entries.resize(packet.entries.size() - std::max<std::size_t>(1, packet.entries.size() / 8));
    }
}

boost::leaf::result<Packet> decode(std::string_view bytes) {
    if (bytes.size() > kMaxPacketBytes) return boost::leaf::new_error(MalformedPacket{"packet is too large"});
    if (bytes.size() <= kChecksumBytes) return boost::leaf::new_error(MalformedPacket{"packet is too short"});
    if (!has_valid_checksum(bytes)) return boost::leaf::new_error(MalformedPacket{"checksum mismatch"});
    const std::string_view body = bytes.substr(kChecksumBytes);
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kMaxPacketWords;
        options.nestingLimit = kMaxNesting;
        capnp::PackedMessageReader message(stream, options);
        return read_packet(message.getRoot<wire::Packet>());
    } catch (const kj::Exception& exception) {
        return boost::leaf::new_error(MalformedPacket{std::string(exception.getDescription().cStr())});
    }
}

}    // namespace shaletray::membership
