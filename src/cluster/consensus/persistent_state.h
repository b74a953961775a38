// The values that the replicas of the register agree on, and the state that each replica keeps on disk.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shaletray::consensus {

// A controller with one particular disk. A controller whose disk was replaced or wiped is a different
// replica: it has lost its votes, so it must be made a voter again before it may vote.
struct Replica {
    std::string address;    // internal address of the controller, such as "10.1.0.24:7100"
    // 0: of a founder; else drawn at random when the empty folder was first opened.
    std::uint64_t disk_id = 0;
    auto operator<=>(const Replica&) const = default;
};

// Identifies the text of a configuration version by its bytes: texts that differ only in white space differ.
struct Digest {
    std::uint64_t version = 0;
    std::uint64_t low = 0;     // lower half of the 128-bit hash
    std::uint64_t high = 0;    // upper half
    auto operator<=>(const Digest&) const = default;
};

// One agreed value of the register: the complete configuration, the ownership table, and the voters that
// decide on the next entry.
struct LogEntry {
    std::uint64_t number = 0;         // 0: the initial entry, before any decision
    std::vector<Replica> voters{};    // sorted
    std::uint64_t version = 0;        // 0: no configuration yet
    std::string text{};               // the configuration as the operator sent it
    // Digests of the preceding versions, ascending, at most kMaxEarlierDigests. Determined by the preceding
    // entry and this entry's version.
    std::vector<Digest> earlier_digests{};
    std::string ownership_table{};    // as ownership::encode writes it; empty: no table yet
    bool operator==(const LogEntry&) const = default;
};

// Maximum number of digests of preceding versions in an entry.
constexpr std::size_t kMaxEarlierDigests = 64;

// A Paxos ballot number: ordered by round, ties broken by the proposer.
struct Ballot {
    std::uint64_t round = 0;    // 0: none
    std::string proposer;
    auto operator<=>(const Ballot&) const = default;
};

// The durable state of a replica. It must be on disk before any message that depends on it is sent.
struct PersistentState {
    std::uint64_t disk_id = 0;
    LogEntry committed;                        // the newest entry that is known to be chosen
    Ballot promised_ballot;                    // for entry committed.number + 1
    Ballot accepted_ballot;                    // likewise; round 0: nothing was accepted
    std::optional<LogEntry> accepted_entry;    // the entry accepted under accepted_ballot
};

}    // namespace shaletray::consensus
