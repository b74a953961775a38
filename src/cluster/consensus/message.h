// What lighthouses say to each other about decrees, and how that and the state on disk are written down.
// Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/consensus/replicated_register.h"

namespace shaletray::consensus {

struct Message {
    enum class Kind : std::uint16_t {
        None,
        Prepare,     // instance, ballot; other: what the sender itself holds accepted, need not be sent
        Promise,     // instance, ballot; other: what was accepted, with its value unless the asker holds it
        Accept,      // instance, ballot, value
        Accepted,    // instance, ballot
        Rejected,    // instance, ballot; other: what was promised instead
        ReadRequest,     // nonce
        ReadReply,       // nonce; pending: something is accepted for the sender's next decree
        Commit,          // the sender's decree is chosen; ballot: under which, where known
        FetchRequest,    // of whoever holds a newer decree; nonce: the version held
        FetchReply,      // value: the sender's decree; ballot as in Notice; nonce as in the Wanted that it
                         // answers
        CommitAck,       // the sender's decree is on its disk
    };
    Kind kind = Kind::None;
    std::uint64_t disk_id = 0;          // the sender's
    std::uint64_t next_instance = 0;    // number of the sender's decree + 1; 0: it holds none
    std::uint64_t instance = 0;         // number of the decree this is about
    std::uint64_t nonce = 0;
    Ballot ballot;
    Ballot other_ballot;
    bool has_accepted_entry = false;
    bool text_omitted = false;    // the value's text is left out: that of the decree of its version
    std::optional<LogEntry> entry;
};

struct DecodeError {
    std::string reason;
};

std::string encode(const Message& message);
// Errors: Unreadable, for whatever is not one of ours, whole and of a known kind.
boost::leaf::result<Message> decode(std::string_view bytes);

// The state without its texts, which have keys of their own.
struct StateHeader {
    struct TextReference {
        std::uint64_t slot = 0;    // 0: the empty text
        std::uint64_t size = 0, low = 0, high = 0;
        bool has_same_content(const TextReference& other) const {
            return size == other.size && low == other.low && high == other.high;
        }
    };
    PersistentState state;
    std::uint64_t sequence = 0;    // grows with each write
    TextReference committed_text, accepted_text;
};
std::string encode(const StateHeader& head);
boost::leaf::result<StateHeader> decode_head(std::string_view bytes);
StateHeader::TextReference make_text_reference(std::uint64_t slot,
                                               std::string_view text);    // slot: 0 where the text is empty
std::uint64_t checksum(std::string_view bytes);
Digest make_digest(std::uint64_t version, std::string_view text);

}    // namespace shaletray::consensus
