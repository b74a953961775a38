// What gateways and controllers do alike with the membership of the cluster: the identity and the settings
// that they join with, the datagrams that they send for it, and the seeds that they have not met yet.
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

struct Identity {
    std::string address;    // the internal one
    membership::Role role = membership::Role::Gateway;
    std::uint64_t incarnation = 0;
};

// Tells this process from earlier ones at its address: microseconds of Unix time, and never 0, which stands
// for no incarnation. It may be too low where the machine's clock was set back: Membership raises it then.
std::uint64_t initial_incarnation(const Clock& clock);

// What a process says of itself to the others, as far as gateways and controllers have it in common.
membership::Settings membership_settings(const Identity& identity, const runtime::NodeSettings& node_settings,
                                         std::uint64_t random_seed);

// Sends the datagrams that the membership asks for.
void send_datagrams(const membership::Actions& actions, transport::ConnectionManager& connections);

// The seeds at whose address no member is known, in their order.
std::vector<std::string> unknown_seeds(const std::vector<std::string>& seeds,
                                       const std::map<std::string, membership::Member>& members);

}    // namespace shaletray::node
