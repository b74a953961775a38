// Tests of balancing: servers with far more requests than the mean give keys away.
#include <algorithm>
#include <random>

#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

constexpr std::size_t kServers = 20;

Servers many_servers() {
    Servers servers;
    for (std::size_t i = 0; i < kServers; ++i) servers["s" + std::to_string(10 + i)];
    return servers;
}

// Some requests for every hundredth key, and `busy_fraction` of all requests for 50 adjacent keys.
std::map<Key, double> requests_near(Key first_busy_key, double busy_fraction) {
    std::map<Key, double> requests;
    for (std::uint32_t key = 0; key < kKeyCount; key += 100) requests[static_cast<Key>(key)] = 10;
    const double background = 10.0 * static_cast<double>(requests.size());
    const double busy_requests = background * busy_fraction / (1 - busy_fraction);
    for (std::uint32_t i = 0; i < 50; ++i)
        requests[static_cast<Key>(first_busy_key + i)] += busy_requests / 50;
    return requests;
}

double max_relative_weight(const OwnershipTable& table, const LoadProfile& load) {
    std::map<std::string, double> weights;
    for (const Assignment& row : table.services.at("saves")) weights[row.owner] += load.weight(row.keys);
    double max_weight = 0;
    for (const auto& [id, weight] : weights) max_weight = std::max(max_weight, weight);
    return max_weight / (double{kKeyCount} / kServers);
}

std::uint32_t moved_keys(const OwnershipTable& table) {
    std::uint32_t keys = 0;
    for (const Assignment& row : table.services.at("saves"))
        if (!row.settled) keys += row.keys.size();
    return keys;
}

OwnershipTable balanced(const OwnershipTable& table, const Servers& servers, std::uint64_t version,
                        const LoadProfile& load, bool is_due = true) {
    const auto next = OwnershipPlanner(table, version)
                          .plan({{"saves", servers}},
                                Balance{{{"saves", load}},
                                        is_due ? std::set<std::string>{"saves"} : std::set<std::string>{}});
    return next ? *next : table;
}

}    // namespace

Test(balance, overloaded_server_gives_away_part_of_its_row) {
    const Servers servers = many_servers();
    const OwnershipTable before = planned({}, servers, 1);
    const LoadProfile load(requests_near(30000, 0.4));
    cr_assert(max_relative_weight(before, load) > 7);
    const OwnershipTable after = balanced(before, servers, 5, load);
    check_step(before, after);
    cr_assert(max_relative_weight(after, load) < 1.6, "%f", max_relative_weight(after, load));
    cr_assert(moved_keys(after) < kKeyCount / kServers, "only keys of the busy range move");
    for (const Assignment& row : after.services.at("saves")) {
        if (row.settled) continue;
        const bool keeps_part = std::any_of(
            after.services.at("saves").begin(), after.services.at("saves").end(), [&](const auto& kept_row) {
                return kept_row.settled && kept_row.owner == row.previous_owner &&
                       kept_row.fence == row.fence && kept_row.previous_fence == row.previous_fence;
            });
        cr_assert(keeps_part, "the previous owner keeps a part, which proves the release");
    }
    cr_assert(balanced(after, servers, 6, load) == after, "no more moves while these are in progress");
    OwnershipTable table = settled(after, 6);
    for (std::uint64_t version = 7; version < 13; version += 2)
        table = settled(balanced(table, servers, version, load), version + 1);
    cr_assert(balanced(table, servers, 13, load) == table, "balancing converges");
    cr_assert(max_relative_weight(table, load) < 1.4, "%f", max_relative_weight(table, load));
}

Test(balance, moves_nothing_when_not_due_or_load_is_nearly_even) {
    const Servers servers = many_servers();
    const OwnershipTable before = planned({}, servers, 1);
    cr_assert(balanced(before, servers, 5, LoadProfile(requests_near(30000, 0.4)), false) == before);
    cr_assert(balanced(before, servers, 5, LoadProfile(requests_near(30000, 0.01))) == before);
    cr_assert(balanced(before, servers, 5, LoadProfile()) == before, "without load data");
}

Test(balance, key_above_an_even_share_is_isolated_on_its_server) {
    const Servers servers = many_servers();
    std::map<Key, double> requests = requests_near(30000, 0.1);
    requests[30025] = 3000;
    const LoadProfile load(requests);
    OwnershipTable table = planned({}, servers, 1);
    for (std::uint64_t version = 2; version < 20; version += 2) {
        const OwnershipTable next = balanced(table, servers, version, load);
        check_step(table, next);
        table = settled(next, version + 1);
    }
    const auto& rows = table.services.at("saves");
    const auto hot_row = std::find_if(rows.begin(), rows.end(),
                                      [](const Assignment& row) { return row.keys.contains(Key{30025}); });
    cr_assert(hot_row->keys.size() == 1);
    double other_weight = 0;
    for (const Assignment& row : rows)
        if (row.owner == hot_row->owner && row != *hot_row) other_weight += load.weight(row.keys);
    cr_assert(other_weight < 0.25 * kKeyCount / kServers, "%f", other_weight);
}

Test(balance, new_server_gets_an_even_share_of_requests) {
    Servers servers = many_servers();
    const LoadProfile load(requests_near(30000, 0.3));
    OwnershipTable before = settled(balanced(planned({}, servers, 1), servers, 2, load), 3);
    servers["s99"];
    const OwnershipTable after = balanced(before, servers, 5, load);
    check_step(before, after);
    double weight = 0;
    for (const Assignment& row : after.services.at("saves"))
        if (row.owner == "s99") weight += load.weight(row.keys);
    cr_assert(weight > 0.5 * kKeyCount / kServers && weight < 1.2 * kKeyCount / kServers, "%f", weight);
}

// Random histories in which the busy keys change, servers start, leave and fail, and moves end at
// any time: each key always has one owner, and the number of rows stays small.
Test(balance, random_histories_keep_one_owner_per_key_and_few_rows) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        Servers servers = many_servers();
        OwnershipTable table = planned({}, servers, 1);
        int started_count = 0;
        for (std::uint64_t version = 2; version < 200; version += 2) {
            const auto first_busy_key = static_cast<Key>(version / 20 * 5000 + random() % 200);
            const LoadProfile load(
                requests_near(first_busy_key, 0.1 + 0.1 * static_cast<double>(random() % 6)));
            const auto victim =
                std::next(servers.begin(), static_cast<std::ptrdiff_t>(random() % servers.size()));
            if (random() % 8 == 0) servers["n" + std::to_string(started_count++)];
            else if (random() % 8 == 0) victim->second.state = ServerInfo::State::Leaving;
            else if (random() % 8 == 0 && servers.size() > kServers / 2) servers.erase(victim);
            const OwnershipTable next = balanced(table, servers, version, load);
            check_step(table, next);
            table = random() % 3 == 0 ? next : settled(next, version + 1);
        }
        cr_assert(table.services.at("saves").size() < 12 * servers.size(), "%zu rows",
                  table.services.at("saves").size());
    }
}
