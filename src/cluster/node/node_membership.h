// Cluster membership functions shared by gateways and controllers: identity and settings for joining, sending
// of membership datagrams, and seeds that are still unknown.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "base/runtime/settings_file.h"
#include "cluster/membership/membership.h"
#include "cluster/transport/connection_manager.h"

namespace shaletray::node {

// Identifies a process in the cluster.
struct Identity {
    std::string address;    // internal address
    membership::Role role = membership::Role::Gateway;
    std::uint64_t incarnation = 0;
};

// Returns an incarnation that distinguishes this process from earlier ones at its address: microseconds of
// Unix time, and never 0, which means no incarnation. It may be too low where the clock was set back;
// Membership then raises it.
std::uint64_t initial_incarnation(const Clock& clock);

// Returns the membership settings that gateways and controllers have in common.
membership::Settings membership_settings(const Identity& identity, const runtime::NodeSettings& node_settings,
                                         std::uint64_t random_seed);

// Sends the datagrams that the membership requests.
void send_datagrams(const membership::Actions& actions, transport::ConnectionManager& connections);

// Returns the seeds without a known member at their address, in their order.
std::vector<std::string> unknown_seeds(const std::vector<std::string>& seeds,
                                       const std::map<std::string, membership::Member>& members);

}    // namespace shaletray::node
