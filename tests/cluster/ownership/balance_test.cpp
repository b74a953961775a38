// Servers whose keys are asked for far more often than the mean give keys away.
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

// Some requests for every hundredth key, and many around one place.
std::map<Key, double> requests_around(Key place, double part_of_all) {
    std::map<Key, double> requests;
    for (std::uint32_t key = 0; key < kKeyCount; key += 100) requests[static_cast<Key>(key)] = 10;
    const double even = 10.0 * static_cast<double>(requests.size());
    const double busy = even * part_of_all / (1 - part_of_all);
    for (std::uint32_t i = 0; i < 50; ++i) requests[static_cast<Key>(place + i)] += busy / 50;
    return requests;
}

double heaviest(const OwnershipTable& table, const LoadProfile& load) {
    std::map<std::string, double> weights;
    for (const Assignment& row : table.services.at("saves")) weights[row.owner] += load.weight(row.keys);
    double most = 0;
    for (const auto& [id, weight] : weights) most = std::max(most, weight);
    return most / (double{kKeyCount} / kServers);
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

Test(balance, a_server_with_far_more_requests_than_the_mean_keeps_a_part_of_its_row) {
    const Servers servers = many_servers();
    const OwnershipTable before = planned({}, servers, 1);
    const LoadProfile load(requests_around(30000, 0.4));
    cr_assert(heaviest(before, load) > 7);
    const OwnershipTable after = balanced(before, servers, 5, load);
    check_step(before, after);
    cr_assert(heaviest(after, load) < 1.6, "%f", heaviest(after, load));
    cr_assert(moved_keys(after) < kKeyCount / kServers, "only of the busy range");
    for (const Assignment& row : after.services.at("saves")) {
        if (row.settled) continue;
        const bool is_kept_from = std::any_of(
            after.services.at("saves").begin(), after.services.at("saves").end(), [&](const auto& kept) {
                return kept.settled && kept.owner == row.previous_owner && kept.fence == row.fence &&
                       kept.previous_fence == row.previous_fence;
            });
        cr_assert(is_kept_from, "its release can be proven");
    }
    cr_assert(balanced(after, servers, 6, load) == after, "no more moves before these are over");
    OwnershipTable table = settled(after, 6);
    for (std::uint64_t version = 7; version < 13; version += 2)
        table = settled(balanced(table, servers, version, load), version + 1);
    cr_assert(balanced(table, servers, 13, load) == table, "it comes to rest");
    cr_assert(heaviest(table, load) < 1.4, "%f", heaviest(table, load));
}

Test(balance, nothing_moves_when_it_is_not_due_or_within_what_is_even_enough) {
    const Servers servers = many_servers();
    const OwnershipTable before = planned({}, servers, 1);
    cr_assert(balanced(before, servers, 5, LoadProfile(requests_around(30000, 0.4)), false) == before);
    cr_assert(balanced(before, servers, 5, LoadProfile(requests_around(30000, 0.01))) == before);
    cr_assert(balanced(before, servers, 5, LoadProfile()) == before, "nothing is known");
}

Test(balance, a_key_with_more_requests_than_a_server_s_share_is_left_alone_on_its_server) {
    const Servers servers = many_servers();
    std::map<Key, double> requests = requests_around(30000, 0.1);
    requests[30025] = 3000;
    const LoadProfile load(requests);
    OwnershipTable table = planned({}, servers, 1);
    for (std::uint64_t version = 2; version < 20; version += 2) {
        const OwnershipTable next = balanced(table, servers, version, load);
        check_step(table, next);
        table = settled(next, version + 1);
    }
    const auto& rows = table.services.at("saves");
    const auto hot = std::find_if(rows.begin(), rows.end(),
                                  [](const Assignment& row) { return row.keys.contains(Key{30025}); });
    cr_assert(hot->keys.size() == 1);
    double beside = 0;
    for (const Assignment& row : rows)
        if (row.owner == hot->owner && row != *hot) beside += load.weight(row.keys);
    cr_assert(beside < 0.25 * kKeyCount / kServers, "%f", beside);
}

Test(balance, a_new_server_gets_an_even_part_of_the_requests) {
    Servers servers = many_servers();
    const LoadProfile load(requests_around(30000, 0.3));
    OwnershipTable before = settled(balanced(planned({}, servers, 1), servers, 2, load), 3);
    servers["s99"];
    const OwnershipTable after = balanced(before, servers, 5, load);
    check_step(before, after);
    double weight = 0;
    for (const Assignment& row : after.services.at("saves"))
        if (row.owner == "s99") weight += load.weight(row.keys);
    cr_assert(weight > 0.5 * kKeyCount / kServers && weight < 1.2 * kKeyCount / kServers, "%f", weight);
}

// The busy keys wander, servers come, leave and go, and moves end at any time: one owner for each key, few
// rows, and few keys change hands for the sake of balance.
Test(balance, every_history_keeps_one_owner_and_few_rows) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        Servers servers = many_servers();
        OwnershipTable table = planned({}, servers, 1);
        int started = 0;
        for (std::uint64_t version = 2; version < 200; version += 2) {
            const auto place = static_cast<Key>(version / 20 * 5000 + random() % 200);
            const LoadProfile load(requests_around(place, 0.1 + 0.1 * static_cast<double>(random() % 6)));
            const auto victim =
                std::next(servers.begin(), static_cast<std::ptrdiff_t>(random() % servers.size()));
            if (random() % 8 == 0) servers["n" + std::to_string(started++)];
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
