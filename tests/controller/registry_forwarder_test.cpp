// Controllers that replicate their servers over links with random message loss.
#include "controller/registry_forwarder.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::RegistryForwarder;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

struct TestController {
    TestController(std::string own_address, std::uint64_t own_incarnation)
        : address(std::move(own_address)),
          incarnation(own_incarnation),
          service_registry({address, incarnation, 1500ms, 4}),
          forwarder(service_registry) {}
    std::string address;
    std::uint64_t incarnation;
    registry::ServiceRegistry service_registry;
    RegistryForwarder forwarder;
    std::vector<RegistryForwarder::OutgoingMessage> messages;
};

struct TestCluster {
    TestCluster() {
        for (const char* address : {"10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"})
            start_node(address, 1);
    }
    void start_node(const std::string& address, std::uint64_t incarnation) {
        controllers[address] = std::make_unique<TestController>(address, incarnation);
        for (auto& [own_address, controller] : controllers) {
            std::vector<std::string> peers;
            for (const auto& [other_address, other] : controllers)
                if (other_address != own_address) peers.push_back(other_address);
            controller->forwarder.set_peers(peers);
        }
    }
    void step(double loss_rate) {
        now += 100ms;
        for (auto& [address, controller] : controllers) {
            controller->service_registry.tick(time_at(now));
            controller->forwarder.send_changes(time_at(now), controller->messages);
            controller->forwarder.tick(time_at(now), controller->messages);
        }
        for (auto& [address, controller] : controllers)
            for (const auto& send : std::exchange(controller->messages, {})) {
                ++message_count;
                ++messages_from[address];
                bytes += send.bytes.size();
                if (std::uniform_real_distribution<>(0, 1)(random) < loss_rate) continue;
                controllers.at(send.to)->forwarder.on_message(address, controller->incarnation, send.bytes,
                                                              time_at(now));
            }
    }
    void send_heartbeat(const std::string& to, const std::string& id, std::uint64_t calls,
                        registry::State state = registry::State::InService) {
        registry::Heartbeat heartbeat;
        heartbeat.server.id = id;
        heartbeat.server.service = "s";
        heartbeat.server.address = "10.128.0.9:" + id;
        heartbeat.server.call_count = calls;
        heartbeat.server.state = state;
        controllers.at(to)->service_registry.record_heartbeat(heartbeat, time_at(now));
    }
    bool all_agree() const {
        const auto& first = controllers.begin()->second->service_registry.servers();
        for (const auto& [address, controller] : controllers) {
            const auto& servers = controller->service_registry.servers();
            if (servers.size() != first.size()) return false;
            for (const auto& [id, server] : servers) {
                const auto it = first.find(id);
                if (it == first.end() || it->second.state != server.state) return false;
            }
        }
        return true;
    }
    std::map<std::string, std::unique_ptr<TestController>> controllers;
    Duration now = 0s;
    std::mt19937_64 random{1};
    std::size_t message_count = 0, bytes = 0;
    std::map<std::string, std::size_t> messages_from;    // by sender
};

}    // namespace

Test(registry_forwarder, converges_after_message_loss) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TestCluster cluster;
        cluster.random.seed(seed);
        std::uint64_t calls = 0;
        for (int i = 0; i < 100; ++i) {
            const std::string to = "10.0.0." + std::to_string(cluster.random() % 3 + 1) + ":7100";
            const std::string id = std::to_string(8000 + cluster.random() % 10);
            if (cluster.random() % 20 == 0)
                cluster.controllers.at(to)->service_registry.deregister(id, time_at(cluster.now));
            else
                cluster.send_heartbeat(
                    to, id, ++calls,
                    cluster.random() % 5 == 0 ? registry::State::Draining : registry::State::InService);
            cluster.step(0.5);
            if (i == 50) cluster.start_node("10.0.0.2:7100", 2);    // restart with a higher incarnation
        }
        // Servers that only the earlier incarnation had recorded are recorded again by their next heartbeat.
        for (int id = 8000; id < 8010; ++id)
            cluster.send_heartbeat("10.0.0." + std::to_string(cluster.random() % 3 + 1) + ":7100",
                                   std::to_string(id), ++calls);
        for (int i = 0; i < 45; ++i) cluster.step(0.0);
        cr_assert(cluster.all_agree(), "seed %lu", seed);
        cr_assert(!cluster.controllers.begin()->second->service_registry.servers().empty());
    }
}

