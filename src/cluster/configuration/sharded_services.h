// Which services divide their keys among their servers.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

using ServiceNames = std::set<std::string, std::less<>>;

ServiceNames sharded_services(const Configuration& configuration);

}    // namespace shaletray::configuration
