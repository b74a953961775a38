// The agreed register of the lighthouses: a chain of decrees, each chosen by a majority of the voters that
// the one before it names. A decree holds the whole configuration and the voters for the next one. Pure:
// messages and times in, messages, things to store and answers out; no clock, no sockets, no disk.
//
// Decree n+1 is a single round of Paxos among the voters of decree n; nothing starts on n+1 before n is
// known. A voter is a disk: an emptied one has another number and has no vote until it was voted in.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::consensus {

struct Replica {
    std::string address;          // "10.1.0.24:7100", the lighthouse's internal one
    std::uint64_t disk_id = 0;    // 0: a founder's; else drawn when an empty folder was first opened
    auto operator<=>(const Replica&) const = default;
};
struct Digest {    // of a configuration's text; two that differ by nothing but blanks differ
    std::uint64_t version = 0, low = 0, high = 0;
    auto operator<=>(const Digest&) const = default;
};
struct LogEntry {
    std::uint64_t number = 0;       // 0: the founding, nothing decided yet
    std::vector<Replica> voters;    // who decides on the next one
    std::uint64_t version = 0;
    std::string text;    // the configuration as the operator sent it
    // Of the versions that were held before, up to kMostEarlier, ascending: follows from the decree before.
    std::vector<Digest> earlier_digests{};
    bool operator==(const LogEntry&) const = default;
};
struct Ballot {
    std::uint64_t round = 0;
    std::string proposer;
    auto operator<=>(const Ballot&) const = default;
};
// What must be on the disk before anything that follows from it is said.
struct PersistentState {
    std::uint64_t disk_id = 0;
    LogEntry committed;                        // the newest known
    Ballot promised_ballot;                    // for decree.number + 1
    Ballot accepted_ballot;                    // likewise; round 0: none
    std::optional<LogEntry> accepted_entry;    // what was accepted
};

struct Message;    // see lamp_message.h

struct Settings {
    Replica self;
    bool can_vote = true;                 // false without a disk: never a voter
    std::vector<std::string> founders;    // internal addresses; empty where this is no first start
    std::uint64_t seed =
        0;    // another one in each life: ballots are told apart by it (and by the start time)
    Duration round_timeout = std::chrono::milliseconds(250);    // after which a round is begun anew
    // The most between two tries: how long after a cut's end the first word of it may take.
    Duration max_retry_interval = std::chrono::seconds(2);
};

constexpr std::size_t kMaxEarlierDigests = 64;

using RequestId = std::uint64_t;
enum class Outcome {
    Committed,
    Stale,
    Conflict,         // its version is or was another text's
    Indeterminate,    // no majority in time, may or may not be
};

struct Actions {
    struct OutgoingMessage {
        std::string to;       // a lighthouse's internal address
        std::string bytes;    // an encoded Message
    };
    // To be written and synced in this order; Lamp::stored(token) then releases what waits for it.
    struct StateWrite {
        std::uint64_t token = 0;
        PersistentState state;
    };
    struct Completion {
        RequestId request_id = 0;
        Outcome outcome = Outcome::Indeterminate;
    };
    std::vector<OutgoingMessage> messages;
    std::vector<StateWrite> writes;
    std::vector<Completion> completions;
    bool entry_changed = false;    // decree() has
};

class ReplicatedRegister {
public:
    ReplicatedRegister(Settings settings, PersistentState state, TimePoint now);
    ~ReplicatedRegister();
    ReplicatedRegister(ReplicatedRegister&&) noexcept;
    ReplicatedRegister& operator=(ReplicatedRegister&&) noexcept;
    ReplicatedRegister(
        const ReplicatedRegister&);    // for exploring what may follow; two that run are two lives

    // Versions begin with 1. Settled once a decree of this version and text is chosen and kept by a majority;
    // Superseded once one of a later version is (acknowledged likewise), unless this version is remembered to
    // have had another text; Conflict where it has. Answered by `until` at the latest.
    void propose(RequestId request_id, std::uint64_t version, std::string text, TimePoint deadline,
                 TimePoint now, Actions& actions);
    // Settled once decree() is known to be the newest that was chosen when this was asked; never after
    // `until`, however late the process gets to run.
    void quorum_read(RequestId request_id, TimePoint deadline, TimePoint now, Actions& actions);
    // Proposes that in the place of `from`, if these vote still, `to` (sorted) vote: all at once, since it is
    // one decree of the old voters, and nothing is answered from it before a majority of the new ones keeps
    // it. It replaces an earlier wish and ends after twenty rounds.
    void change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters, TimePoint now,
                       Actions& actions);
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    void on_stored(std::uint64_t token, TimePoint now, Actions& actions);
    void tick(TimePoint now, Actions& actions);
    std::optional<TimePoint> next_deadline() const;    // when tick is due
    // To whom new decrees are told, beside the voters: all lighthouses known.
    void set_peers(std::vector<std::string> addresses);

    const LogEntry& committed_entry() const;    // the newest chosen that is known here
    // When a majority last bore out that decree() was the newest; none: not yet in this life.
    std::optional<TimePoint> quorum_confirmed_at() const;
    bool is_voter() const;
    // Whether it said within this time, on this disk, that it holds the newest decree or nearly so.
    bool is_caught_up(const Replica& replica, Duration within) const;
    std::uint64_t dropped_messages() const;    // messages that could not be read
    std::string describe_state() const;        // all that matters but times, for exploring and for logs

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::consensus
