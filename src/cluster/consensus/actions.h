// The actions that the replicated register requests of its owner.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/consensus/persistent_state.h"
#include "cluster/consensus/proposal_trace.h"

namespace shaletray::consensus {

// Assigned by the caller; identifies a proposal or a read in its completion.
using RequestId = std::uint64_t;

// How a proposal or a read ended.
enum class Outcome {
    Committed,        // the proposal was chosen, or the read was confirmed
    Stale,            // a later version was chosen
    Conflict,         // the version has or had a different text
    Indeterminate,    // no majority answered in time: the proposal may still be chosen later
};

// Each call of the register appends to these; the caller must carry them out.
struct Actions {
    struct OutgoingMessage {
        std::string to;       // internal address of a controller
        std::string bytes;    // an encoded Message
    };
    // To be written and synced in the given order. ReplicatedRegister::on_stored(token) then releases the
    // messages that depend on the state.
    struct StateWrite {
        std::uint64_t token = 0;    // ascending
        PersistentState state;
    };
    struct Completion {
        RequestId request_id = 0;
        Outcome outcome = Outcome::Indeterminate;
        ProposalTrace trace{};    // of a proposal
    };
    std::vector<OutgoingMessage> messages;
    std::vector<StateWrite> writes;
    std::vector<Completion> completions;
    bool entry_changed = false;    // committed_entry() has changed
};

}    // namespace shaletray::consensus
