// What pilots are told, taken up as pilots do.
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

configuration::Configuration chart_of(std::uint64_t version) {
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
    explicit TestGateway(std::string n) : name(std::move(n)) {}
    void accept_update(const std::string& bytes, TimePoint now) {
        const auto update = subscription::decode_control_update(bytes);
        cr_assert(update);
        ++message_count;
        bytes_taken += bytes.size();
        if (!update->configuration_delta.empty()) {
            auto next = configuration::apply_update(chart, update->configuration_delta);
            cr_assert(next, "%s cannot use an update to %lu", name.c_str(), update->version);
            chart = std::move(*next);
        }
        cr_assert(roster.apply_changes(update->endpoint_changes, now));
        if (incarnation != update->incarnation) sequence = 0;
        incarnation = update->incarnation;
        if (update->since_sequence <= sequence) sequence = std::max(sequence, update->sequence);
    }
    subscription::ClientState have() const {
        return {1,           chart.version, chart.version == 0 ? 0 : configuration::digest_of(chart),
                incarnation, sequence,      1};
    }
    std::string name;
    configuration::Configuration chart;
    registry::EndpointDirectory roster;
    std::uint64_t incarnation = 0, sequence = 0;
    std::size_t message_count = 0, bytes_taken = 0;
};

registry::Heartbeat send_heartbeat(const std::string& id, std::uint64_t calls) {
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
    TestGateway& pilot(const std::string& name) { return gateways.try_emplace(name, name).first->second; }
    void deliver(TimePoint now) {
        for (const auto& send : std::exchange(messages, {})) pilot(send.to).accept_update(send.bytes, now);
    }
    void report(const std::string& name, TimePoint now) {
        publisher.on_client_state(name, pilot(name).have(), now, messages);
        deliver(now);
    }
};

}    // namespace

Test(gallery, tells_at_once_who_reported_and_in_the_answer_who_did_not) {
    PublisherFixture rig;
    rig.report("a", time_at(0s));
    rig.report("b", time_at(0s));
    cr_assert(rig.pilot("a").message_count == 1 && rig.pilot("a").chart.version == 0);
    rig.publisher.publish(chart_of(1));
    rig.report("b", time_at(4s));    // a was silent for longer than pilots are waited for
    rig.publisher.publish(chart_of(2));
    rig.service_registry.record_heartbeat(send_heartbeat("i", 1), time_at(4s));
    rig.publisher.notify_clients(time_at(4s), rig.messages);
    rig.deliver(time_at(4s));
    cr_assert(rig.pilot("a").message_count == 1 && rig.pilot("b").chart.version == 2);
    cr_assert(rig.pilot("b").roster.servers().contains("i"));
    rig.publisher.notify_clients(time_at(4s), rig.messages);
    cr_assert(rig.messages.empty());    // nobody lacks anything
    rig.report("a", time_at(5s));
    cr_assert(rig.pilot("a").chart == rig.pilot("b").chart && rig.pilot("a").roster.servers().contains("i"));
}

Test(gallery, sends_differences_to_who_holds_what_is_still_held) {
    PublisherFixture rig;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        rig.publisher.publish(chart_of(version));
        rig.report(version == 1 ? "oldest" : version == 10 ? "older" : "newest", time_at(0s));
    }
    for (const char* name : {"oldest", "older", "newest"}) {
        TestGateway& gateway = rig.pilot(name);
        const auto before = gateway.bytes_taken;
        rig.report(name, time_at(1s));
        cr_assert(gateway.chart == chart_of(20));
        // The first one's chart is not held any more, and it gets the whole.
        cr_assert((gateway.bytes_taken - before < 1500) == (gateway.name != "oldest"), "%s: %zu", name,
                  gateway.bytes_taken - before);
    }
}

Test(gallery, repairs_what_was_lost_and_begins_anew_with_another_life) {
    PublisherFixture rig;
    rig.publisher.publish(chart_of(1));
    rig.report("a", time_at(0s));
    rig.publisher.publish(chart_of(2));
    rig.service_registry.record_heartbeat(send_heartbeat("i", 1), time_at(0s));
    rig.publisher.notify_clients(time_at(0s), rig.messages);
    rig.messages.clear();    // lost with a connection
    rig.service_registry.record_heartbeat(send_heartbeat("jj", 1), time_at(0s));
    rig.publisher.notify_clients(time_at(0s), rig.messages);
    rig.deliver(time_at(0s));
    TestGateway& gateway = rig.pilot("a");
    cr_assert(gateway.chart.version == 1 && gateway.roster.servers().contains("jj") &&
              !gateway.roster.servers().contains("i"));
    rig.report("a", time_at(500ms));
    cr_assert(gateway.chart.version == 2 && gateway.roster.servers().contains("i"));
    rig.service_registry.incarnation(6);
    rig.publisher.set_incarnation(6);
    rig.service_registry.deregister("i", time_at(1s));
    rig.report("a", time_at(1s));
    cr_assert(gateway.incarnation == 6 && gateway.sequence == rig.service_registry.sequence());
    cr_assert(gateway.roster.servers().at("i").state == registry::State::Departed);
}
