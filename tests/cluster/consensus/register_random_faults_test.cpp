// Clusters in virtual time with random faults: they stay safe, and recover once the faults end.
#include <cstdio>
#include <cstdlib>

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// Replaces voters whose disks are lost one at a time, as the controller does.
struct VoterReplacer {
    Cluster& cluster;

    // The node with this disk; null if the disk is lost.
    const Cluster::Node* find_node(const Replica& replica) const {
        for (const auto& node : cluster.nodes)
            if (node.address == replica.address && node.persisted_state.disk_id == replica.disk_id)
                return &node;
        return nullptr;
    }
    std::vector<Replica> lost_voters() const {
        std::vector<Replica> lost = cluster.newest_entry().voters;
        std::erase_if(lost, [this](const Replica& replica) { return find_node(replica) != nullptr; });
        return lost;
    }
    // Whether a majority of the newest voters has stored the newest entry.
    bool is_newest_stored() const {
        const auto& voters = cluster.newest_entry().voters;
        return static_cast<std::size_t>(
                   std::count_if(voters.begin(), voters.end(), [this](const Replica& replica) {
                       return find_node(replica) && find_node(replica)->persisted_state.committed.number ==
                                                        cluster.newest_entry().number;
                   })) > voters.size() / 2;
    }
    void step() {
        const std::vector<Replica> lost = lost_voters();
        for (std::size_t i = 0; i < cluster.nodes.size() && !lost.empty(); ++i) {
            const auto& voters = cluster.newest_entry().voters;
            const Replica spare{cluster.nodes[i].address, cluster.nodes[i].persisted_state.disk_id};
            if (!cluster.is_up(i) || std::find(voters.begin(), voters.end(), spare) != voters.end()) continue;
            if (spare.address != lost[0].address && cluster.chance(0.5)) continue;
            std::size_t proposer = cluster.random_below(cluster.nodes.size());
            while (!cluster.is_up(proposer)) proposer = cluster.random_below(cluster.nodes.size());
            const std::vector<Replica> new_voters = replace_voter(voters, lost[0], spare);
            cluster.call(proposer, [&](ReplicatedRegister& replica, Actions& actions) {
                replica.change_voters(voters, new_voters, cluster.now, actions);
            });
            return;
        }
    }
};

void run_random_faults(std::uint64_t seed, std::size_t voters) {
    Cluster cluster(seed, voters);
    VoterReplacer replacer{cluster};
    const std::size_t max_lost = (voters - 1) / 2;
    cluster.loss_rate = cluster.chance(0.5) ? 0.03 : 0.0;
    cluster.duplicate_rate = cluster.chance(0.5) ? 0.05 : 0.0;
    cluster.sync_delay = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(20'000)));
    cluster.join();
    cluster.run(500ms);
    const auto propose = [&](std::uint64_t version, const char* prefix) {
        if (const std::size_t i = cluster.random_below(cluster.nodes.size()); cluster.is_up(i))
            cluster.propose(i, version, prefix + std::to_string(version));
    };
    TimePoint safe_to_wipe = cluster.now;
    for (int step = 0; step < 150; ++step) {
        const std::size_t i = cluster.random_below(cluster.nodes.size());
        switch (cluster.random_below(16)) {
            case 0:
            case 1:
            case 2: propose(cluster.highest_version + 1, "v"); break;
            case 3: {    // two concurrent operators, sometimes with the same version
                const std::uint64_t other =
                    std::max<std::uint64_t>(cluster.highest_version + cluster.random_below(2), 1);
                propose(cluster.highest_version + 1, "x");
                propose(other, "y");
                break;
            }
            case 4:
            case 5:
            case 6:
                if (cluster.is_up(i)) cluster.quorum_read(i);
                break;
            case 7:
                for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({i, index});
                    if (cluster.chance(0.3)) cluster.partitioned_links.insert({index, i});
                }
                break;
            case 8:
            case 9: cluster.partitioned_links.clear(); break;
            case 10:
                if (cluster.nodes[i].replica) cluster.stop(i, cluster.chance(0.5));
                break;
            case 11:
                if (cluster.chance(0.2))    // all machines lose power at once
                    for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
                        cluster.stop(index, true);
                break;
            case 12:
                cluster.nodes[i].frozen_until = cluster.now + Duration(cluster.random_below(3'000'000));
                break;
            case 13:
            case 14:
                if (cluster.now >= safe_to_wipe && replacer.is_newest_stored() &&
                    replacer.lost_voters().size() < max_lost) {
                    cluster.wipe(i);
                    safe_to_wipe = cluster.now + (max_lost > 1 ? 0ms : 1000ms);
                    if (cluster.chance(0.3) && cluster.nodes.size() < voters + 6) cluster.join();
                    if (cluster.chance(0.3))
                        for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
                            cluster.stop(index, true);
                }
                break;
            default: break;
        }
        for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
            if (!cluster.nodes[index].replica && cluster.chance(0.3)) cluster.start(index);
        if (cluster.chance(0.5)) replacer.step();
        cluster.run(Duration(cluster.random_below(300'000)));
    }
    // Without faults, all requests must complete at every replica.
    cluster.partitioned_links.clear();
    cluster.loss_rate = cluster.duplicate_rate = 0.0;
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
        cluster.nodes[index].frozen_until = {};
        if (!cluster.nodes[index].replica) cluster.start(index);
    }
    cluster.run(6s);
    for (int attempts = 0; !replacer.lost_voters().empty() && attempts < 40; ++attempts) {
        replacer.step();
        cluster.run(1s);
    }
    cr_assert(replacer.lost_voters().empty(), "seed %lu: a lost voter was not replaced", seed);
    cr_assert_eq(cluster.newest_entry().voters.size(), voters, "seed %lu", seed);
    const std::uint64_t indeterminate_before = cluster.indeterminate_count;
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
        cluster.propose(index, cluster.highest_version + 1,
                        "z" + std::to_string(cluster.highest_version + 1));
        cluster.quorum_read(index);
    }
    cluster.run(4s);
    cr_assert_eq(cluster.indeterminate_count, indeterminate_before,
                 "seed %lu: %lu indeterminate without faults", seed,
                 cluster.indeterminate_count - indeterminate_before);
    cr_assert_eq(cluster.newest_entry().version, cluster.highest_version, "seed %lu", seed);
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
        cr_assert_eq(cluster.nodes[index].replica->committed_entry().number, cluster.newest_entry().number,
                     "seed %lu", seed);
}

// Concurrent operators and readers on links with very different delays, while replicas lose power and receive
// further requests right after the restart. Guards against answers before a majority has stored an entry, and
// votes sent before they are on disk.
Test(random_faults, concurrent_requests_stay_consistent_despite_power_losses) {
    for (std::uint64_t seed = 1; seed <= 4000 / kSanitizerDivisor; ++seed) {
        Cluster cluster(seed, 3);
        cluster.run(200ms);
        cluster.link_delay = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(150'000)));
        cluster.sync_delay = Duration(1000 + static_cast<Duration::rep>(cluster.random_below(100'000)));
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

#define RECOVERY_TEST(voters, count)                                                         \
    Test(random_faults, cluster_recovers_with_voters_##voters) {                             \
        const char* override = std::getenv("CONSENSUS_SEEDS");                               \
        const std::uint64_t seeds =                                                          \
            override ? std::strtoull(override, nullptr, 10) : (count) / kSanitizerDivisor;   \
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) run_random_faults(seed, voters); \
    }
RECOVERY_TEST(3, 150)
RECOVERY_TEST(5, 100)
RECOVERY_TEST(8, 60)

}    // namespace
}    // namespace shaletray::consensus::test
