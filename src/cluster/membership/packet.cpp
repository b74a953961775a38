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

constexpr std::size_t kLongestBytes = 16 * 1024, kLongestWords = 32 * 1024;
constexpr std::size_t kLongestText = 128, kMostEntries = 512, kMostBeats = 512;

struct Ipv4 {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
};

std::string text(const Ipv4& at) {
    std::string out;
    out.reserve(21);
    for (int shift = 24; shift >= 0; shift -= 8) {
        out += std::to_string((at.ip >> shift) & 0xff);
        out += shift == 0 ? ':' : '.';
    }
    return out + std::to_string(at.port);
}

// Nothing where the text is not exactly what `text` makes of it.
Ipv4 ipv4(const std::string& address) {
    Ipv4 at;
    const char* p = address.data();
    const char* const end = p + address.size();
    for (int part = 0; part < 4; ++part) {
        unsigned value = 0;
        const auto [next, error] = std::from_chars(p, end, value);
        if (error != std::errc() || value > 255 || next == end || *next != (part < 3 ? '.' : ':')) return {};
        at.ip = (at.ip << 8) | value;
        p = next + 1;
    }
    const auto [next, error] = std::from_chars(p, end, at.port);
    if (error != std::errc() || next != end || at.ip == 0 || text(at) != address) return {};
    return at;
}

std::string checked(capnp::Text::Reader text) {
    KJ_REQUIRE(text.size() <= kLongestText, "a text is too long");
    for (const char c : text) KJ_REQUIRE(static_cast<unsigned char>(c) >= 0x20, "a text has control bytes");
    return std::string(text.begin(), text.size());
}

void write(const Entry& e, wire::Entry::Builder out, const std::map<std::string, std::uint16_t>& places) {
    const Ipv4 at = ipv4(e.facts.address);
    if (at.ip != 0) {
        out.setIp(at.ip);
        out.setPort(at.port);
    } else {
        out.setAddress(e.facts.address);
    }
    out.setState(static_cast<std::uint8_t>(e.state));
    out.setLife(e.facts.life);
    out.setVersion(e.version);
    out.setCounts(e.facts.counts);
    out.setDisk(e.facts.disk);
    out.setBrief(e.brief);
    out.setUnheard(e.unheard);
    if (e.brief) return;
    out.setRole(static_cast<std::uint8_t>(e.facts.role));
    out.setQuorum(e.facts.quorum);
    out.setPlace(places.at(e.facts.zone + '\n' + e.facts.region));
    if (!e.facts.name.empty()) out.setName(e.facts.name);
    if (!e.facts.control.empty()) out.setControl(e.facts.control);
}

Entry read(wire::Entry::Reader in, capnp::List<wire::Place>::Reader places) {
    Entry e;
    e.facts.address = in.getIp() != 0 ? text({in.getIp(), in.getPort()}) : checked(in.getAddress());
    KJ_REQUIRE(!e.facts.address.empty(), "an entry without an address");
    e.facts.life = in.getLife();
    e.state = static_cast<State>(in.getState());
    e.version = in.getVersion();
    e.facts.counts = in.getCounts();
    e.facts.disk = in.getDisk();
    e.brief = in.getBrief();
    e.unheard = in.getUnheard();
    if (e.brief) return e;
    e.facts.role = static_cast<Role>(in.getRole());
    e.facts.quorum = in.getQuorum();
    e.facts.name = checked(in.getName());
    e.facts.control = checked(in.getControl());
    if (in.getPlace() != 0) {
        KJ_REQUIRE(in.getPlace() <= places.size(), "an entry's place is missing");
        const auto place = places[in.getPlace() - 1u];
        e.facts.zone = checked(place.getZone());
        e.facts.region = checked(place.getRegion());
    }
    return e;
}

Packet read(wire::Packet::Reader in) {
    Packet p;
    KJ_REQUIRE(in.getKind() <= static_cast<std::uint8_t>(Kind::Page), "an unknown kind");
    p.kind = static_cast<Kind>(in.getKind());
    p.who = in.getWho();
    p.joined = in.getJoined();
    p.lighthouse = in.getLighthouse();
    p.last = in.getLast();
    p.more = in.getMore();
    p.check = in.getCheck();
    p.members = in.getMembers();
    p.number = in.getNumber();
    p.life = in.getLife();
    p.version = in.getVersion();
    p.beat = in.getBeat();
    p.digest = in.getDigest();
    p.about = checked(in.getAbout());
    p.after = checked(in.getAfter());
    p.next = checked(in.getNext());
    const auto entries = in.getEntries();
    const auto places = in.getPlaces();
    const auto hashes = in.getHashes();
    const auto row = in.getRow();
    const auto beats = in.getBeats();
    const auto buckets = in.getBuckets();
    KJ_REQUIRE(entries.size() <= kMostEntries && hashes.size() <= kMostBeats &&
                   hashes.size() == beats.size() && row.size() <= kMostBeats &&
                   buckets.size() <= kMostBuckets && (buckets.size() & (buckets.size() - 1)) == 0,
               "a list is too long");
    p.entries.reserve(entries.size());
    for (const auto entry : entries) {
        if (entry.getState() > static_cast<std::uint8_t>(State::Gone)) continue;
        if (entry.getRole() > static_cast<std::uint8_t>(Role::Lighthouse)) continue;
        p.entries.push_back(read(entry, places));
    }
    p.row.assign(row.begin(), row.end());
    for (unsigned i = 0; i < hashes.size(); ++i) p.beats.emplace_back(hashes[i], beats[i]);
    for (const auto bucket : buckets) p.buckets.push_back(bucket);
    return p;
}

}    // namespace

