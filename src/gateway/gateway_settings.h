// Derives the settings of a gateway's components from the settings of its node.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/runtime/settings_file.h"
#include "cluster/quota/quota_balancer.h"
#include "gateway/request_dispatcher.h"

namespace shaletray::gateway {

// All zones of the system, in the order of their numbers.
std::vector<std::string> zone_names(const runtime::NodeSettings& settings);

// Maximum number of sockets to clients and servers together.
std::size_t max_sockets(const runtime::NodeSettings& settings);
// Maximum number of sockets to clients.
std::size_t max_client_sockets(const runtime::NodeSettings& settings);

quota::Settings balancer_settings_of(const runtime::NodeSettings& settings, const std::string& address,
                                     std::uint64_t incarnation);
// `zone`: number of this node's zone.
DispatcherSettings dispatcher_settings_of(const runtime::NodeSettings& settings, int zone,
                                          std::uint64_t seed);

}    // namespace shaletray::gateway
