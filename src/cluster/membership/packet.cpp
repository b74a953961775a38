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

constexpr std::size_t kMaxPacketBytes = 16 * 1024, kMaxPacketWords = 32 * 1024;
constexpr std::size_t kMaxTextBytes = 128, kMaxEntries = 512, kMaxHeartbeats = 512;

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

// Nothing where the text is not exactly what `text` makes of it.
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
    KJ_REQUIRE(text.size() <= kMaxTextBytes, "a text is too long");
    for (const char character : text)
        KJ_REQUIRE(static_cast<unsigned char>(character) >= 0x20, "a text has control bytes");
    return std::string(text.begin(), text.size());
}

void write_entry(const Entry& entry, wire::Entry::Builder builder,
                 const std::map<std::string, std::uint16_t>& locations) {
    const Ipv4 ipv4_address = parse_ipv4(entry.info.address);
    if (ipv4_address.ip != 0) {
        builder.setIp(ipv4_address.ip);
        builder.setPort(ipv4_address.port);
    } else {
        builder.setAddress(entry.info.address);
    }
    builder.setState(static_cast<std::uint8_t>(entry.state));
    builder.setLife(entry.info.incarnation);
    builder.setVersion(entry.version);
    builder.setCounts(entry.info.quota_divisor);
    builder.setDisk(entry.info.disk_id);
    builder.setBrief(entry.brief);
    builder.setUnheard(entry.unheard);
    if (entry.brief) return;
    builder.setRole(static_cast<std::uint8_t>(entry.info.role));
    builder.setQuorum(entry.info.voter_eligible);
    builder.setPlace(locations.at(entry.info.zone + '\n' + entry.info.region));
    if (!entry.info.name.empty()) builder.setName(entry.info.name);
    if (!entry.info.control_address.empty()) builder.setControl(entry.info.control_address);
}

Entry read(wire::Entry::Reader reader, capnp::List<wire::Place>::Reader locations) {
    Entry entry;
    entry.info.address = reader.getIp() != 0 ? format_ipv4({reader.getIp(), reader.getPort()})
                                             : checked_text(reader.getAddress());
    KJ_REQUIRE(!entry.info.address.empty(), "an entry without an address");
    entry.info.incarnation = reader.getLife();
    entry.state = static_cast<State>(reader.getState());
    entry.version = reader.getVersion();
    entry.info.quota_divisor = reader.getCounts();
    entry.info.disk_id = reader.getDisk();
    entry.brief = reader.getBrief();
    entry.unheard = reader.getUnheard();
    if (entry.brief) return entry;
    entry.info.role = static_cast<Role>(reader.getRole());
    entry.info.voter_eligible = reader.getQuorum();
    entry.info.name = checked_text(reader.getName());
    entry.info.control_address = checked_text(reader.getControl());
    if (reader.getPlace() != 0) {
        KJ_REQUIRE(reader.getPlace() <= locations.size(), "an entry's place is missing");
        const auto location = locations[reader.getPlace() - 1u];
        entry.info.zone = checked_text(location.getZone());
        entry.info.region = checked_text(location.getRegion());
    }
    return entry;
}

