// Tests of OwnerMap: applying deltas from any version gives the same owners as the whole table.
#include "cluster/ownership/owner_map.h"

#include <random>

#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

void check_matches(const OwnerMap& map, const OwnershipTable& table) {
    cr_assert(map.version() == table.version);
    for (const Assignment& row : table.services.at("saves")) {
        for (const Key key : {row.keys.first, row.keys.last}) {
            const Assignment* const known = map.find("saves", key);
            cr_assert(known != nullptr && known->owner == row.owner && known->settled == row.settled &&
                      known->previous_owner == row.previous_owner);
        }
    }
}

}    // namespace

Test(owner_map, deltas_from_any_version_match_the_table) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        OwnershipTable table;
        Servers servers = servers_in_service({"s0", "s1", "s2"});
        OwnerMap each_step, some_steps;
        for (std::uint64_t version = 1; version < 60; ++version) {
            if (random() % 3 == 0) servers["s" + std::to_string(version)];
            else if (servers.size() > 3)
                servers.erase(std::next(servers.begin(), static_cast<std::ptrdiff_t>(random() % 3)));
            table = random() % 2 == 0 ? settled(table, version) : planned(table, servers, version);
            if (table.services.empty()) continue;
            cr_assert(each_step.apply(encode_changes(table, each_step.version())));
            check_matches(each_step, table);
            if (random() % 4 != 0) continue;
            cr_assert(some_steps.apply(encode_changes(table, some_steps.version())));
            check_matches(some_steps, table);
        }
        const auto stale = each_step.apply(encode(OwnershipTable{1, 4s, {}}));
        cr_assert(stale && !*stale, "an older table is ignored");
    }
}

Test(owner_map, finds_no_owner_for_other_services) {
    OwnerMap map;
    cr_assert(map.find("saves", 0) == nullptr);
    cr_assert(map.apply(encode(planned({}, servers_in_service({"a"}), 1))));
    cr_assert(map.find("saves", 65535)->owner == "a" && map.find("other", 0) == nullptr);
}

Test(ownership_table, rejects_malformed_bytes_without_changes) {
    const OwnershipTable table = planned({}, servers_in_service({"a", "b", "c"}), 3);
    const std::string bytes = encode(table);
    const auto decoded = decode(bytes);
    cr_assert(decoded && *decoded == table);
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        if (!damaged.empty()) {
            char& byte = damaged[random() % damaged.size()];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1 + random() % 255));
        }
        OwnerMap map;
        const auto applied = map.apply(damaged);
        if (!applied) cr_assert(map.version() == 0 && map.row_count() == 0);
    }
}
