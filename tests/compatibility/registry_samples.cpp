// Changes of the service registry, their relay between coordinators, and what coordinators and gateways tell
// each other.
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"
#include "controller/registry_forwarder.capnp.h"
#include "controller/registry_forwarder.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using registry::Server;
using registry::ServiceRegistry;
using registry::State;

const std::string kTeller = "10.1.0.24:7100", kOther = "10.1.0.25:7100", kReader = "10.2.0.24:7100";
constexpr std::uint64_t kTellerLife = 41, kOtherLife = 52, kOtherNextLife = 53, kReaderLife = 90;
constexpr TimePoint kStart{1'000'000s}, kTold = kStart + 14s;

Server server(const std::string& id, const std::string& address, State state, std::uint64_t calls) {
    return {id, "orders", address, "room-a", "r17", 3, state, calls, 0ms, {}};
}

ServiceRegistry teller() {
    ServiceRegistry muster({kTeller, kTellerLife});
    ServiceRegistry other({kOther, kOtherLife}), other_again({kOther, kOtherNextLife});
    muster.record_heartbeat({server("lost", "10.3.0.1:80", State::InService, 4)}, kStart);
    muster.record_heartbeat({server("leaves", "10.3.0.2:80", State::InService, 5)}, kStart);
    muster.tick(kStart + 6s);
    muster.deregister("leaves", kStart + 7s);
    muster.deregister("never-called", kStart + 8s);
    // Kept by a life of another coordinator that ended since.
    other.record_heartbeat({server("elsewhere", "10.3.0.3:80", State::Draining, 6)}, kStart + 9s);
    muster.merge_changes(kOther, other.encode_changes(0, true, kStart + 10s), kStart + 10s);
    muster.merge_changes(kOther, other_again.encode_changes(0, true, kStart + 11s), kStart + 11s);
    Server warming = server("warming", "10.3.0.4:80", State::InService, 1);
    warming.service = "search";
    warming.zone = "room-b";
    warming.revision = "";
    warming.capacity = 200;
    warming.slow_start_left = 17'250ms;
    muster.record_heartbeat({warming}, kStart + 12'125ms);
    return muster;
}

std::string fields_of(std::uint64_t spoilt, std::uint64_t known,
                      const std::map<std::string, Server>& servers) {
    FieldList fields;
    fields.add("spoilt", spoilt).add("known", known);
    for (const auto& [id, server] : servers) {
        fields.within(id);
        fields.add("id", server.id).add("service", server.service).add("address", server.address);
        fields.add("zone", server.zone).add("revision", server.revision);
        fields.add("capacity", server.capacity).add("state", server.state);
        fields.add("calls", server.call_count)
            .add("ramp_left", server.slow_start_left)
            .add("at", server.last_called_at);
    }
    return fields.text();
}

std::string read_changes(std::string_view bytes) {
    ServiceRegistry reader({kReader, kReaderLife});
    reader.merge_changes(kTeller, bytes, kTold);
    return fields_of(reader.malformed_messages(), reader.known_sequence(kTeller, kTellerLife),
                     reader.servers());
}

// What a reader tells on shows all that it took from the changes, also what it keeps to itself.
std::string told_on(std::string_view changes) {
    ServiceRegistry reader({kReader, kReaderLife});
    reader.merge_changes(kTeller, changes, kTold);
    return reader.encode_changes(0, false, kTold + 250ms);
}

std::map<std::string, Server> servers_of(const ServiceRegistry& muster, const std::vector<std::string>& ids) {
    std::map<std::string, Server> found;
    for (const std::string& id : ids) found.emplace(id, muster.servers().at(id));
    return found;
}

std::string read_told_on(std::string_view bytes) {
    ServiceRegistry reader({kOther, kOtherNextLife});
    reader.merge_changes(kReader, bytes, kTold + 250ms);
    return fields_of(reader.malformed_messages(), reader.known_sequence(kReader, kReaderLife),
                     reader.servers());
}

std::vector<MessageSample> change_samples() {
    const ServiceRegistry muster = teller();
    const std::string all = muster.encode_changes(0, false, kTold),
                      own = teller().encode_changes(0, true, kTold);
    const std::uint64_t sequence = muster.sequence();
    const auto kept = servers_of(muster, {"leaves", "lost", "never-called", "warming"});
    const std::uint64_t told_on_sequence = muster.servers().size();    // one change each
    return {
        {"registry-all", all, fields_of(0, sequence, muster.servers()), read_changes},
        {"registry-own", own, fields_of(0, sequence, kept), read_changes},
        {"registry-latest", teller().encode_changes(sequence - 1, false, kTold),
         fields_of(0, 0, servers_of(muster, {"warming"})), read_changes},
        {"registry-unchanged", teller().encode_changes(sequence, false, kTold), fields_of(0, 0, {}),
         read_changes},
        {"registry-told-on", told_on(all), fields_of(0, told_on_sequence, muster.servers()), read_told_on}};
}

std::string fields_of_relay(std::uint64_t known_life, std::uint64_t known_sequence,
                            const std::string& changes, std::uint64_t spoilt, std::size_t servers) {
    FieldList fields;
    fields.add("known_life", known_life).add("known_sequence", known_sequence);
    fields.add("relay.spoilt", spoilt).add("relay.servers", servers);
    return fields.text() + changes;
}

std::string read_relay(std::string_view bytes) {
    // The relay takes the same servers from it as the registry does.
    ServiceRegistry reader({kReader, kReaderLife});
    controller::RegistryForwarder relay(reader);
    relay.on_message(kTeller, kTellerLife, bytes, kTold);
    const auto fields = runtime::unpack<controller::wire::Relay>(
        bytes, [&](controller::wire::Relay::Reader read) -> boost::leaf::result<std::string> {
            return fields_of_relay(read.getKnownLife(), read.getKnownSequence(),
                                   read_changes(runtime::text_of(read.getWords())),
                                   relay.malformed_messages(), reader.servers().size());
        });
    return fields ? *fields : std::string(kUnreadable);
}

std::vector<MessageSample> relay_samples() {
    ServiceRegistry muster = teller();
    const std::uint64_t sequence = muster.sequence();
    controller::RegistryForwarder relay(muster);
    relay.set_peers({kReader});
    std::vector<controller::RegistryForwarder::OutgoingMessage> first, later;
    relay.send_changes(kTold, first);
    ServiceRegistry reader({kReader, kReaderLife});
    reader.record_heartbeat({server("remote", "10.3.0.9:80", State::InService, 2)}, kTold);
    controller::RegistryForwarder reply(reader);
    reply.set_peers({kTeller});
    std::vector<controller::RegistryForwarder::OutgoingMessage> replies;
    reply.on_message(kTeller, kTellerLife, first.at(0).bytes, kTold);
    reply.send_changes(kTold, replies);
    relay.on_message(kReader, kReaderLife, replies.at(0).bytes, kTold);
    relay.tick(kTold, later);
    const auto own = servers_of(muster, {"leaves", "lost", "never-called", "warming"});
    return {
        {"registry-relay-first", first.at(0).bytes,
         fields_of_relay(0, 0, fields_of(0, sequence, own), 0, own.size()), read_relay},
        // To a life that was not heard before all is told anew.
        {"registry-relay-later", later.at(0).bytes,
         fields_of_relay(kReaderLife, reader.sequence(), fields_of(0, muster.sequence(), own), 0, own.size()),
         read_relay}};
}

std::string fields_of(const subscription::ClientState& have) {
    FieldList fields;
    fields.within("have");
    fields.add("life", have.incarnation).add("version", have.version).add("digest", have.digest);
    fields.add("known_life", have.known_incarnation).add("known_sequence", have.known_sequence);
    return fields.add("counts", have.quota_divisor).text();
}

std::string fields_of(const subscription::ControlUpdate& news) {
    FieldList fields;
    fields.within("news");
    fields.add("life", news.incarnation).add("confirmed", news.quorum_confirmed).add("version", news.version);
    fields.add("digest", news.digest)
        .add("update", news.configuration_delta)
        .add("since", news.since_sequence);
    return fields.add("sequence", news.sequence).add("servers", news.endpoint_changes).text();
}

std::string read_watch(std::string_view bytes) {
    const auto message = subscription::decode(bytes);
    if (!message) return std::string(kUnreadable);
    return std::visit([](const auto& read) { return fields_of(read); }, *message);
}

template <class Message>
MessageSample watch_sample(const std::string& name, const Message& message) {
    return {"watch-" + name, encode(message), fields_of(message), read_watch};
}

}    // namespace

std::vector<MessageSample> registry_samples() {
    std::vector<MessageSample> all = change_samples();
    for (auto& sample : relay_samples()) all.push_back(std::move(sample));
    return all;
}

std::vector<MessageSample> watch_samples() {
    const subscription::ClientState nothing_yet{1700000001, 0, 0, 0, 0, 0};
    const subscription::ClientState have{1700000001, 41, 0xa1b2c3d4e5f60718, 1700000002, 99, 12};
    const subscription::ControlUpdate unchanged{1700000002, true, 41, 0xa1b2c3d4e5f60718, "", 99, 99, ""};
    const subscription::ControlUpdate unconfirmed{1700000002, false, 0, 0, "", 0, 0, ""};
    const subscription::ControlUpdate news{1700000002,
                                           true,
                                           42,
                                           0x18f6e5d4c3b2a1,
                                           std::string("update\0\xff", 8),
                                           99,
                                           104,
                                           "changes of the registry"};
    return {watch_sample("have-nothing", nothing_yet), watch_sample("have", have),
            watch_sample("news-unchanged", unchanged), watch_sample("news-unconfirmed", unconfirmed),
            watch_sample("news", news)};
}

}    // namespace shaletray::compatibility
