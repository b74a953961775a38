// The ownership table in the register's entries is replaced by compare-and-swap, kept by all other changes,
// and durable with its entry.
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

void change_table(Cluster& cluster, std::size_t node, const std::string& from, const std::string& to) {
    Actions actions;
    cluster.nodes[node].replica->change_ownership_table(from, to, cluster.now, actions);
    cluster.apply_actions(node, actions);
}

const LogEntry& entry_of(const Cluster& cluster, std::size_t node) {
    return cluster.nodes[node].replica->committed_entry();
}

}    // namespace

Test(ownership_table, one_of_two_concurrent_changes_is_chosen) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Cluster cluster(seed, 3);
        cluster.run(cluster.now + 1s);
        change_table(cluster, 0, "", "a");
        change_table(cluster, 1, "", "b");
        cluster.run(cluster.now + 3s);
        const std::string chosen = entry_of(cluster, 0).ownership_table;
        cr_assert(chosen == "a" || chosen == "b");
        for (std::size_t i = 1; i < 3; ++i) cr_assert(entry_of(cluster, i).ownership_table == chosen);
        change_table(cluster, 2, "", "c");    // based on a table that was replaced
        cluster.run(cluster.now + 3s);
        cr_assert(entry_of(cluster, 2).ownership_table == chosen);
    }
}

Test(ownership_table, survives_configuration_changes_voter_changes_and_restarts) {
    Cluster cluster(1, 3);
    cluster.run(cluster.now + 1s);
    change_table(cluster, 0, "", "owners");
    cluster.run(cluster.now + 1s);
    cluster.propose(1, 1, "a text");
    cluster.run(cluster.now + 1s);
    cr_assert(entry_of(cluster, 2).version == 1 && entry_of(cluster, 2).ownership_table == "owners");
    const std::size_t added = cluster.join();
    cluster.run(cluster.now + 1s);
    const std::vector<Replica> voters = entry_of(cluster, 0).voters;
    Actions actions;
    const Replica replica{cluster.nodes[added].address, cluster.nodes[added].persisted_state.disk_id};
    cluster.nodes[0].replica->change_voters(voters, replace_voter(voters, voters[2], replica), cluster.now,
                                            actions);
    cluster.apply_actions(0, actions);
    cluster.run(cluster.now + 2s);
    cr_assert(entry_of(cluster, added).ownership_table == "owners" && entry_of(cluster, added).version == 1);
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) cluster.stop(i, true);
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) cluster.start(i);
    cluster.run(cluster.now + 1s);
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
        cr_assert(entry_of(cluster, i).ownership_table == "owners", "%zu", i);
}

}    // namespace shaletray::consensus::test
