// What a proposal went through at the replica that proposed it, for the log.
#pragma once

#include <string>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::consensus {

// A reply of a voter to the proposer.
struct VoterReply {
    std::string voter;    // internal address
    TimePoint received_at{};
};

// A ballot round of this replica.
struct RoundTrace {
    std::vector<VoterReply> promises{};       // in the order of their arrival
    std::vector<VoterReply> acceptances{};    // the voter has stored the entry; in the order of their arrival
};

// What a proposal waits for.
enum class ProposalWait {
    Entry,           // the newest committed entry, which this replica does not have yet
    Round,           // the start of its first ballot round
    Promises,        // a majority's promises
    Acceptances,     // a majority's acceptances
    Confirmation,    // that a majority has stored the entry by which the proposal is decided
};

// The latest round is that of another proposal where this one was decided without a round.
struct ProposalTrace {
    TimePoint proposed_at{};
    ProposalWait last_wait = ProposalWait::Round;    // when the proposal completed
    RoundTrace latest_round{};
};

}    // namespace shaletray::consensus
