// Partitions whose tables diverged converge after the partition heals.
#include <criterion/criterion.h>

#include "cluster/membership/cluster_helpers.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

Test(membership, diverged_partitions_converge_after_healing) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const auto side = [](const std::string& address) {
            return address <
                   Network::gateway_address(5);    // the side with three controllers and five gateways
        };
        net.is_cut = [&](const std::string& from, const std::string& to) { return side(from) != side(to); };
        net.run_for(4s);
        net[Network::gateway_address(0)].set_quota_divisor(5);
        net[Network::gateway_address(9)].set_quota_divisor(6);
        net.stop_process(Network::gateway_address(10));
        net.run_for(1s);
        net.start_process(Network::gateway_address(10), seed_addresses(), 1);
        net.depart(Network::gateway_address(8));
        net.run_for(3s);
        cr_expect_lt(net[Network::gateway_address(0)].heard_fraction(net.now, 2s), 0.7);
        if (seed % 2 == 0) net.run_for(30s);
        net.is_cut = nullptr;
        cr_assert(net.run_until(3s, [&] { return net.all_agree() && all_joined(net); }), "seed %lu", seed);
    }
}
