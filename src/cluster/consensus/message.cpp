#include "cluster/consensus/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "cluster/consensus/consensus.capnp.h"

namespace shaletray::consensus {
namespace {

constexpr std::size_t kMaxVoters = 128, kMaxNameLength = 512, kChecksumSize = 8;

std::string copy_text(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

void write_fields(wire::Ballot::Builder builder, const Ballot& ballot) {
    builder.setRound(ballot.round);
    builder.setProposer(ballot.proposer.c_str());
}

Ballot read_fields(wire::Ballot::Reader reader) {
    KJ_REQUIRE(reader.getProposer().size() <= kMaxNameLength);
    return {reader.getRound(), copy_text(reader.getProposer())};
}

void write_fields(wire::Decree::Builder builder, const LogEntry& entry, bool with_text) {
    builder.setNumber(entry.number);
    builder.setVersion(entry.version);
    auto voters = builder.initVoters(static_cast<unsigned>(entry.voters.size()));
    for (unsigned i = 0; i < voters.size(); ++i) {
        voters[i].setAddress(entry.voters[i].address.c_str());
        voters[i].setDisk(entry.voters[i].disk_id);
    }
    auto digests = builder.initEarlier(static_cast<unsigned>(entry.earlier_digests.size()));
    for (unsigned i = 0; i < digests.size(); ++i) {
        digests[i].setVersion(entry.earlier_digests[i].version);
        digests[i].setLow(entry.earlier_digests[i].low);
        digests[i].setHigh(entry.earlier_digests[i].high);
    }
    if (with_text)
        builder.setText(
            capnp::Data::Reader(reinterpret_cast<const kj::byte*>(entry.text.data()), entry.text.size()));
    else builder.setTextAsBefore(true);
}

LogEntry read_fields(wire::Decree::Reader reader) {
    LogEntry entry;
    entry.number = reader.getNumber();
    entry.version = reader.getVersion();
    const auto voters = reader.getVoters();
    KJ_REQUIRE(voters.size() <= kMaxVoters);
    for (const auto voter : voters) {
        KJ_REQUIRE(voter.getAddress().size() <= kMaxNameLength);
        entry.voters.push_back({copy_text(voter.getAddress()), voter.getDisk()});
    }
    const auto digests = reader.getEarlier();
    for (unsigned i = digests.size() - std::min<unsigned>(digests.size(), kMaxEarlierDigests);
         i < digests.size(); ++i)
        entry.earlier_digests.push_back({digests[i].getVersion(), digests[i].getLow(), digests[i].getHigh()});
    const auto text = reader.getText();
    entry.text.assign(reinterpret_cast<const char*>(text.begin()), text.size());
    return entry;
}

void write_fields(wire::TextAt::Builder builder, const StateHeader::TextReference& reference) {
    builder.setSlot(reference.slot);
    builder.setSize(reference.size);
    builder.setLow(reference.low);
    builder.setHigh(reference.high);
}

StateHeader::TextReference read_fields(wire::TextAt::Reader reader) {
    return {reader.getSlot(), reader.getSize(), reader.getLow(), reader.getHigh()};
}

// Bytes that were cut or turned would read as other numbers: they are led by a checksum.
std::string add_checksum(capnp::MessageBuilder& builder, std::size_t expected_words) {
    std::string bytes;
    bytes.reserve(kChecksumSize + expected_words * sizeof(capnp::word));
    bytes.resize(kChecksumSize);
    const auto segments = builder.getSegmentsForOutput();
    const std::uint32_t segment_count_minus_one = static_cast<std::uint32_t>(segments.size() - 1);
    bytes.append(reinterpret_cast<const char*>(&segment_count_minus_one), sizeof segment_count_minus_one);
    for (const auto& segment : segments) {
        const auto segment_words = static_cast<std::uint32_t>(segment.size());
        bytes.append(reinterpret_cast<const char*>(&segment_words), sizeof segment_words);
    }
    if (segments.size() % 2 == 0) bytes.append(4, '\0');
    for (const auto& segment : segments)
        bytes.append(reinterpret_cast<const char*>(segment.begin()), segment.size() * sizeof(capnp::word));
    const std::uint64_t checksum_value = checksum(std::string_view(bytes).substr(kChecksumSize));
    std::memcpy(bytes.data(), &checksum_value, kChecksumSize);
    return bytes;
}

template <class Decoded>
boost::leaf::result<Decoded> decode_checked(std::string_view bytes, auto&& read_message) {
    if (bytes.size() < kChecksumSize + sizeof(capnp::word) || bytes.size() % sizeof(capnp::word) != 0)
        return boost::leaf::new_error(DecodeError{"cut"});
    std::uint64_t expected_checksum = 0;
    std::memcpy(&expected_checksum, bytes.data(), kChecksumSize);
    bytes.remove_prefix(kChecksumSize);
    if (expected_checksum != checksum(bytes)) return boost::leaf::new_error(DecodeError{"checksum"});
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
        capnp::ReaderOptions reader_options;
        reader_options.traversalLimitInWords = words.size() * 2 + 1024;
        reader_options.nestingLimit = 8;
        capnp::FlatArrayMessageReader reader(words, reader_options);
        Decoded decoded;
        read_message(reader, decoded);
        return decoded;
    } catch (const kj::Exception& exception) {
        return boost::leaf::new_error(DecodeError{exception.getDescription().cStr()});
    }
}

}    // namespace

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

Digest make_digest(std::uint64_t version, std::string_view text) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {version, hash.low64, hash.high64};
}