Packet read(wire::Packet::Reader reader) {
    Packet packet;
    KJ_REQUIRE(reader.getKind() <= static_cast<std::uint8_t>(PacketKind::SyncPage), "an unknown kind");
    packet.kind = static_cast<PacketKind>(reader.getKind());
    packet.wants_info = reader.getWho();
    packet.joined = reader.getJoined();
    packet.from_controller = reader.getLighthouse();
    packet.last_page = reader.getLast();
    packet.request_more = reader.getMore();
    packet.verify_suspicions = reader.getCheck();
    packet.member_count = reader.getMembers();
    packet.sequence_number = reader.getNumber();
    packet.incarnation = reader.getLife();
    packet.version = reader.getVersion();
    packet.heartbeat = reader.getBeat();
    packet.digest = reader.getDigest();
    packet.target = checked_text(reader.getAbout());
    packet.after_address = checked_text(reader.getAfter());
    packet.up_to_address = checked_text(reader.getNext());
    const auto entries = reader.getEntries();
    const auto locations = reader.getPlaces();
    const auto hashes = reader.getHashes();
    const auto ordered_heartbeats = reader.getRow();
    const auto heartbeats = reader.getBeats();
    const auto buckets = reader.getBuckets();
    KJ_REQUIRE(entries.size() <= kMaxEntries && hashes.size() <= kMaxHeartbeats &&
                   hashes.size() == heartbeats.size() && ordered_heartbeats.size() <= kMaxHeartbeats &&
                   buckets.size() <= kMaxBuckets && (buckets.size() & (buckets.size() - 1)) == 0,
               "a list is too long");
    packet.entries.reserve(entries.size());
    for (const auto entry_reader : entries) {
        if (entry_reader.getState() > static_cast<std::uint8_t>(State::Dead)) continue;
        if (entry_reader.getRole() > static_cast<std::uint8_t>(Role::Controller)) continue;
        packet.entries.push_back(read(entry_reader, locations));
    }
    packet.ordered_heartbeats.assign(ordered_heartbeats.begin(), ordered_heartbeats.end());
    for (unsigned i = 0; i < hashes.size(); ++i)
        packet.hashed_heartbeats.emplace_back(hashes[i], heartbeats[i]);
    for (const auto bucket : buckets) packet.digest_buckets.push_back(bucket);
    return packet;
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
    capnp::word scratch[1024] = {};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, 1024));
    auto root = message.initRoot<wire::Packet>();
    root.setKind(static_cast<std::uint8_t>(packet.kind));
    root.setWho(packet.wants_info);
    root.setJoined(packet.joined);
    root.setLighthouse(packet.from_controller);
    root.setLast(packet.last_page);
    root.setMore(packet.request_more);
    root.setCheck(packet.verify_suspicions);
    root.setMembers(packet.member_count);
    root.setNumber(packet.sequence_number);
    root.setLife(packet.incarnation);
    root.setVersion(packet.version);
    root.setBeat(packet.heartbeat);
    root.setDigest(packet.digest);
    if (!packet.target.empty()) root.setAbout(packet.target);
    if (!packet.after_address.empty()) root.setAfter(packet.after_address);
    if (!packet.up_to_address.empty()) root.setNext(packet.up_to_address);
    if (!packet.entries.empty()) {
        std::map<std::string, std::uint16_t> locations;    // zone and region: its number, from 1
        std::vector<const MemberInfo*> location_sources;
        for (const Entry& entry : packet.entries) {
            if (entry.brief) continue;
            const auto location_number = static_cast<std::uint16_t>(location_sources.size() + 1);
            if (locations.emplace(entry.info.zone + '\n' + entry.info.region, location_number).second)
                location_sources.push_back(&entry.info);
        }
        if (!location_sources.empty()) {
            auto list = root.initPlaces(static_cast<unsigned>(location_sources.size()));
            for (unsigned i = 0; i < location_sources.size(); ++i) {
                list[i].setZone(location_sources[i]->zone);
                list[i].setRegion(location_sources[i]->region);
            }
        }
        auto list = root.initEntries(static_cast<unsigned>(packet.entries.size()));
        for (unsigned i = 0; i < packet.entries.size(); ++i)
            write_entry(packet.entries[i], list[i], locations);
    }
    if (!packet.ordered_heartbeats.empty())
        root.setRow(kj::arrayPtr(packet.ordered_heartbeats.data(), packet.ordered_heartbeats.size()));
    if (!packet.hashed_heartbeats.empty()) {
        const auto count = static_cast<unsigned>(packet.hashed_heartbeats.size());
        auto hashes = root.initHashes(count);
        auto heartbeats = root.initBeats(count);
        for (unsigned i = 0; i < count; ++i) {
            hashes.set(i, packet.hashed_heartbeats[i].first);
            heartbeats[i] = packet.hashed_heartbeats[i].second;
        }
    }
    if (!packet.digest_buckets.empty()) {
        auto list = root.initBuckets(static_cast<unsigned>(packet.digest_buckets.size()));
        for (unsigned i = 0; i < packet.digest_buckets.size(); ++i) list.set(i, packet.digest_buckets[i]);
    }
    kj::VectorOutputStream bytes(1500);
    const kj::byte checksum_space[kChecksumBytes] = {};
    bytes.write(checksum_space, kChecksumBytes);
    capnp::writePackedMessage(bytes, message);
    const auto array = bytes.getArray();
    std::string sealed(array.asChars().begin(), array.size());
    write_checksum(sealed);
    return sealed;
}

std::string encode_fitting(Packet& packet, std::size_t max_bytes) {
    for (;;) {
        std::string bytes = encode(packet);
        if (bytes.size() <= max_bytes || packet.entries.empty()) return bytes;
        packet.entries.resize(packet.entries.size() - std::max<std::size_t>(1, packet.entries.size() / 8));
    }
}

boost::leaf::result<Packet> decode(std::string_view bytes) {
    if (bytes.size() > kMaxPacketBytes) return boost::leaf::new_error(MalformedPacket{"too many bytes"});
    if (bytes.size() <= kChecksumBytes) return boost::leaf::new_error(MalformedPacket{"too few bytes"});
    std::string_view body = bytes.substr(kChecksumBytes);
    std::uint32_t checksum = XXH32(body.data(), body.size(), 0);
    for (std::size_t i = 0; i < kChecksumBytes; ++i, checksum >>= 8)
        if (static_cast<std::uint8_t>(bytes[i]) != (checksum & 0xff))
            return boost::leaf::new_error(MalformedPacket{"the sum is wrong"});
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kMaxPacketWords;
        options.nestingLimit = 6;
        capnp::PackedMessageReader message(stream, options);
        return read(message.getRoot<wire::Packet>());
    } catch (const kj::Exception& exception) {
        return boost::leaf::new_error(MalformedPacket{std::string(exception.getDescription().cStr())});
    }
}

}    // namespace shaletray::membership
