// Cold servers in a fleet: what one gateway may send to one that started a short while ago, so that all
// gateways together neither push it over nor leave it idle. Pure: values in, values out.
#pragma once

#include <cstdint>

#include "decision/control.h"

namespace shaletray::decision::fleet {

/// Attempts out a server, over all gateways, that the concurrency limits begin with.
constexpr double kStartOut = 12.0;

/// True where a gateway has less than one attempt out at a server on average, so that what it has out itself
/// tells nothing of how busy that server is.
bool sparse(const Settings& s);

/// The share of its full capacity, above 0 and at most 1, that a server which started at `since` surely has
/// at `now`; 1 when warm, or where `since` is the zero time.
double cold_share(const Settings& s, TimePoint since, TimePoint now);

/// Whether a server of that share may be a candidate now, by chance in a sparse fleet: it is then drawn at
/// half of the multiple of its share that the rule allows, which in the sum over all gateways is half of the
/// rule's N. `random` is any number drawn evenly from 64 bits.
bool cold_drawn(const Settings& s, double share, std::uint64_t random);

/// The budget (seconds of work) of one gateway for one cold server, `dt` seconds after it was `budget`.
/// `each`: the work (seconds a second) that this gateway sends to a warm server; `warm`: there are such
/// servers, so that draws bound what is sent as well. Over all gateways budgets then grow by at most three
/// quarters of the rule's N a window, where a warm server takes what it can; else by half.
double cold_budget(const Settings& s, double budget, double share, double each, bool warm, double dt);

}    // namespace shaletray::decision::fleet
