// Tests the list of servers that the decision module gets.
#include "gateway/http_mapping/upstream_hosts.h"

#include <criterion/criterion.h>

#include <random>

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::http_mapping;

const TimePoint kStart = TimePoint{} + 100s;

registry::Server make_server(const std::string& id, registry::State state = registry::State::InService) {
    registry::Server result;
    result.id = id;
    result.service = "pay";
    result.address = "10.0.0." + id.substr(2) + ":80";
    result.zone = "b";
    result.capacity = 6;
    result.state = state;
    result.last_called_at = kStart;
    return result;
}

using ServerMap = std::map<std::string, registry::Server>;
ServerMap make_servers(int count, int expired = 0) {
    ServerMap servers;
    for (int index = 1; index <= count; ++index) {
        const std::string id = "i-" + std::to_string(index);
        servers[id] =
            make_server(id, index <= expired ? registry::State::Expired : registry::State::InService);
    }
    return servers;
}

}    // namespace

Test(upstream_hosts, server_keeps_its_number_during_slow_start) {
    UpstreamHosts hosts({{"a", "b"}, 300ms});
    ServerMap servers = make_servers(1);
    servers["i-1"].slow_start_left = 2s;
    cr_assert(hosts.update(servers, kStart) == std::set<std::string>{"pay"});
    const decision::HostEntry starting = hosts.host_list("pay").hosts.at(0);
    cr_assert(starting.rating == 3.0 && starting.zone == 1);
    cr_assert(hosts.update(servers, kStart + 1s).empty(), "nothing changed");
    cr_assert(hosts.update(servers, kStart + 3s).size() == 1);
    const decision::HostEntry started = hosts.host_list("pay").hosts.at(0);
    cr_assert(started.rating == 6.0 && started.host == starting.host);
    cr_assert(*hosts.id_of(started.host) == "i-1");
}

Test(upstream_hosts, draining_or_departed_server_gets_no_new_requests) {
    UpstreamHosts hosts({{"a", "b"}, 300ms});
    ServerMap servers = make_servers(2);
    hosts.update(servers, kStart);
    const HostId host = hosts.host_list("pay").hosts.at(0).host;
    const std::string id = *hosts.id_of(host);
    servers[id].state = registry::State::Draining;
    hosts.update(servers, kStart + 1s);
    cr_assert(hosts.may_send_to(host, kStart + 1200ms), "a connection that was being opened may be used");
    cr_assert(!hosts.may_send_to(host, kStart + 1400ms));
    cr_assert(hosts.find_host(host) != nullptr, "open requests may finish there");
    servers[id].state = registry::State::Departed;
    hosts.update(servers, kStart + 2s);
    cr_assert(hosts.find_host(host) == nullptr && !hosts.may_send_to(host, kStart + 2s));
    cr_assert(hosts.healthy_count("pay") == 1);
    servers.erase(id);
    cr_assert(hosts.update(servers, kStart + 3s).empty());
}

// Where the heartbeats of most servers stop, a network fault is more likely than a failure of the servers.
Test(upstream_hosts, expired_servers_are_excluded_unless_they_are_the_majority) {
    UpstreamHosts few_expired({{"a", "b"}, 300ms}), most_expired({{"a", "b"}, 300ms});
    few_expired.update(make_servers(8, 3), kStart);
    cr_assert(few_expired.healthy_count("pay") == 5);
    most_expired.update(make_servers(8, 6), kStart);
    cr_assert(most_expired.healthy_count("pay") == 8);
}

// Incremental updates must give the same lists as full updates, in whatever order servers start, drain,
// expire, return and are removed.
Test(upstream_hosts, incremental_updates_give_the_same_lists_as_full_updates) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        UpstreamHosts incremental({{"a", "b"}, 300ms}), full({{"a", "b"}, 300ms});
        ServerMap servers;
        TimePoint now = kStart;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(random() % 2000);
            std::vector<std::string> changed;
            for (unsigned count = random() % 4; count > 0; --count) {
                const std::string id = "i-" + std::to_string(1 + random() % 12);
                changed.push_back(id);
                if (random() % 5 == 0) {
                    servers.erase(id);
                    continue;
                }
                registry::Server server = make_server(id, static_cast<registry::State>(random() % 4));
                server.service = random() % 8 == 0 ? "ship" : "pay";
                server.last_called_at = now;
                server.slow_start_left = std::chrono::milliseconds(random() % 3 * 1500);
                servers[id] = server;
            }
            incremental.update_changed(servers, changed, now);
            if (incremental.next_deadline() <= now) incremental.advance(now);
            full.update(servers, now);
            for (const char* service : {"pay", "ship"}) {
                const auto expected = full.host_list(service).hosts;
                const auto actual = incremental.host_list(service).hosts;
                cr_assert(expected.size() == actual.size(), "seed %u step %d", seed, step);
                for (std::size_t i = 0; i < expected.size(); ++i)
                    cr_assert(expected[i].host == actual[i].host && expected[i].state == actual[i].state &&
                                  expected[i].rating == actual[i].rating,
                              "seed %u step %d", seed, step);
                cr_assert(full.healthy_count(service) == incremental.healthy_count(service));
            }
        }
    }
}

Test(upstream_hosts, schedules_the_end_of_slow_start_and_forgets_erased_servers) {
    UpstreamHosts hosts({{"a", "b"}, 300ms});
    ServerMap servers = make_servers(2);
    servers["i-1"].slow_start_left = 2s;
    hosts.update_changed(servers, {"i-1", "i-2"}, kStart);
    cr_assert(hosts.next_deadline() == kStart + 2s);
    cr_assert(hosts.advance(kStart + 2s) == std::set<std::string>{"pay"});
    cr_assert(hosts.next_deadline() == TimePoint::max());
    const HostId host = hosts.host_list("pay").hosts.at(0).host;
    const std::string id = *hosts.id_of(host);
    servers.erase(id);
    cr_assert(hosts.update_changed(servers, {id}, kStart + 3s) == std::set<std::string>{"pay"});
    cr_assert(hosts.find_host(host) == nullptr && hosts.id_of(host) != nullptr);
    hosts.advance(hosts.next_deadline());
    cr_assert(hosts.id_of(host) == nullptr);
}
