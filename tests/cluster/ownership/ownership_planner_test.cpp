// Which server is to own which keys, and what of that may be granted at once.
#include <random>

#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

const Servers kFour = servers_in_service({"a", "b", "c", "d"});

OwnershipTable first_table() { return planned({}, kFour, 1); }

}    // namespace

Test(ownership_planner, divides_the_keys_of_a_new_service_evenly_and_at_once) {
    const OwnershipTable table = first_table();
    check_step({}, table);
    for (const std::string id : {"a", "b", "c", "d"}) cr_assert(keys_of(table, id) == kKeyCount / 4);
    for (const Assignment& row : table.services.at("saves")) cr_assert(row.settled && row.fence == 1);
    cr_assert(!OwnershipPlanner(table, 2).plan({{"saves", kFour}}), "nothing is left to do");
    cr_assert(!OwnershipPlanner({}, 1).plan({{"saves", {}}}), "nobody is there");
}

Test(ownership_planner, keys_of_a_server_that_is_gone_go_to_others_and_are_not_settled) {
    const OwnershipTable before = first_table();
    const OwnershipTable after = planned(before, servers_in_service({"a", "b", "d"}), 5);
    check_step(before, after);
    cr_assert(keys_of(after, "c") == 0);
    for (const std::string id : {"a", "b", "d"}) cr_assert(keys_of(after, id) > kKeyCount / 4);
    for (const Assignment& row : after.services.at("saves")) cr_assert(row.previous_owner.empty());
}

Test(ownership_planner, a_server_that_leaves_keeps_one_key_of_each_row_until_its_release_is_proven) {
    Servers servers = kFour;
    servers["b"].state = ServerInfo::State::Leaving;
    const OwnershipTable before = first_table(), leaving = planned(before, servers, 5);
    check_step(before, leaving);
    cr_assert(keys_of(leaving, "b") == 1);
    std::uint32_t moved = 0;
    for (const Assignment& row : leaving.services.at("saves"))
        if (row.previous_owner == "b" && row.previous_fence == 1 && !row.settled) moved += row.keys.size();
    cr_assert(moved == kKeyCount / 4 - 1);
    cr_assert(planned(leaving, servers, 6) == leaving, "the key stays as long as the proof is awaited");
    const OwnershipTable last = planned(settled(leaving, 6), servers, 7);
    cr_assert(keys_of(last, "b") == 0);
}

Test(ownership_planner, servers_that_came_get_an_even_part_and_the_others_keep_the_rest) {
    Servers servers = kFour;
    servers["e"];
    servers["f"];
    const OwnershipTable before = first_table(), after = planned(before, servers, 5);
    check_step(before, after);
    for (const auto& [id, server] : servers) {
        const std::uint32_t share = kKeyCount / 6;
        cr_assert(keys_of(after, id) > share - share / 8 && keys_of(after, id) < share + share / 8, "%s: %u",
                  id.c_str(), keys_of(after, id));
    }
    cr_assert(planned(after, servers, 6) == after, "no more moves before these are over");
    const OwnershipTable done = settled(after, 6);
    cr_assert(planned(done, servers, 7) == done, "and none after, as the parts are even");
}

Test(ownership_planner, moves_nothing_of_owners_that_are_not_known_yet) {
    const OwnershipTable before = first_table();
    Servers unknown = servers_in_service({"a", "b", "c"});
    unknown["d"].state = ServerInfo::State::Unknown;
    cr_assert(planned(before, unknown, 5) == before);
}

Test(ownership_planner, prefers_receivers_that_learn_of_their_keys_soon) {
    Servers servers = kFour;
    servers["b"].state = ServerInfo::State::Leaving;
    servers["a"].next_heartbeat_in = 100ms;    // before the release
    servers["c"].next_heartbeat_in = 1200ms;
    servers["d"].next_heartbeat_in = 400ms;
    const OwnershipTable after = planned(first_table(), servers, 5);
    for (const Assignment& row : after.services.at("saves")) {
        if (row.previous_owner != "b") continue;
        cr_assert(row.owner == "d");
        break;
    }
}

// Drains leave single keys behind, which go to their neighbours and are merged with theirs: a table does not
// grow with its history.
Test(ownership_planner, a_table_stays_small_over_many_drains) {
    OwnershipTable table = first_table();
    Servers servers = kFour;
    std::uint64_t version = 1;
    std::size_t largest = 0;
    for (int drain = 0; drain < 200; ++drain) {
        servers["n" + std::to_string(drain)];
        servers.begin()->second.state = ServerInfo::State::Leaving;
        for (int step = 0; step < 4; ++step) {
            const OwnershipTable next = planned(table, servers, ++version);
            check_step(table, next);
            table = settled(next, ++version);
        }
        cr_assert(keys_of(table, servers.begin()->first) == 0);
        servers.erase(servers.begin());
        largest = std::max(largest, table.services.at("saves").size());
    }
    cr_assert(largest < 150, "%zu rows", largest);
    for (const auto& [id, server] : servers) cr_assert(keys_of(table, id) > kKeyCount / 10, "%s", id.c_str());
}

// Servers come, leave and go in any order, and waits end at any time.
Test(ownership_planner, every_history_keeps_one_owner_for_each_key) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        OwnershipTable table;
        Servers servers = servers_in_service({"s0", "s1", "s2"});
        int started = 3;
        for (std::uint64_t version = 1; version < 80; ++version) {
            const auto victim =
                std::next(servers.begin(), static_cast<std::ptrdiff_t>(random() % servers.size()));
            switch (random() % 5) {
                case 0: servers["s" + std::to_string(started++)]; break;
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
