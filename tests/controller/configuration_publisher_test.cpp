// Updates for gateways, applied as gateways apply them.
#include "controller/configuration_publisher.h"

#include <criterion/criterion.h>

#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_parser.h"
#include "cluster/configuration/configuration_update.h"

using namespace shaletray;
using namespace std::chrono_literals;
using controller::ConfigurationPublisher;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

configuration::Configuration make_configuration(std::uint64_t version) {
    std::string routes;
    for (std::uint64_t i = 0; i < 300; ++i)
        routes += std::string(i == 0 ? "" : ",") + R"(["r)" + std::to_string(i) + R"(","h.example","/p)" +
                  std::to_string(i == version ? i + 1000 : i) + R"(/","idempotent","500ms","s"])";
    return configuration::parse_configuration(
               R"({"revision":"r)" + std::to_string(version) +
               R"(","routes":{"columns":["name","hostname","path_prefix","route_type","timeout",)" +
               R"("service"],"rows":[)" + routes + R"(]},"services":{"columns":["name"],)" +
               R"("rows":[["s"]]},"limits":{}})")
        .value();
}

struct TestGateway {
    explicit TestGateway(std::string gateway_name) : name(std::move(gateway_name)) {}
    void accept_update(const std::string& bytes, TimePoint now) {
        const auto update = subscription::decode_control_update(bytes);
        cr_assert(update);
        ++message_count;
        received_bytes += bytes.size();
        if (!update->configuration_delta.empty()) {
            auto next = configuration::apply_update(current, update->configuration_delta);
            cr_assert(next, "%s cannot apply an update to version %lu", name.c_str(), update->version);
            current = std::move(*next);
        }
        cr_assert(directory.apply_changes(update->endpoint_changes, now));
        if (incarnation != update->incarnation) sequence = 0;
        incarnation = update->incarnation;
        if (update->since_sequence <= sequence) sequence = std::max(sequence, update->sequence);
    }
    subscription::ClientState client_state() const {
        return {1,           current.version, current.version == 0 ? 0 : configuration::digest_of(current),
                incarnation, sequence,        1};
    }
    std::string name;
    configuration::Configuration current;
    registry::EndpointDirectory directory;
    std::uint64_t incarnation = 0, sequence = 0;
    std::size_t message_count = 0, received_bytes = 0;
};

registry::Heartbeat make_heartbeat(const std::string& id, std::uint64_t calls) {
    registry::Heartbeat heartbeat;
    heartbeat.server.id = id;
    heartbeat.server.service = "s";
    heartbeat.server.address = "10.128.0.9:" + std::to_string(8000 + id.size());
    heartbeat.server.call_count = calls;
    return heartbeat;
}

struct PublisherFixture {
    registry::ServiceRegistry service_registry{{"10.0.0.1:7100", 5, 1500ms, 4}};
    ConfigurationPublisher publisher{ConfigurationPublisher::Settings{.incarnation = 5}, service_registry};
    std::map<std::string, TestGateway> gateways;
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    TestGateway& gateway(const std::string& name) { return gateways.try_emplace(name, name).first->second; }
    void deliver(TimePoint now) {
        for (const auto& send : std::exchange(messages, {})) gateway(send.to).accept_update(send.bytes, now);
    }
    void report(const std::string& name, TimePoint now) {
        publisher.on_client_state(name, gateway(name).client_state(), now, messages);
        deliver(now);
    }
};

}    // namespace

Test(configuration_publisher, notifies_active_gateways_at_once_and_others_in_response_to_their_report) {
    PublisherFixture fixture;
    fixture.report("a", time_at(0s));
    fixture.report("b", time_at(0s));
    cr_assert(fixture.gateway("a").message_count == 1 && fixture.gateway("a").current.version == 0);
    fixture.publisher.publish(make_configuration(1));
    fixture.report("b", time_at(4s));    // a has been silent for longer than the active window
    fixture.publisher.publish(make_configuration(2));
    fixture.service_registry.record_heartbeat(make_heartbeat("i", 1), time_at(4s));
    fixture.publisher.notify_clients(time_at(4s), fixture.messages);
    fixture.deliver(time_at(4s));
    cr_assert(fixture.gateway("a").message_count == 1 && fixture.gateway("b").current.version == 2);
    cr_assert(fixture.gateway("b").directory.servers().contains("i"));
    fixture.publisher.notify_clients(time_at(4s), fixture.messages);
    cr_assert(fixture.messages.empty());    // no gateway is behind
    fixture.report("a", time_at(5s));
    cr_assert(fixture.gateway("a").current == fixture.gateway("b").current &&
              fixture.gateway("a").directory.servers().contains("i"));
}

Test(configuration_publisher, sends_deltas_to_gateways_whose_version_it_still_keeps) {
    PublisherFixture fixture;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        fixture.publisher.publish(make_configuration(version));
        fixture.report(version == 1 ? "oldest" : version == 10 ? "older" : "newest", time_at(0s));
    }
    for (const char* name : {"oldest", "older", "newest"}) {
        TestGateway& gateway = fixture.gateway(name);
        const auto before = gateway.received_bytes;
        fixture.report(name, time_at(1s));
        cr_assert(gateway.current == make_configuration(20));
        // The version of the oldest gateway is no longer kept, so it receives the full configuration.
        cr_assert((gateway.received_bytes - before < 1500) == (gateway.name != "oldest"), "%s: %zu", name,
                  gateway.received_bytes - before);
    }
}

Test(configuration_publisher, resends_lost_changes_and_restarts_after_an_incarnation_change) {
    PublisherFixture fixture;
    fixture.publisher.publish(make_configuration(1));
    fixture.report("a", time_at(0s));
    fixture.publisher.publish(make_configuration(2));
    fixture.service_registry.record_heartbeat(make_heartbeat("i", 1), time_at(0s));
    fixture.publisher.notify_clients(time_at(0s), fixture.messages);
    fixture.messages.clear();    // lost with a connection
    fixture.service_registry.record_heartbeat(make_heartbeat("jj", 1), time_at(0s));
    fixture.publisher.notify_clients(time_at(0s), fixture.messages);
    fixture.deliver(time_at(0s));
    TestGateway& gateway = fixture.gateway("a");
    cr_assert(gateway.current.version == 1 && gateway.directory.servers().contains("jj") &&
              !gateway.directory.servers().contains("i"));
    fixture.report("a", time_at(500ms));
    cr_assert(gateway.current.version == 2 && gateway.directory.servers().contains("i"));
    fixture.service_registry.incarnation(6);
    fixture.publisher.set_incarnation(6);
    fixture.service_registry.deregister("i", time_at(1s));
    fixture.report("a", time_at(1s));
    cr_assert(gateway.incarnation == 6 && gateway.sequence == fixture.service_registry.sequence());
    cr_assert(gateway.directory.servers().at("i").state == registry::State::Departed);
}