StateHeader::TextReference make_text_reference(std::uint64_t slot, std::string_view text) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {text.empty() ? 0 : slot, text.size(), hash.low64, hash.high64};
}

std::string encode(const Message& message) {
    const std::size_t text_size = message.entry && !message.text_omitted ? message.entry->text.size() : 0;
    const std::size_t voter_words = message.entry ? message.entry->voters.size() * 8 : 0,
                      digest_words = message.entry ? message.entry->earlier_digests.size() * 3 : 0,
                      expected_words = 64 + voter_words + digest_words + text_size / 8;
    capnp::MallocMessageBuilder builder(static_cast<unsigned>(expected_words));
    auto root = builder.initRoot<wire::Message>();
    root.setKind(static_cast<wire::Kind>(message.kind));
    root.setDisk(message.disk_id);
    root.setAt(message.next_instance);
    root.setInstance(message.instance);
    root.setNonce(message.nonce);
    if (message.ballot.round != 0) write_fields(root.initBallot(), message.ballot);
    if (message.other_ballot.round != 0) write_fields(root.initOther(), message.other_ballot);
    root.setPending(message.has_accepted_entry);
    if (message.entry) write_fields(root.initValue(), *message.entry, !message.text_omitted);
    return add_checksum(builder, expected_words);
}

boost::leaf::result<Message> decode(std::string_view bytes) {
    return decode_checked<Message>(bytes, [](capnp::MessageReader& reader, Message& decoded) {
        const auto root = reader.getRoot<wire::Message>();
        const auto kind = static_cast<std::uint16_t>(root.getKind());
        KJ_REQUIRE(kind > 0 && kind <= static_cast<std::uint16_t>(Message::Kind::CommitAck), "unknown kind");
        decoded.kind = static_cast<Message::Kind>(kind);
        decoded.disk_id = root.getDisk();
        decoded.next_instance = root.getAt();
        decoded.instance = root.getInstance();
        decoded.nonce = root.getNonce();
        if (root.hasBallot()) decoded.ballot = read_fields(root.getBallot());
        if (root.hasOther()) decoded.other_ballot = read_fields(root.getOther());
        decoded.has_accepted_entry = root.getPending();
        if (root.hasValue()) {
            decoded.text_omitted = root.getValue().getTextAsBefore();
            decoded.entry = read_fields(root.getValue());
            KJ_REQUIRE(!decoded.entry->voters.empty(), "a decree without voters");
        }
    });
}

std::string encode(const StateHeader& head) {
    capnp::MallocMessageBuilder builder(256);
    auto root = builder.initRoot<wire::Head>();
    root.setDisk(head.state.disk_id);
    root.setSequence(head.sequence);
    write_fields(root.initDecree(), head.state.committed, false);
    write_fields(root.initDecreeText(), head.committed_text);
    write_fields(root.initPromised(), head.state.promised_ballot);
    write_fields(root.initAccepted(), head.state.accepted_ballot);
    if (head.state.accepted_entry) {
        write_fields(root.initPending(), *head.state.accepted_entry, false);
        write_fields(root.initPendingText(), head.accepted_text);
    }
    return add_checksum(builder, 256);
}

boost::leaf::result<StateHeader> decode_head(std::string_view bytes) {
    return decode_checked<StateHeader>(bytes, [](capnp::MessageReader& reader, StateHeader& decoded) {
        const auto root = reader.getRoot<wire::Head>();
        decoded.state.disk_id = root.getDisk();
        decoded.sequence = root.getSequence();
        decoded.state.committed = read_fields(root.getDecree());
        decoded.committed_text = read_fields(root.getDecreeText());
        decoded.state.promised_ballot = read_fields(root.getPromised());
        decoded.state.accepted_ballot = read_fields(root.getAccepted());
        if (root.hasPending()) {
            decoded.state.accepted_entry = read_fields(root.getPending());
            decoded.accepted_text = read_fields(root.getPendingText());
        }
    });
}

}    // namespace shaletray::consensus
