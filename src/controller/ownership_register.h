// What key ownership needs of the replicated register.
#pragma once

#include <optional>
#include <string>

#include "base/common/clock.h"
#include "cluster/consensus/persistent_state.h"

namespace shaletray::controller {

// Implemented by ConsensusDriver, and by tests in virtual time.
class OwnershipRegister {
public:
    virtual ~OwnershipRegister() = default;
    // The newest entry known here to be chosen.
    virtual const consensus::LogEntry& committed_entry() const = 0;
    // When the read began by which a majority last confirmed that committed_entry() was the newest; none: not
    // yet since the start.
    virtual std::optional<TimePoint> quorum_confirmed_at() const = 0;
    virtual bool is_quorum_held() const = 0;
    virtual bool is_voter() const = 0;
    // Proposes to replace the table, provided that it is still `current_table`; see ReplicatedRegister.
    virtual void change_ownership_table(std::string current_table, std::string new_table) = 0;
};

}    // namespace shaletray::controller
