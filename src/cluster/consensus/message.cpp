#include "cluster/consensus/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "cluster/consensus/consensus.capnp.h"

namespace shaletray::consensus {
namespace {

constexpr std::size_t kMostVoters = 128, kLongestName = 512, kMark = 8;

std::string text_of(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

void write(wire::Ballot::Builder to, const Ballot& ballot) {
    to.setRound(ballot.round);
    to.setProposer(ballot.proposer.c_str());
}

Ballot read(wire::Ballot::Reader from) {
    KJ_REQUIRE(from.getProposer().size() <= kLongestName);
    return {from.getRound(), text_of(from.getProposer())};
}

void write(wire::Decree::Builder to, const Decree& decree, bool with_text) {
    to.setNumber(decree.number);
    to.setVersion(decree.version);
    auto voters = to.initVoters(static_cast<unsigned>(decree.voters.size()));
    for (unsigned i = 0; i < voters.size(); ++i) {
        voters[i].setAddress(decree.voters[i].address.c_str());
        voters[i].setDisk(decree.voters[i].disk);
    }
    auto earlier = to.initEarlier(static_cast<unsigned>(decree.earlier.size()));
    for (unsigned i = 0; i < earlier.size(); ++i) {
        earlier[i].setVersion(decree.earlier[i].version);
        earlier[i].setLow(decree.earlier[i].low);
        earlier[i].setHigh(decree.earlier[i].high);
    }
    if (with_text)
        to.setText(
            capnp::Data::Reader(reinterpret_cast<const kj::byte*>(decree.text.data()), decree.text.size()));
    else to.setTextAsBefore(true);
}

Decree read(wire::Decree::Reader from) {
    Decree decree;
    decree.number = from.getNumber();
    decree.version = from.getVersion();
    const auto voters = from.getVoters();
    KJ_REQUIRE(voters.size() <= kMostVoters);
    for (const auto member : voters) {
        KJ_REQUIRE(member.getAddress().size() <= kLongestName);
        decree.voters.push_back({text_of(member.getAddress()), member.getDisk()});
    }
    const auto earlier = from.getEarlier();
    for (unsigned i = earlier.size() - std::min<unsigned>(earlier.size(), kMostEarlier); i < earlier.size();
         ++i)
        decree.earlier.push_back({earlier[i].getVersion(), earlier[i].getLow(), earlier[i].getHigh()});
    const auto text = from.getText();
    decree.text.assign(reinterpret_cast<const char*>(text.begin()), text.size());
    return decree;
}

void write(wire::TextAt::Builder to, const Head::TextAt& at) {
    to.setSlot(at.slot);
    to.setSize(at.size);
    to.setLow(at.low);
    to.setHigh(at.high);
}

Head::TextAt read(wire::TextAt::Reader from) {
    return {from.getSlot(), from.getSize(), from.getLow(), from.getHigh()};
}

// Bytes that were cut or turned would read as other numbers: they are led by a checksum.
std::string sealed(capnp::MessageBuilder& builder, std::size_t words) {
    std::string out;
    out.reserve(kMark + words * sizeof(capnp::word));
    out.resize(kMark);
    const auto segments = builder.getSegmentsForOutput();
    const std::uint32_t count = static_cast<std::uint32_t>(segments.size() - 1);
    out.append(reinterpret_cast<const char*>(&count), sizeof count);
    for (const auto& segment : segments) {
        const auto size = static_cast<std::uint32_t>(segment.size());
        out.append(reinterpret_cast<const char*>(&size), sizeof size);
    }
    if (segments.size() % 2 == 0) out.append(4, '\0');
    for (const auto& segment : segments)
        out.append(reinterpret_cast<const char*>(segment.begin()), segment.size() * sizeof(capnp::word));
    const std::uint64_t sum = checksum(std::string_view(out).substr(kMark));
    std::memcpy(out.data(), &sum, kMark);
    return out;
}

template <class Into>
boost::leaf::result<Into> unsealed(std::string_view bytes, auto&& fill) {
    if (bytes.size() < kMark + sizeof(capnp::word) || bytes.size() % sizeof(capnp::word) != 0)
        return boost::leaf::new_error(Unreadable{"cut"});
    std::uint64_t sum = 0;
    std::memcpy(&sum, bytes.data(), kMark);
    bytes.remove_prefix(kMark);
    if (sum != checksum(bytes)) return boost::leaf::new_error(Unreadable{"checksum"});
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = words.size() * 2 + 1024;
        limits.nestingLimit = 8;
        capnp::FlatArrayMessageReader reader(words, limits);
        Into into;
        fill(reader, into);
        return into;
    } catch (const kj::Exception& e) {
        return boost::leaf::new_error(Unreadable{e.getDescription().cStr()});
    }
}

}    // namespace

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

Digest digest(std::uint64_t version, std::string_view text) {
    const XXH128_hash_t sum = XXH3_128bits(text.data(), text.size());
    return {version, sum.low64, sum.high64};
}

Head::TextAt text_at(std::uint64_t slot, std::string_view text) {
    const XXH128_hash_t sum = XXH3_128bits(text.data(), text.size());
    return {text.empty() ? 0 : slot, text.size(), sum.low64, sum.high64};
}

std::string encode(const Message& message) {
    const std::size_t text = message.value && !message.text_as_before ? message.value->text.size() : 0;
    const std::size_t voters = message.value ? message.value->voters.size() * 8 : 0,
                      earlier = message.value ? message.value->earlier.size() * 3 : 0,
                      words = 64 + voters + earlier + text / 8;
    capnp::MallocMessageBuilder builder(static_cast<unsigned>(words));
    auto root = builder.initRoot<wire::Message>();
    root.setKind(static_cast<wire::Kind>(message.kind));
    root.setDisk(message.disk);
    root.setAt(message.at);
    root.setInstance(message.instance);
    root.setNonce(message.nonce);
    if (message.ballot.round != 0) write(root.initBallot(), message.ballot);
    if (message.other.round != 0) write(root.initOther(), message.other);
    root.setPending(message.pending);
    if (message.value) write(root.initValue(), *message.value, !message.text_as_before);
    return sealed(builder, words);
}

boost::leaf::result<Message> decode(std::string_view bytes) {
    return unsealed<Message>(bytes, [](capnp::MessageReader& reader, Message& into) {
        const auto root = reader.getRoot<wire::Message>();
        const auto kind = static_cast<std::uint16_t>(root.getKind());
        KJ_REQUIRE(kind > 0 && kind <= static_cast<std::uint16_t>(Message::Kind::Kept), "unknown kind");
        into.kind = static_cast<Message::Kind>(kind);
        into.disk = root.getDisk();
        into.at = root.getAt();
        into.instance = root.getInstance();
        into.nonce = root.getNonce();
        if (root.hasBallot()) into.ballot = read(root.getBallot());
        if (root.hasOther()) into.other = read(root.getOther());
        into.pending = root.getPending();
        if (root.hasValue()) {
            into.text_as_before = root.getValue().getTextAsBefore();
            into.value = read(root.getValue());
            KJ_REQUIRE(!into.value->voters.empty(), "a decree without voters");
        }
    });
}

std::string encode(const Head& head) {
    capnp::MallocMessageBuilder builder(256);
    auto root = builder.initRoot<wire::Head>();
    root.setDisk(head.saved.disk);
    root.setSequence(head.sequence);
    write(root.initDecree(), head.saved.decree, false);
    write(root.initDecreeText(), head.decree);
    write(root.initPromised(), head.saved.promised);
    write(root.initAccepted(), head.saved.accepted);
    if (head.saved.pending) {
        write(root.initPending(), *head.saved.pending, false);
        write(root.initPendingText(), head.pending);
    }
    return sealed(builder, 256);
}

boost::leaf::result<Head> decode_head(std::string_view bytes) {
    return unsealed<Head>(bytes, [](capnp::MessageReader& reader, Head& into) {
        const auto root = reader.getRoot<wire::Head>();
        into.saved.disk = root.getDisk();
        into.sequence = root.getSequence();
        into.saved.decree = read(root.getDecree());
        into.decree = read(root.getDecreeText());
        into.saved.promised = read(root.getPromised());
        into.saved.accepted = read(root.getAccepted());
        if (root.hasPending()) {
            into.saved.pending = read(root.getPending());
            into.pending = read(root.getPendingText());
        }
    });
}

}    // namespace shaletray::consensus
