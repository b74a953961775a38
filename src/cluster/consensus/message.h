// The messages between the replicas and the header of the stored state, with their encodings. Pure functions.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/consensus/persistent_state.h"

namespace shaletray::consensus {

// A message between replicas. After each kind: the fields that it uses beside those of the sender.
struct Message {
    enum class Kind : std::uint16_t {
        None,
        Prepare,     // instance, ballot; other_ballot: what the sender accepted itself, need not be returned
        Promise,     // instance, ballot; other_ballot, entry: what was accepted, if anything
        Accept,      // instance, ballot, entry
        Accepted,    // instance, ballot
        Rejected,    // instance, ballot; other_ballot: what was promised instead
        ReadRequest,     // nonce
        ReadReply,       // nonce; has_accepted_entry: whether anything is accepted for the next entry
        Commit,          // ballot: under which the sender's entry was chosen, where known
        FetchRequest,    // asks for a newer entry; nonce: the version that the sender has
        FetchReply,      // entry: the sender's; ballot as in Commit; nonce as in the FetchRequest
        CommitAck,       // the sender's entry is on its disk
    };
    Kind kind = Kind::None;
    std::uint64_t disk_id = 0;          // of the sender
    std::uint64_t next_instance = 0;    // number of the sender's committed entry + 1; 0: it has none
    std::uint64_t instance = 0;         // number of the entry that the message is about
    std::uint64_t nonce = 0;
    Ballot ballot;
    Ballot other_ballot;
    bool has_accepted_entry = false;
    bool text_omitted = false;    // the entry's text is that of the receiver's entry of the same version
    std::optional<LogEntry> entry;
    bool ownership_table_omitted = false;    // of the entry: the receiver's committed entry has the same
};

// Why bytes could not be decoded.
struct DecodeError {
    std::string reason;
};

std::string encode(const Message& message);
// Errors: DecodeError, where the bytes are damaged, incomplete or of an unknown kind.
boost::leaf::result<Message> decode(std::string_view bytes);

// The persistent state as it is stored: without the texts of its entries, which have keys of their own.
struct StateHeader {
    // Where a text is stored, and what it is.
    struct TextReference {
        std::uint64_t slot = 0;    // 0: the empty text, which is not stored
        std::uint64_t size = 0;
        std::uint64_t low = 0;     // lower half of the 128-bit hash
        std::uint64_t high = 0;    // upper half
        bool has_same_content(const TextReference& other) const {
            return size == other.size && low == other.low && high == other.high;
        }
    };
    PersistentState state;
    std::uint64_t sequence = 0;    // grows by one with each write
    TextReference committed_text, accepted_text;
};

std::string encode(const StateHeader& header);
// Errors: DecodeError, where the bytes are damaged or incomplete.
boost::leaf::result<StateHeader> decode_state_header(std::string_view bytes);
// Refers to this text in this slot, or in none where the text is empty.
StateHeader::TextReference make_text_reference(std::uint64_t slot, std::string_view text);

// The 64-bit XXH3 hash of the bytes.
std::uint64_t checksum(std::string_view bytes);
Digest make_digest(std::uint64_t version, std::string_view text);

}    // namespace shaletray::consensus
