// The messages between replicas and the header of the stored state, with their codecs. All functions are
// pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/consensus/persistent_state.h"

namespace shaletray::consensus {

// A message between replicas. The comment of each kind lists the fields it uses besides those of the sender.
struct Message {
    enum class Kind : std::uint16_t {
        None,
        Prepare,    // instance, ballot; other_ballot: of the sender's own accepted entry, which promises omit
        Promise,    // instance, ballot; other_ballot, entry: the accepted entry, if any
        Accept,     // instance, ballot, entry
        Accepted,        // instance, ballot
        Rejected,        // instance, ballot; other_ballot: the promised ballot
        ReadRequest,     // nonce
        ReadReply,       // nonce; has_accepted_entry: whether anything is accepted for the next entry
        Commit,          // ballot: under which the sender's entry was chosen, if known
        FetchRequest,    // requests a newer entry; nonce: the version that the sender has
        FetchReply,      // entry: the sender's; ballot as in Commit; nonce as in the FetchRequest
        CommitAck,       // the sender has stored its entry on disk
    };
    Kind kind = Kind::None;
    std::uint64_t disk_id = 0;          // of the sender
    std::uint64_t next_instance = 0;    // number of the sender's committed entry + 1; 0: it has none
    std::uint64_t instance = 0;         // number of the entry that the message is about
    std::uint64_t nonce = 0;
    Ballot ballot;
    Ballot other_ballot;
    bool has_accepted_entry = false;
    bool text_omitted = false;    // the receiver's entry of the same version has the entry's text
    std::optional<LogEntry> entry;
    bool ownership_table_omitted = false;    // the receiver's committed entry has the same table
};

// Why bytes could not be decoded.
struct DecodeError {
    std::string reason;
};

std::string encode(const Message& message);
// Error: DecodeError if the bytes are damaged, incomplete or of an unknown kind.
boost::leaf::result<Message> decode(std::string_view bytes);

// The persistent state as stored, without the texts of its entries, which are stored under separate keys.
struct StateHeader {
    // Where a text is stored, with its size and hash.
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
    std::uint64_t sequence = 0;    // increases by one with each write
    TextReference committed_text, accepted_text;
};

std::string encode(const StateHeader& header);
// Error: DecodeError if the bytes are damaged or incomplete.
boost::leaf::result<StateHeader> decode_state_header(std::string_view bytes);
// Returns a reference to this text in this slot, or without a slot if the text is empty.
StateHeader::TextReference make_text_reference(std::uint64_t slot, std::string_view text);

// The 64-bit XXH3 hash of the bytes.
std::uint64_t checksum(std::string_view bytes);
Digest make_digest(std::uint64_t version, std::string_view text);

}    // namespace shaletray::consensus
