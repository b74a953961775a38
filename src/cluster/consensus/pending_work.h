// The pending requests and running message exchanges of a replica.
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

// Schedules the retransmission of a message, with exponential backoff.
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

// A version proposed by a client.
struct Proposal {
    RequestId request_id = 0;
    std::uint64_t version = 0;
    std::string text;
    std::uint64_t call_number = 0;    // of the request
    TimePoint proposed_at;
    TimePoint deadline;
};

// A client's request to confirm that the committed entry is the newest.
struct PendingRead {
    RequestId request_id = 0;
    std::uint64_t call_number = 0;    // of the request
    TimePoint deadline;
};

// A requested change of the voters.
struct VoterChange {
    std::vector<Replica> current_voters, new_voters;
    TimePoint deadline;
};

// A requested change of the ownership table.
struct OwnershipTableChange {
    std::string current_table, new_table;
    TimePoint deadline;
};

// An attempt, under one ballot, to have the next entry chosen.
struct BallotRound {
    enum class Phase { Prepare, Accept };
    Phase phase = Phase::Prepare;
    Ballot ballot;
    TimePoint started_at;             // start of the phase
    std::uint64_t call_number = 0;    // of the phase's start
    RetryTimer retry;
    std::set<std::string> approvals, rejections;    // addresses of voters, in this phase
    Ballot own_ballot;    // under which this replica itself had accepted an entry when the round began
    std::optional<LogEntry> own_entry;    // the entry that it had accepted then
    // The highest ballot under which a promising voter had accepted an entry; round 0: none had.
    Ballot highest_ballot;
    // The entry to be proposed: the one accepted under highest_ballot, else this replica's own.
    std::optional<LogEntry> entry;
};

// A request to the voters to confirm that the committed entry is still the newest.
struct QuorumRead {
    std::uint64_t nonce = 0;
    TimePoint started_at;
    std::uint64_t call_number = 0;    // of the read's start
    RetryTimer retry;
    std::map<std::string, bool> replies;    // of the voters with this entry: whether they accepted a next one
    // Until when another proposer is given time to finish the round in which voters have accepted its entry.
    std::optional<TimePoint> contention_deadline;
};

// The fetching of a newer entry. Only one reply is awaited at a time, as links may be slow and texts long.
struct CatchUp {
    std::uint64_t target_instance = 0;
    std::string source;                 // the replica that last reported having it
    std::uint64_t known_version = 0;    // this replica's version when the request was sent
    TimePoint requested_at, retry_at;
    int attempts = 0;
};

// The announcement of an entry whose round this replica completed, repeated to each voter until that has
// stored the entry.
struct CommitBroadcast {
    std::uint64_t next_instance = 0;
    std::set<std::string> unacknowledged;    // addresses of old and new voters
    RetryTimer retry;
    int attempts = 0;
};

}    // namespace shaletray::consensus
