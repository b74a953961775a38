// Executes operators' plan commands, one line of JSON each, and writes the replies. Independent of sockets;
// for one thread.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "data_plane/plans/plan_service.h"

namespace shaletray::control_socket {

using decision::TimePoint;

// Bytes of a command.
constexpr std::size_t kMaxLineLength = 16 * 1024;
// Entries in one reply; the field `after` of a command requests the next page.
constexpr std::size_t kMaxListedEntries = 1000;

// Reads the plan service, which outlives it; changes go through the ChangeCommitter.
class PlanCommandHandler {
public:
    // Persists a change and appends it to the plan table. Throws with the reason, and changes nothing, if
    // that fails.
    using ChangeCommitter = std::function<void(const plans::PlanChange&)>;

    // `is_owner`: whether this gateway owns the plan table; only the owner accepts changes.
    PlanCommandHandler(const plans::PlanService& plan_service, bool is_owner, ChangeCommitter commit_change);

    // Executes {"do": "list|show|history|propose|status", ...}. Returns the reply as one line without
    // a newline, for errors too.
    std::string handle_line(std::string_view line, TimePoint now);

private:
    const plans::PlanService& plan_service_;
    bool is_owner_;
    ChangeCommitter commit_change_;
};

}    // namespace shaletray::control_socket
