// Rules for granting shard keys: for how long an owner may hold them, how long keys that change hands have to
// wait, and which rows a server is granted. The safety argument is in "The rules, and why they are enough" of
// docs/design/key-ownership.md. Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Maximum age of a quorum's confirmation of the table while keys are granted from it (L in the design).
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(1);
// A server's clock may run slow by 1/50, so a server may hold its keys for longer by that fraction.
constexpr int kClockLagDivisor = 50;
// Allowance for rate differences between the clocks of the controllers.
constexpr Duration kClockMargin = std::chrono::milliseconds(200);
// Maximum time until a heartbeat is answered; after that, the server calls another controller.
constexpr Duration kHeartbeatResponseTimeout = std::chrono::seconds(1);

// Returns the hold time that bridges one lost heartbeat, limited to `max_hold`.
Duration choose_hold(Duration heartbeat_interval, Duration max_hold);
// Returns how long a controller has to wait, on its own clock, after it has learned of a row: from then on no
// server holds keys of that row by an earlier row.
Duration settle_wait(Duration hold);
// Returns whether keys may be granted from a table. `confirmed_at` is the start of the read that found this
// table to be the newest; `now` has to be read after the heartbeat arrived.
bool may_grant(std::optional<TimePoint> confirmed_at, TimePoint now);
// Returns the rows of the service that the server may hold: the settled ones that it owns.
std::vector<const Assignment*> granted_rows(const Assignments& rows, const std::string& server_id);

}    // namespace shaletray::ownership
