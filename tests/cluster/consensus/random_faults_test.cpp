// Seeded worlds of trouble in virtual time, which must settle when they are calm again.
#include <cstdio>
#include <cstdlib>

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// Replaces disks of the voters that are gone for good, as the wiring does: one after the other.
struct Replacer {
    Cluster& cluster;

    const Cluster::Node* holder(const Replica& replica) const {
        for (const auto& node : cluster.nodes)
            if (node.address == replica.address && node.persisted_state.disk_id == replica.disk_id)
                return &node;
        return nullptr;
    }
    std::vector<Replica> gone() const {
        std::vector<Replica> out = cluster.newest().voters;
        std::erase_if(out, [this](const Replica& replica) { return holder(replica) != nullptr; });
        return out;
    }
    // A majority of the newest voters holds the newest decree.
    bool kept() const {
        const auto& voters = cluster.newest().voters;
        return static_cast<std::size_t>(
                   std::count_if(voters.begin(), voters.end(), [this](const Replica& replica) {
                       return holder(replica) &&
                              holder(replica)->persisted_state.committed.number == cluster.newest().number;
                   })) > voters.size() / 2;
    }
    void step() {
        const std::vector<Replica> lost = gone();
        for (std::size_t i = 0; i < cluster.nodes.size() && !lost.empty(); ++i) {
            const auto& voters = cluster.newest().voters;
            const Replica spare{cluster.nodes[i].address, cluster.nodes[i].persisted_state.disk_id};
            if (!cluster.is_up(i) || std::find(voters.begin(), voters.end(), spare) != voters.end()) continue;
            if (spare.address != lost[0].address && cluster.chance(0.5)) continue;
            std::size_t by = cluster.random_below(cluster.nodes.size());
            while (!cluster.is_up(by)) by = cluster.random_below(cluster.nodes.size());
            const std::vector<Replica> to = replace_voter(voters, lost[0], spare);
            cluster.call(by, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.change_voters(voters, to, cluster.now, actions);
            });
            return;
        }
    }
};

