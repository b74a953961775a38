// Slow start of servers in a fleet of gateways: what one gateway may send to a server that started a short
// while ago, so that all gateways together neither overload it nor leave it idle. Pure functions.
#pragma once

#include <cstdint>

#include "decision/control.h"

namespace shaletray::decision::fleet {

/// Attempts in flight per server, over all gateways, that the concurrency limits start with.
constexpr double kInitialInFlight = 12.0;

/// Whether a gateway has less than one attempt in flight at a server on average, so that its own attempts
/// there say nothing about the server's load.
bool is_sparse(const Settings& settings);

/// The share of its full capacity, above 0 and at most 1, that a server which started at `since` has at least
/// at `now`; 1 if it is warm, or if `since` is the zero time.
double capacity_share(const Settings& settings, TimePoint since, TimePoint now);

/// Whether a cold server with that share of its capacity may be a candidate now, decided at random for sparse
/// fleets: with half of the probability that the rule on cold servers allows, so that all gateways together
/// send half of the rule's N. `random` is a uniformly distributed number of 64 bits.
bool draw_cold(const Settings& settings, double share, std::uint64_t random);

/// The budget (seconds of work) of one gateway for one cold server, `elapsed` seconds after it was `budget`.
/// `warm_rate` is the work (seconds per second) that this gateway sends to a warm server; `any_warm`: there
/// are such servers, so that draws limit what is sent as well. The budgets of all gateways then grow by at
/// most three quarters of the rule's N per window, if warm servers are fully loaded; otherwise by half of it.
double slow_start_budget(const Settings& settings, double budget, double share, double warm_rate,
                         bool any_warm, double elapsed);

}    // namespace shaletray::decision::fleet
