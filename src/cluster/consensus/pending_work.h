// The requests and message exchanges that a replica has under way.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "cluster/consensus/actions.h"

namespace shaletray::consensus {

// When a message is sent again, with exponential backoff.
struct RetryTimer {
    TimePoint due_at;
    Duration interval{};

    void start(TimePoint now, Duration first_interval) {
        interval = first_interval;
        due_at = now + interval;
    }
    void back_off(TimePoint now, Duration max_interval) {
        interval = std::min(interval * 2, max_interval);
        due_at = now + interval;
    }
    bool is_due(TimePoint now) const { return now >= due_at; }
};

// A version that a client wants to be chosen.
struct Proposal {
    RequestId request_id = 0;
    std::uint64_t version = 0;
    std::string text;
    std::uint64_t turn = 0;    // in which it was requested
    TimePoint deadline;
};

// A client's wish to know that the entry is the newest.
struct PendingRead {
    RequestId request_id = 0;
    std::uint64_t turn = 0;    // in which it was requested
    TimePoint deadline;
};

// A wanted change of the voters.
struct VoterChange {
    std::vector<Replica> current_voters, new_voters;
    TimePoint deadline;
};

// A wanted change of the ownership table.
struct OwnershipTableChange {
    std::string current_table, new_table;
    TimePoint deadline;
};

// One attempt, under one ballot, to have the next entry chosen.
struct BallotRound {
    enum class Phase { Prepare, Accept };
    Phase phase = Phase::Prepare;
    Ballot ballot;
    TimePoint started_at;      // of the phase
    std::uint64_t turn = 0;    // in which the phase began
    RetryTimer retry;
    std::set<std::string> approvals, rejections;    // addresses of voters, in this phase
    Ballot own_ballot;    // under which this replica itself had accepted, when the round began
    std::optional<LogEntry> own_entry;    // what it had accepted then
    Ballot highest_ballot;            // under which any voter that promised had accepted; round 0: none had
    std::optional<LogEntry> entry;    // to be proposed: what was accepted so, else a proposal of this replica
};

// A round of questions to the voters whether the entry is still the newest.
struct QuorumRead {
    std::uint64_t nonce = 0;
    TimePoint started_at;
    std::uint64_t turn = 0;    // in which it began
    RetryTimer retry;
    std::map<std::string, bool> replies;    // by voter that has this entry: has it accepted a next one?
    // Until when another proposer is left alone to finish what voters have accepted from it.
    std::optional<TimePoint> contention_deadline;
};

// The fetching of a newer entry: one reply at a time, as links may be slow and texts long.
struct CatchUp {
    std::uint64_t target_instance = 0;
    std::string source;                 // the replica that last reported to have it
    std::uint64_t known_version = 0;    // the version here when the request was sent
    TimePoint requested_at, retry_at;
    int attempts = 0;
};

// The announcement of an entry that was decided here, repeated to each voter until it has stored the entry.
struct CommitBroadcast {
    std::uint64_t next_instance = 0;
    std::set<std::string> unacknowledged;    // addresses of old and new voters
    RetryTimer retry;
    int attempts = 0;
};

}    // namespace shaletray::consensus