void run_random_faults(std::uint64_t seed, std::size_t voters) {
    Cluster cluster(seed, voters);
    Replacer replacer{cluster};
    const std::size_t may_go = (voters - 1) / 2;
    cluster.loss_rate = cluster.chance(0.5) ? 0.03 : 0.0;
    cluster.duplicate_rate = cluster.chance(0.5) ? 0.05 : 0.0;
    cluster.sync = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(20'000)));
    cluster.join();
    cluster.run(500ms);
    const auto propose = [&](std::uint64_t version, const char* what) {
        if (const std::size_t i = cluster.random_below(cluster.nodes.size()); cluster.is_up(i))
            cluster.propose(i, version, what + std::to_string(version));
    };
    TimePoint safe_to_wipe = cluster.now;
    for (int step = 0; step < 150; ++step) {
        const std::size_t i = cluster.random_below(cluster.nodes.size());
        switch (cluster.random_below(16)) {
            case 0:
            case 1:
            case 2: propose(cluster.versions + 1, "v"); break;
            case 3: {    // two operators, at times with one number
                const std::uint64_t other =
                    std::max<std::uint64_t>(cluster.versions + cluster.random_below(2), 1);
                propose(cluster.versions + 1, "x");
                propose(other, "y");
                break;
            }
            case 4:
            case 5:
            case 6:
                if (cluster.is_up(i)) cluster.quorum_read(i);
                break;
            case 7:
                for (std::size_t o = 0; o < cluster.nodes.size(); ++o) {
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({i, o});
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({o, i});
                }
                break;
            case 8:
            case 9: cluster.partitioned_links.clear(); break;
            case 10:
                if (cluster.nodes[i].replica) cluster.stop(i, cluster.chance(0.5));
                break;
            case 11:
                if (cluster.chance(0.2))    // all lose power at once
                    for (std::size_t o = 0; o < cluster.nodes.size(); ++o) cluster.stop(o, true);
                break;
            case 12:
                cluster.nodes[i].frozen_until = cluster.now + Duration(cluster.random_below(3'000'000));
                break;
            case 13:
            case 14:
                if (cluster.now >= safe_to_wipe && replacer.kept() && replacer.gone().size() < may_go) {
                    cluster.wipe(i);
                    safe_to_wipe = cluster.now + (may_go > 1 ? 0ms : 1000ms);
                    if (cluster.chance(0.3) && cluster.nodes.size() < voters + 6) cluster.join();
                    if (cluster.chance(0.3))
                        for (std::size_t o = 0; o < cluster.nodes.size(); ++o) cluster.stop(o, true);
                }
                break;
            default: break;
        }
        for (std::size_t o = 0; o < cluster.nodes.size(); ++o)
            if (!cluster.nodes[o].replica && cluster.chance(0.3)) cluster.start(o);
        if (cluster.chance(0.5)) replacer.step();
        cluster.run(Duration(cluster.random_below(300'000)));
    }
    // Calm again: everything must settle at every lighthouse.
    cluster.partitioned_links.clear();
    cluster.loss_rate = cluster.duplicate_rate = 0.0;
    for (std::size_t o = 0; o < cluster.nodes.size(); ++o) {
        cluster.nodes[o].frozen_until = {};
        if (!cluster.nodes[o].replica) cluster.start(o);
    }
    cluster.run(6s);
    for (int tries = 0; !replacer.gone().empty() && tries < 40; ++tries) {
        replacer.step();
        cluster.run(1s);
    }
    cr_assert(replacer.gone().empty(), "seed %lu: a place in the voters stays empty", seed);
    cr_assert_eq(cluster.newest().voters.size(), voters, "seed %lu", seed);
    const std::uint64_t unsettled = cluster.indeterminate_count;
    for (std::size_t o = 0; o < cluster.nodes.size(); ++o) {
        cluster.propose(o, cluster.versions + 1, "z" + std::to_string(cluster.versions + 1));
        cluster.quorum_read(o);
    }
    cluster.run(4s);
    cr_assert_eq(cluster.indeterminate_count, unsettled, "seed %lu: %lu unsettled when calm", seed,
                 cluster.indeterminate_count - unsettled);
    cr_assert_eq(cluster.newest().version, cluster.versions, "seed %lu", seed);
    for (std::size_t o = 0; o < cluster.nodes.size(); ++o)
        cr_assert_eq(cluster.nodes[o].replica->committed_entry().number, cluster.newest().number, "seed %lu",
                     seed);
}

// Several operators at the same moment and readers all along, on links of very unlike delays; lighthouses
// that lose power in the midst of it and are asked for something else at once.
Test(lamp, races) {
    for (std::uint64_t seed = 1; seed <= 4000 / kLess; ++seed) {
        Cluster cluster(seed, 3);
        cluster.run(200ms);
        cluster.link = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(150'000)));
        cluster.sync = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(100'000)));
        cluster.loss_rate = cluster.chance(0.5) ? 0.2 : 0.0;
        const bool with_crashes = cluster.chance(0.5);
        for (std::uint64_t step = 0; step < 12; ++step) {
            const std::size_t i = cluster.random_below(3);
            if (with_crashes && cluster.chance(0.3)) {
                cluster.stop(i, true);
                cluster.start(i);
            }
            if (cluster.chance(0.4))
                cluster.propose(i, 1 + cluster.random_below(3), std::to_string(step), 20s);
            else cluster.quorum_read(i, 20s);
            cluster.run(Duration(cluster.random_below(60'000)));
        }
        cluster.run(1s);
        cluster.loss_rate = 0.0;
        cluster.run(19s);
        cr_assert_eq(cluster.indeterminate_count, 0, "seed %lu", seed);
    }
}

#define SEEDS(voters, count)                                                                 \
    Test(lamp, troubles_of_##voters) {                                                       \
        const char* more = std::getenv("LAMP_SEEDS");                                        \
        const std::uint64_t seeds = more ? std::strtoull(more, nullptr, 10) : count / kLess; \
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) run_random_faults(seed, voters); \
    }
SEEDS(3, 150)
SEEDS(5, 100)
SEEDS(8, 60)

}    // namespace
}    // namespace shaletray::consensus::test