void seal(std::string& bytes) {
    std::uint32_t sum = XXH32(bytes.data() + kSumBytes, bytes.size() - kSumBytes, 0);
    for (std::size_t i = 0; i < kSumBytes; ++i, sum >>= 8) bytes[i] = static_cast<char>(sum & 0xff);
}

std::size_t entry_size(const Entry& e) {
    if (e.brief) return 40 + (e.facts.disk != 0 ? 9 : 0);
    return 60 + e.facts.name.size() + (e.facts.control.empty() ? 0 : 12 + e.facts.control.size()) +
           (e.facts.disk != 0 ? 9 : 0);
}

std::string encode(const Packet& p) {
    capnp::word scratch[1024] = {};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, 1024));
    auto out = message.initRoot<wire::Packet>();
    out.setKind(static_cast<std::uint8_t>(p.kind));
    out.setWho(p.who);
    out.setJoined(p.joined);
    out.setLighthouse(p.lighthouse);
    out.setLast(p.last);
    out.setMore(p.more);
    out.setCheck(p.check);
    out.setMembers(p.members);
    out.setNumber(p.number);
    out.setLife(p.life);
    out.setVersion(p.version);
    out.setBeat(p.beat);
    out.setDigest(p.digest);
    if (!p.about.empty()) out.setAbout(p.about);
    if (!p.after.empty()) out.setAfter(p.after);
    if (!p.next.empty()) out.setNext(p.next);
    if (!p.entries.empty()) {
        std::map<std::string, std::uint16_t> places;    // zone and region: its number, from 1
        std::vector<const Facts*> written;
        for (const Entry& e : p.entries) {
            if (e.brief) continue;
            const auto number = static_cast<std::uint16_t>(written.size() + 1);
            if (places.emplace(e.facts.zone + '\n' + e.facts.region, number).second)
                written.push_back(&e.facts);
        }
        if (!written.empty()) {
            auto list = out.initPlaces(static_cast<unsigned>(written.size()));
            for (unsigned i = 0; i < written.size(); ++i) {
                list[i].setZone(written[i]->zone);
                list[i].setRegion(written[i]->region);
            }
        }
        auto list = out.initEntries(static_cast<unsigned>(p.entries.size()));
        for (unsigned i = 0; i < p.entries.size(); ++i) write(p.entries[i], list[i], places);
    }
    if (!p.row.empty()) out.setRow(kj::arrayPtr(p.row.data(), p.row.size()));
    if (!p.beats.empty()) {
        const auto count = static_cast<unsigned>(p.beats.size());
        auto hashes = out.initHashes(count);
        auto beats = out.initBeats(count);
        for (unsigned i = 0; i < count; ++i) {
            hashes.set(i, p.beats[i].first);
            beats[i] = p.beats[i].second;
        }
    }
    if (!p.buckets.empty()) {
        auto list = out.initBuckets(static_cast<unsigned>(p.buckets.size()));
        for (unsigned i = 0; i < p.buckets.size(); ++i) list.set(i, p.buckets[i]);
    }
    kj::VectorOutputStream bytes(1500);
    const kj::byte room[kSumBytes] = {};
    bytes.write(room, kSumBytes);
    capnp::writePackedMessage(bytes, message);
    const auto array = bytes.getArray();
    std::string sealed(array.asChars().begin(), array.size());
    seal(sealed);
    return sealed;
}

std::string encode_fitting(Packet& packet, std::size_t longest) {
    for (;;) {
        std::string bytes = encode(packet);
        if (bytes.size() <= longest || packet.entries.empty()) return bytes;
        packet.entries.resize(packet.entries.size() - std::max<std::size_t>(1, packet.entries.size() / 8));
    }
}

boost::leaf::result<Packet> decode(std::string_view bytes) {
    if (bytes.size() > kLongestBytes) return boost::leaf::new_error(BadPacket{"too many bytes"});
    if (bytes.size() <= kSumBytes) return boost::leaf::new_error(BadPacket{"too few bytes"});
    std::string_view body = bytes.substr(kSumBytes);
    std::uint32_t sum = XXH32(body.data(), body.size(), 0);
    for (std::size_t i = 0; i < kSumBytes; ++i, sum >>= 8)
        if (static_cast<std::uint8_t>(bytes[i]) != (sum & 0xff))
            return boost::leaf::new_error(BadPacket{"the sum is wrong"});
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kLongestWords;
        options.nestingLimit = 6;
        capnp::PackedMessageReader message(stream, options);
        return read(message.getRoot<wire::Packet>());
    } catch (const kj::Exception& bad) {
        return boost::leaf::new_error(BadPacket{std::string(bad.getDescription().cStr())});
    }
}

}    // namespace shaletray::membership
