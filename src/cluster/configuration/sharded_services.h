// The services whose requests carry shard keys.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

using ServiceNames = std::set<std::string, std::less<>>;

// Returns the names of all services with is_sharded set.
ServiceNames sharded_services(const Configuration& configuration);

}    // namespace shaletray::configuration
