#include "cluster/node/node_membership.h"

#include <algorithm>

namespace shaletray::node {

std::uint64_t initial_incarnation(const Clock& clock) {
    const std::int64_t unix_time = clock.now().time_since_epoch().count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, unix_time));
}

membership::Settings membership_settings(const Identity& identity, const runtime::NodeSettings& node_settings,
                                         std::uint64_t random_seed) {
    membership::Settings settings;
    settings.self.address = identity.address;
    settings.self.role = identity.role;
    settings.self.name = node_settings.node_name;
    settings.self.zone = node_settings.zone;
    settings.self.region = node_settings.region;
    settings.self.incarnation = identity.incarnation;
    settings.seeds = runtime::controller_seeds(node_settings);
    settings.random_seed = random_seed;
    return settings;
}

void send_datagrams(const membership::Actions& actions, transport::ConnectionManager& connections) {
    for (const membership::Actions::Send& datagram : actions.sends)
        connections.send_datagram(datagram.to, transport::Kind::Membership, datagram.bytes);
}

std::vector<std::string> unknown_seeds(const std::vector<std::string>& seeds,
                                       const std::map<std::string, membership::Member>& members) {
    std::vector<std::string> unknown;
    for (const std::string& seed : seeds)
        if (!members.contains(seed)) unknown.push_back(seed);
    return unknown;
}

}    // namespace shaletray::node
