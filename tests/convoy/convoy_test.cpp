// The convoy in virtual time: many members in one process, and a network that loses, cuts and delays.
#include <criterion/criterion.h>

#include "network.h"

using namespace shaletray;
using namespace shaletray::convoy;
using namespace std::chrono_literals;

namespace {

bool all_joined(Network& net) {
    return std::all_of(net.processes.begin(), net.processes.end(),
                       [](const auto& p) { return p.second.convoy == nullptr || p.second.convoy->joined(); });
}

// Eleven pilots and three lighthouses that know each other, and some calm.
void calm(Network& net) {
    net.start_all(3, 11, 300ms);
    net.run(3s);
    cr_assert(net.agree() && all_joined(net));
}

std::vector<std::string> seeds() {
    return {Network::lighthouse(0), Network::lighthouse(1), Network::lighthouse(2)};
}

}    // namespace

Test(convoy, started_together_all_know_all_within_a_moment) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Network net(seed);
        net.loss = seed % 2 == 0 ? 0.02 : 0.0;
        net.start_all(3, 11, 300ms);
        net.run(300ms);
        cr_assert(net.until(1s, [&] { return all_joined(net); }), "seed %lu", seed);
        cr_assert(net.until(1500ms, [&] { return net.agree(); }), "seed %lu", seed);
    }
}

// A clock set back gives the later life the lower number, until it hears of the earlier one.
Test(convoy, a_later_life_takes_over_its_address_whatever_its_clock_says) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        calm(net);
        const std::string at = seed % 2 == 0 ? Network::pilot(4) : Network::lighthouse(1);
        const std::uint64_t before = net[at].me().life;
        net.stop(at);
        net.run(seed % 3 == 0 ? 4s : 300ms);
        net.start(at, seeds(), before - 5'000'000);
        net[at].counts(7);
        cr_assert(net.until(1s, [&] { return net[at].joined() && net.agree(); }), "seed %lu", seed);
        cr_assert_gt(net[at].me().life, before);
        net.run(5s);
        cr_assert(net.agree(), "seed %lu", seed);
    }
}
