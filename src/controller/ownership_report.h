// The ownership table as operators read it.
#pragma once

#include <map>
#include <string>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::controller {

// JSON: {"version", "hold_ms", "services": [{"name", "busiest_server_load", "rows": [{"first", "last",
// "owner", "fence", "state", "previous_owner"}]}]}. `state` is "granted", "awaiting_release" of the previous
// owner, or "awaiting_expiry" of whoever may hold the keys. `busiest_loads`, by service, in means of its
// servers' loads.
std::string describe_ownership(const ownership::OwnershipTable& table,
                               const std::map<std::string, double>& busiest_loads);

}    // namespace shaletray::controller