Test(registry_forwarder, sends_little_when_nothing_changes_and_each_change_once) {
    TestCluster cluster;
    for (int i = 0; i < 200; ++i) cluster.send_heartbeat("10.0.0.1:7100", std::to_string(8000 + i), 1);
    for (int i = 0; i < 30; ++i) cluster.step(0.0);
    cr_assert(cluster.all_agree());
    cluster.message_count = cluster.bytes = 0;
    for (std::uint64_t i = 0; i < 10; ++i) {
        for (int server = 0; server < 200; ++server)
            cluster.send_heartbeat("10.0.0.1:7100", std::to_string(8000 + server), 2 + i);
        cluster.step(0.0);
    }
    cr_assert(cluster.message_count == 6 && cluster.bytes < 6 * 300, "%zu, %zu bytes", cluster.message_count,
              cluster.bytes);
    cluster.message_count = 0;
    cluster.send_heartbeat("10.0.0.1:7100", "8000", 50, registry::State::Draining);
    cluster.step(0.0);
    cr_assert(cluster.all_agree() && cluster.message_count <= 8);
}

// Guards against controllers whose links fill with messages that tell nothing while servers register
// elsewhere.
Test(registry_forwarder, controller_without_servers_sends_only_its_periodic_messages) {
    constexpr std::size_t kControllers = 18, kSeconds = 3;
    TestCluster cluster;
    for (std::size_t i = 4; i <= kControllers; ++i)
        cluster.start_node("10.0.0." + std::to_string(i) + ":7100", 1);
    for (int i = 0; i < 300; ++i) {    // ten servers in each of 30 steps of 100 ms
        cluster.send_heartbeat("10.0.0.1:7100", std::to_string(8000 + i), 1);
        if (i % 10 == 9) cluster.step(0.0);
    }
    cr_assert(cluster.all_agree());
    const std::size_t owner_messages = cluster.messages_from.at("10.0.0.1:7100");
    cr_assert(owner_messages > 20 * (kControllers - 1), "%zu: it sends each change", owner_messages);
    cr_assert(cluster.messages_from.at("10.0.0.18:7100") <= (kSeconds + 1) * (kControllers - 1),
              "%zu messages in %zu s", cluster.messages_from.at("10.0.0.18:7100"), kSeconds);
}

Test(registry_forwarder, keeps_servers_whose_owner_got_a_higher_incarnation) {
    TestCluster cluster;
    cluster.start_node("10.0.0.1:7100",
                       500);    // its clock is set back next, while the peers remember this incarnation
    cluster.send_heartbeat("10.0.0.1:7100", "8000", 1);
    for (int i = 0; i < 20; ++i) cluster.step(0.0);
    cluster.start_node("10.0.0.1:7100", 400);
    std::uint64_t calls = 1;
    const auto run = [&](int steps) {
        for (int i = 0; i < steps; ++i) {
            if (i % 15 == 0) cluster.send_heartbeat("10.0.0.1:7100", "8000", ++calls);
            cluster.step(0.0);
            const auto& servers = cluster.controllers.at("10.0.0.3:7100")->service_registry.servers();
            cr_assert(servers.at("8000").state == registry::State::InService);
        }
    };
    run(10);
    TestController& restarted = *cluster.controllers.at("10.0.0.1:7100");
    restarted.incarnation = 501;    // above the incarnation that the others remember
    restarted.service_registry.incarnation(501);
    restarted.forwarder.reset_peers();
    run(300);
    cr_assert(cluster.all_agree());
}

// A controller that is partitioned right after a server announced its departure must not confirm it.
Test(registry_forwarder, reports_changes_acknowledged_by_a_majority_of_the_voters) {
    const std::string self = "10.0.0.1:7100";
    const std::vector<std::string> voters{"10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"};
    TestCluster cluster;
    cluster.send_heartbeat(self, "8000", 1);
    for (int i = 0; i < 30; ++i) cluster.step(0.0);
    TestController& owner = *cluster.controllers.at(self);
    cluster.send_heartbeat(self, "8000", 2, registry::State::Draining);
    const std::uint64_t sequence = owner.service_registry.sequence();
    cr_assert(owner.forwarder.majority_acknowledged_sequence(voters, self) < sequence);
    cr_assert(owner.forwarder.majority_acknowledged_sequence({self}, self) == sequence, "the only voter");
    owner.forwarder.request_acknowledgement();
    for (int i = 0; i < 20; ++i) cluster.step(1.0);
    cr_assert(owner.forwarder.majority_acknowledged_sequence(voters, self) < sequence,
              "no peer has received it");
    for (int i = 0; i < 20; ++i) cluster.step(0.0);    // lost changes are resent
    cr_assert(owner.forwarder.majority_acknowledged_sequence(voters, self) == sequence);
    cluster.send_heartbeat(self, "8000", 3, registry::State::InService);
    owner.forwarder.request_acknowledgement();
    cluster.step(0.0);
    cluster.step(0.0);    // acknowledged at once, not with the next periodic message
    cr_assert(owner.forwarder.majority_acknowledged_sequence(voters, self) ==
              owner.service_registry.sequence());
}
