// The interface of the replicated register that key ownership uses.
#pragma once

#include <optional>
#include <string>

#include "base/common/clock.h"
#include "cluster/consensus/persistent_state.h"

namespace shaletray::controller {

// Implemented by ConsensusDriver and by tests in virtual time.
class OwnershipRegister {
public:
    virtual ~OwnershipRegister() = default;
    // The newest entry that this controller knows to be chosen.
    virtual const consensus::LogEntry& committed_entry() const = 0;
    // Start of the last read by which a majority confirmed that committed_entry() was the newest; none if
    // there was no such read since the start.
    virtual std::optional<TimePoint> quorum_confirmed_at() const = 0;
    virtual bool is_quorum_held() const = 0;
    virtual bool is_voter() const = 0;
    // Proposes to replace the table on condition that it is still `current_table`; see ReplicatedRegister.
    virtual void change_ownership_table(std::string current_table, std::string new_table) = 0;
};

}    // namespace shaletray::controller
