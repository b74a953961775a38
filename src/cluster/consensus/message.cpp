#include "cluster/consensus/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "cluster/consensus/consensus.capnp.h"

namespace shaletray::consensus {
namespace {

constexpr std::size_t kMaxVoters = 128;    // far above any real cluster; bounds what decoding may allocate
constexpr std::size_t kMaxNameLength = 512;    // of an address or a proposer
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kHeaderWords = 256;    // first segment of a state header, in words
constexpr std::size_t kMessageWords = 64;    // of a message without voters, digests and text
constexpr std::size_t kVoterWords = 8, kDigestWords = 3;
constexpr std::size_t kTraversalSlackWords = 1024;    // a reader may visit a pointer more than once
constexpr int kMaxNesting = 8;

std::string copy_text(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

void write_fields(wire::Ballot::Builder builder, const Ballot& ballot) {
    builder.setRound(ballot.round);
    builder.setProposer(ballot.proposer.c_str());
}

Ballot read_fields(wire::Ballot::Reader reader) {
    KJ_REQUIRE(reader.getProposer().size() <= kMaxNameLength);
    return {reader.getRound(), copy_text(reader.getProposer())};
}

capnp::Data::Reader data_of(const std::string& bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void write_fields(wire::LogEntry::Builder builder, const LogEntry& entry, bool with_text) {
    builder.setNumber(entry.number);
    builder.setVersion(entry.version);
    auto voters = builder.initVoters(static_cast<unsigned>(entry.voters.size()));
    for (unsigned i = 0; i < voters.size(); ++i) {
        voters[i].setAddress(entry.voters[i].address.c_str());
        voters[i].setDiskId(entry.voters[i].disk_id);
    }
    auto digests = builder.initEarlierDigests(static_cast<unsigned>(entry.earlier_digests.size()));
    for (unsigned i = 0; i < digests.size(); ++i) {
        digests[i].setVersion(entry.earlier_digests[i].version);
        digests[i].setLow(entry.earlier_digests[i].low);
        digests[i].setHigh(entry.earlier_digests[i].high);
    }
    if (with_text) builder.setText(data_of(entry.text));
    else builder.setTextOmitted(true);
    if (!entry.ownership_table.empty()) builder.setOwnershipTable(data_of(entry.ownership_table));
}

LogEntry read_fields(wire::LogEntry::Reader reader) {
    LogEntry entry;
    entry.number = reader.getNumber();
    entry.version = reader.getVersion();
    const auto voters = reader.getVoters();
    KJ_REQUIRE(voters.size() <= kMaxVoters);
    for (const auto voter : voters) {
        KJ_REQUIRE(voter.getAddress().size() <= kMaxNameLength);
        entry.voters.push_back({copy_text(voter.getAddress()), voter.getDiskId()});
    }
    const auto digests = reader.getEarlierDigests();
    for (unsigned i = digests.size() - std::min<unsigned>(digests.size(), kMaxEarlierDigests);
         i < digests.size(); ++i)
        entry.earlier_digests.push_back({digests[i].getVersion(), digests[i].getLow(), digests[i].getHigh()});
    const auto text = reader.getText();
    entry.text.assign(reinterpret_cast<const char*>(text.begin()), text.size());
    const auto table = reader.getOwnershipTable();
    entry.ownership_table.assign(reinterpret_cast<const char*>(table.begin()), table.size());
    return entry;
}

void write_fields(wire::TextReference::Builder builder, const StateHeader::TextReference& reference) {
    builder.setSlot(reference.slot);
    builder.setSize(reference.size);
    builder.setLow(reference.low);
    builder.setHigh(reference.high);
}

StateHeader::TextReference read_fields(wire::TextReference::Reader reader) {
    return {reader.getSlot(), reader.getSize(), reader.getLow(), reader.getHigh()};
}

// Returns the message in Cap'n Proto's stream framing, preceded by a checksum: Cap'n Proto itself would read
// truncated or damaged bytes as other values.
std::string encode_checked(capnp::MessageBuilder& builder, std::size_t expected_words) {
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

// Verifies the checksum and has `read_message` fill a Decoded. Error: DecodeError, also if `read_message`
// throws.
template <class Decoded>
boost::leaf::result<Decoded> decode_checked(std::string_view bytes, auto&& read_message) {
    if (bytes.size() < kChecksumSize + sizeof(capnp::word) || bytes.size() % sizeof(capnp::word) != 0)
        return boost::leaf::new_error(DecodeError{"truncated message"});
    std::uint64_t expected_checksum = 0;
    std::memcpy(&expected_checksum, bytes.data(), kChecksumSize);
    bytes.remove_prefix(kChecksumSize);
    if (expected_checksum != checksum(bytes)) return boost::leaf::new_error(DecodeError{"checksum mismatch"});
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
        capnp::ReaderOptions reader_options;
        reader_options.traversalLimitInWords = words.size() * 2 + kTraversalSlackWords;
        reader_options.nestingLimit = kMaxNesting;
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
    const std::size_t table_size = message.entry ? message.entry->ownership_table.size() : 0;
    const std::size_t voter_words = message.entry ? message.entry->voters.size() * kVoterWords : 0;
    const std::size_t digest_words = message.entry ? message.entry->earlier_digests.size() * kDigestWords : 0;
    const std::size_t expected_words =
        kMessageWords + voter_words + digest_words + (text_size + table_size) / sizeof(capnp::word);
    capnp::MallocMessageBuilder builder(static_cast<unsigned>(expected_words));
    auto root = builder.initRoot<wire::Message>();
    root.setKind(static_cast<wire::Kind>(message.kind));
    root.setDiskId(message.disk_id);
    root.setNextInstance(message.next_instance);
    root.setInstance(message.instance);
    root.setNonce(message.nonce);
    if (message.ballot.round != 0) write_fields(root.initBallot(), message.ballot);
    if (message.other_ballot.round != 0) write_fields(root.initOtherBallot(), message.other_ballot);
    root.setHasAcceptedEntry(message.has_accepted_entry);
    if (message.entry) {
        write_fields(root.initEntry(), *message.entry, !message.text_omitted);
        root.getEntry().setOwnershipTableOmitted(message.ownership_table_omitted);
    }
    return encode_checked(builder, expected_words);
}

boost::leaf::result<Message> decode(std::string_view bytes) {
    return decode_checked<Message>(bytes, [](capnp::MessageReader& reader, Message& decoded) {
        const auto root = reader.getRoot<wire::Message>();
        const auto kind = static_cast<std::uint16_t>(root.getKind());
        KJ_REQUIRE(kind > 0 && kind <= static_cast<std::uint16_t>(Message::Kind::CommitAck),
                   "unknown message kind");
        decoded.kind = static_cast<Message::Kind>(kind);
        decoded.disk_id = root.getDiskId();
        decoded.next_instance = root.getNextInstance();
        decoded.instance = root.getInstance();
        decoded.nonce = root.getNonce();
        if (root.hasBallot()) decoded.ballot = read_fields(root.getBallot());
        if (root.hasOtherBallot()) decoded.other_ballot = read_fields(root.getOtherBallot());
        decoded.has_accepted_entry = root.getHasAcceptedEntry();
        if (root.hasEntry()) {
            decoded.text_omitted = root.getEntry().getTextOmitted();
            decoded.ownership_table_omitted = root.getEntry().getOwnershipTableOmitted();
            decoded.entry = read_fields(root.getEntry());
            KJ_REQUIRE(!decoded.entry->voters.empty(), "entry has no voters");
        }
    });
}

std::string encode(const StateHeader& header) {
    capnp::MallocMessageBuilder builder(kHeaderWords);
    auto root = builder.initRoot<wire::StateHeader>();
    root.setDiskId(header.state.disk_id);
    root.setSequence(header.sequence);
    write_fields(root.initCommitted(), header.state.committed, false);
    write_fields(root.initCommittedText(), header.committed_text);
    write_fields(root.initPromisedBallot(), header.state.promised_ballot);
    write_fields(root.initAcceptedBallot(), header.state.accepted_ballot);
    if (header.state.accepted_entry) {
        write_fields(root.initAcceptedEntry(), *header.state.accepted_entry, false);
        write_fields(root.initAcceptedText(), header.accepted_text);
    }
    return encode_checked(builder, kHeaderWords);
}

boost::leaf::result<StateHeader> decode_state_header(std::string_view bytes) {
    return decode_checked<StateHeader>(bytes, [](capnp::MessageReader& reader, StateHeader& decoded) {
        const auto root = reader.getRoot<wire::StateHeader>();
        decoded.state.disk_id = root.getDiskId();
        decoded.sequence = root.getSequence();
        decoded.state.committed = read_fields(root.getCommitted());
        decoded.committed_text = read_fields(root.getCommittedText());
        decoded.state.promised_ballot = read_fields(root.getPromisedBallot());
        decoded.state.accepted_ballot = read_fields(root.getAcceptedBallot());
        if (root.hasAcceptedEntry()) {
            decoded.state.accepted_entry = read_fields(root.getAcceptedEntry());
            decoded.accepted_text = read_fields(root.getAcceptedText());
        }
    });
}

}    // namespace shaletray::consensus
