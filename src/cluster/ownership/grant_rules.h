// The times by which keys are granted and change hands, and what a heartbeat is answered with. See "The
// rules, and why they are enough" in docs/design/key-ownership.md. Pure.
#pragma once

#include <optional>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// A quorum must have confirmed the table so shortly before it is granted from (L in the design).
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(1);
// A server's clock may be slow by a fiftieth, so that it holds its keys for longer by as much.
constexpr int kClockLagDivisor = 50;
// For differences of rate between the clocks of the controllers.
constexpr Duration kClockMargin = std::chrono::milliseconds(200);
// The longest acceptable time to the answer of a heartbeat; then the server calls another controller.
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);

// The hold that bridges one lost heartbeat; at most `max_hold`.
Duration choose_hold(Duration heartbeat_interval, Duration max_hold);
// After this time on the clock of a controller that knows of a row, nobody holds its keys by an earlier row.
Duration settle_wait(Duration hold);
// Whether a table may be granted from that a read which began at `confirmed_at` found to be the newest. `now`
// is read after the heartbeat arrived.
bool may_grant(std::optional<TimePoint> confirmed_at, TimePoint now);
// The rows of the service that the server may hold.
std::vector<const Assignment*> granted_rows(const Assignments& rows, const std::string& server_id);

}    // namespace shaletray::ownership
