// Describes the ownership table as JSON for operators.
#pragma once

#include <map>
#include <string>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::controller {

// JSON: {"version", "hold_ms", "services": [{"name", "busiest_server_load", "rows": [{"first", "last",
// "owner", "fence", "state", "previous_owner"}]}]}. `state` is "granted", "awaiting_release" by the previous
// owner, or "awaiting_expiry" of any hold on the keys. `busiest_loads` has the load of each service's busiest
// server as a multiple of the mean load of its servers.
std::string describe_ownership(const ownership::OwnershipTable& table,
                               const std::map<std::string, double>& busiest_loads);

}    // namespace shaletray::controller
