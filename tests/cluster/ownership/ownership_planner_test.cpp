// Tests of the planner: which server is to own which keys, and which of these are settled at once.
#include <random>

#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

const Servers kFourServers = servers_in_service({"a", "b", "c", "d"});

OwnershipTable first_table() { return planned({}, kFourServers, 1); }

}    // namespace

Test(ownership_planner, divides_keys_of_a_new_service_evenly_and_settles_them) {
    const OwnershipTable table = first_table();
    check_step({}, table);
    for (const std::string id : {"a", "b", "c", "d"}) cr_assert(keys_of(table, id) == kKeyCount / 4);
    for (const Assignment& row : table.services.at("saves")) cr_assert(row.settled && row.fence == 1);
    cr_assert(!OwnershipPlanner(table, 2).plan({{"saves", kFourServers}}), "no change is planned");
    cr_assert(!OwnershipPlanner({}, 1).plan({{"saves", {}}}), "no servers");
}

Test(ownership_planner, moves_keys_of_gone_servers_unsettled) {
    const OwnershipTable before = first_table();
    const OwnershipTable after = planned(before, servers_in_service({"a", "b", "d"}), 5);
    check_step(before, after);
    cr_assert(keys_of(after, "c") == 0);
    for (const std::string id : {"a", "b", "d"}) cr_assert(keys_of(after, id) > kKeyCount / 4);
    for (const Assignment& row : after.services.at("saves")) cr_assert(row.previous_owner.empty());
}

Test(ownership_planner, leaving_server_keeps_one_key_per_row_until_release_is_proven) {
    Servers servers = kFourServers;
    servers["b"].state = ServerInfo::State::Leaving;
    const OwnershipTable before = first_table(), leaving = planned(before, servers, 5);
    check_step(before, leaving);
    cr_assert(keys_of(leaving, "b") == 1);
    std::uint32_t moved = 0;
    for (const Assignment& row : leaving.services.at("saves"))
        if (row.previous_owner == "b" && row.previous_fence == 1 && !row.settled) moved += row.keys.size();
    cr_assert(moved == kKeyCount / 4 - 1);
    cr_assert(planned(leaving, servers, 6) == leaving, "the key stays until the release is proven");
    const OwnershipTable final_table = planned(settled(leaving, 6), servers, 7);
    cr_assert(keys_of(final_table, "b") == 0);
}

Test(ownership_planner, new_servers_get_an_even_share) {
    Servers servers = kFourServers;
    servers["e"];
    servers["f"];
    const OwnershipTable before = first_table(), after = planned(before, servers, 5);
    check_step(before, after);
    for (const auto& [id, server] : servers) {
        const std::uint32_t share = kKeyCount / 6;
        cr_assert(keys_of(after, id) > share - share / 8 && keys_of(after, id) < share + share / 8, "%s: %u",
                  id.c_str(), keys_of(after, id));
    }
    cr_assert(planned(after, servers, 6) == after, "no more moves while these are in progress");
    const OwnershipTable settled_table = settled(after, 6);
    cr_assert(planned(settled_table, servers, 7) == settled_table,
              "no moves afterwards, as the shares are even");
}

Test(ownership_planner, moves_no_keys_of_owners_in_unknown_state) {
    const OwnershipTable before = first_table();
    Servers unknown = servers_in_service({"a", "b", "c"});
    unknown["d"].state = ServerInfo::State::Unknown;
    cr_assert(planned(before, unknown, 5) == before);
}

Test(ownership_planner, prefers_receivers_with_the_next_heartbeat_after_release) {
    Servers servers = kFourServers;
    servers["b"].state = ServerInfo::State::Leaving;
    servers["a"].next_heartbeat_in = 100ms;    // before the keys are released
    servers["c"].next_heartbeat_in = 1200ms;
    servers["d"].next_heartbeat_in = 400ms;
    const OwnershipTable after = planned(first_table(), servers, 5);
    for (const Assignment& row : after.services.at("saves")) {
        if (row.previous_owner != "b") continue;
        cr_assert(row.owner == "d");
        break;
    }
}

// Leaving servers keep single keys at first. These later go to owners of adjacent rows and are merged with
// them, so that the table does not grow with the number of drains.
Test(ownership_planner, table_stays_small_over_many_drains) {
    OwnershipTable table = first_table();
    Servers servers = kFourServers;
    std::uint64_t version = 1;
    std::size_t max_rows = 0;
    for (int round = 0; round < 200; ++round) {
        servers["n" + std::to_string(round)];
        servers.begin()->second.state = ServerInfo::State::Leaving;
        for (int step = 0; step < 4; ++step) {
            const OwnershipTable next = planned(table, servers, ++version);
            check_step(table, next);
            table = settled(next, ++version);
        }
        cr_assert(keys_of(table, servers.begin()->first) == 0);
        servers.erase(servers.begin());
        max_rows = std::max(max_rows, table.services.at("saves").size());
    }
    cr_assert(max_rows < 150, "%zu rows", max_rows);
    for (const auto& [id, server] : servers) cr_assert(keys_of(table, id) > kKeyCount / 10, "%s", id.c_str());
}

// Random histories: servers start, leave and fail in any order, and waits end at any time.
Test(ownership_planner, random_histories_keep_one_owner_per_key) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        OwnershipTable table;
        Servers servers = servers_in_service({"s0", "s1", "s2"});
        int next_id = 3;
        for (std::uint64_t version = 1; version < 80; ++version) {
            const auto victim =
                std::next(servers.begin(), static_cast<std::ptrdiff_t>(random() % servers.size()));
            switch (random() % 5) {
                case 0: servers["s" + std::to_string(next_id++)]; break;
                case 1: victim->second.state = ServerInfo::State::Leaving; break;
                case 2:
                    if (servers.size() > 2) servers.erase(victim);
                    break;
                case 3: table = settled(table, version++); break;
                default: break;
            }
            const OwnershipTable next = planned(table, servers, version);
            if (!next.services.empty()) check_step(table, next);
            table = next;
        }
    }
}
