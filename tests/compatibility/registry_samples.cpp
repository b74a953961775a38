// Samples of the service registry's updates, of their relay between controllers, and of the messages between
// controllers and gateways.
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

const std::string kSender = "10.1.0.24:7100", kOther = "10.1.0.25:7100", kReader = "10.2.0.24:7100";
constexpr std::uint64_t kSenderIncarnation = 41, kOtherIncarnation = 52, kOtherNextIncarnation = 53,
                        kReaderIncarnation = 90;
constexpr TimePoint kStart{1'000'000s}, kReceivedAt = kStart + 14s;

Server server(const std::string& id, const std::string& address, State state, std::uint64_t call_count) {
    return {id, "orders", address, "room-a", "r17", 3, state, call_count, 0ms, {}};
}

ServiceRegistry make_sender() {
    ServiceRegistry sender({kSender, kSenderIncarnation});
    ServiceRegistry other({kOther, kOtherIncarnation}), other_again({kOther, kOtherNextIncarnation});
    sender.record_heartbeat({server("lost", "10.3.0.1:80", State::InService, 4)}, kStart);
    sender.record_heartbeat({server("leaves", "10.3.0.2:80", State::InService, 5)}, kStart);
    sender.tick(kStart + 6s);
    sender.deregister("leaves", kStart + 7s);
    sender.deregister("never-called", kStart + 8s);
    // Owned by an incarnation of another controller that has ended since.
    other.record_heartbeat({server("elsewhere", "10.3.0.3:80", State::Draining, 6)}, kStart + 9s);
    sender.merge_changes(kOther, other.encode_changes(0, true, kStart + 10s), kStart + 10s);
    sender.merge_changes(kOther, other_again.encode_changes(0, true, kStart + 11s), kStart + 11s);
    Server warming = server("warming", "10.3.0.4:80", State::InService, 1);
    warming.service = "search";
    warming.zone = "room-b";
    warming.revision = "";
    warming.capacity = 200;
    warming.slow_start_left = 17'250ms;
    sender.record_heartbeat({warming}, kStart + 12'125ms);
    return sender;
}

std::string fields_of(std::uint64_t malformed, std::uint64_t known,
                      const std::map<std::string, Server>& servers) {
    FieldList fields;
    fields.add("spoilt", malformed).add("known", known);
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
    ServiceRegistry reader({kReader, kReaderIncarnation});
    reader.merge_changes(kSender, bytes, kReceivedAt);
    return fields_of(reader.malformed_messages(), reader.known_sequence(kSender, kSenderIncarnation),
                     reader.servers());
}

// What a reader passes on shows all that it took from the changes, also what its servers() do not show.
std::string forward(std::string_view changes) {
    ServiceRegistry reader({kReader, kReaderIncarnation});
    reader.merge_changes(kSender, changes, kReceivedAt);
    return reader.encode_changes(0, false, kReceivedAt + 250ms);
}

std::map<std::string, Server> servers_of(const ServiceRegistry& sender, const std::vector<std::string>& ids) {
    std::map<std::string, Server> found;
    for (const std::string& id : ids) found.emplace(id, sender.servers().at(id));
    return found;
}

std::string read_forwarded(std::string_view bytes) {
    ServiceRegistry reader({kOther, kOtherNextIncarnation});
    reader.merge_changes(kReader, bytes, kReceivedAt + 250ms);
    return fields_of(reader.malformed_messages(), reader.known_sequence(kReader, kReaderIncarnation),
                     reader.servers());
}

std::vector<MessageSample> change_samples() {
    const ServiceRegistry sender = make_sender();
    const std::string all = sender.encode_changes(0, false, kReceivedAt),
                      own = make_sender().encode_changes(0, true, kReceivedAt);
    const std::uint64_t sequence = sender.sequence();
    const auto owned = servers_of(sender, {"leaves", "lost", "never-called", "warming"});
    const std::uint64_t forwarded_sequence = sender.servers().size();    // one change each
    return {{"registry-all", all, fields_of(0, sequence, sender.servers()), read_changes},
            {"registry-own", own, fields_of(0, sequence, owned), read_changes},
            {"registry-latest", make_sender().encode_changes(sequence - 1, false, kReceivedAt),
             fields_of(0, 0, servers_of(sender, {"warming"})), read_changes},
            {"registry-unchanged", make_sender().encode_changes(sequence, false, kReceivedAt),
             fields_of(0, 0, {}), read_changes},
            {"registry-told-on", forward(all), fields_of(0, forwarded_sequence, sender.servers()),
             read_forwarded}};
}

std::string fields_of_relay(std::uint64_t known_incarnation, std::uint64_t known_sequence,
                            const std::string& changes, std::uint64_t malformed, std::size_t servers) {
    FieldList fields;
    fields.add("known_life", known_incarnation).add("known_sequence", known_sequence);
    fields.add("relay.spoilt", malformed).add("relay.servers", servers);
    return fields.text() + changes;
}

std::string read_relay(std::string_view bytes) {
    // The relay reads the same servers from it as the registry.
    ServiceRegistry reader({kReader, kReaderIncarnation});
    controller::RegistryForwarder relay(reader);
    relay.on_message(kSender, kSenderIncarnation, bytes, kReceivedAt);
    const auto fields = runtime::unpack<controller::wire::RegistryUpdate>(
        bytes, [&](controller::wire::RegistryUpdate::Reader read) -> boost::leaf::result<std::string> {
            return fields_of_relay(read.getKnownIncarnation(), read.getKnownSequence(),
                                   read_changes(runtime::text_of(read.getChanges())),
                                   relay.malformed_messages(), reader.servers().size());
        });
    return fields ? *fields : std::string(kUnreadable);
}

std::vector<MessageSample> relay_samples() {
    ServiceRegistry sender = make_sender();
    const std::uint64_t sequence = sender.sequence();
    controller::RegistryForwarder relay(sender);
    relay.set_peers({kReader});
    std::vector<controller::RegistryForwarder::OutgoingMessage> first, later;
    relay.send_changes(kReceivedAt, first);
    ServiceRegistry reader({kReader, kReaderIncarnation});
    reader.record_heartbeat({server("remote", "10.3.0.9:80", State::InService, 2)}, kReceivedAt);
    controller::RegistryForwarder reply(reader);
    reply.set_peers({kSender});
    std::vector<controller::RegistryForwarder::OutgoingMessage> replies;
    reply.on_message(kSender, kSenderIncarnation, first.at(0).bytes, kReceivedAt);
    reply.send_changes(kReceivedAt, replies);
    relay.on_message(kReader, kReaderIncarnation, replies.at(0).bytes, kReceivedAt);
    relay.tick(kReceivedAt, later);
    const auto own = servers_of(sender, {"leaves", "lost", "never-called", "warming"});
    return {{"registry-relay-first", first.at(0).bytes,
             fields_of_relay(0, 0, fields_of(0, sequence, own), 0, own.size()), read_relay},
            // An incarnation that was not known before is sent all changes.
            {"registry-relay-later", later.at(0).bytes,
             fields_of_relay(kReaderIncarnation, reader.sequence(), fields_of(0, sender.sequence(), own), 0,
                             own.size()),
             read_relay}};
}

std::string fields_of(const subscription::ClientState& client_state) {
    FieldList fields;
    fields.within("have");
    fields.add("life", client_state.incarnation)
        .add("version", client_state.version)
        .add("digest", client_state.digest);
    fields.add("known_life", client_state.known_incarnation)
        .add("known_sequence", client_state.known_sequence);
    fields.add("counts", client_state.quota_divisor);
    fields.add("owners", client_state.ownership_version);
    if (client_state.last_update != subscription::kNotTold)
        fields.add("last_update", client_state.last_update);
    for (const ownership::KeySamples& samples : client_state.key_samples) {
        fields.add("service", samples.service).add("arrivals", samples.arrivals);
        for (const ownership::Key key : samples.keys) fields.add("key", key);
    }
    return fields.text();
}

std::string fields_of(const subscription::ControlUpdate& update) {
    FieldList fields;
    fields.within("news");
    fields.add("life", update.incarnation)
        .add("confirmed", update.quorum_confirmed)
        .add("version", update.version);
    fields.add("digest", update.digest)
        .add("update", update.configuration_delta)
        .add("since", update.since_sequence);
    fields.add("sequence", update.sequence).add("servers", update.endpoint_changes);
    fields.add("owners_version", update.ownership_version).add("owners_since", update.ownership_since);
    if (update.number != subscription::kNotTold) fields.add("number", update.number);
    return fields.add("owners", update.ownership_changes).text();
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

// What the encoding of a sample has gone through: earlier recordings are only read, the last one is written.
std::vector<std::string> versions_of(const std::string& name) {
    // At first every update with entries listed all owners; then only those that the entries need.
    if (name == "registry-own" || name == "registry-latest") return {name, name + "-needed-owners"};
    // Relayed updates then got a field by which the sender asks for an acknowledgement.
    if (name.starts_with("registry-relay-")) return {name, name + "-needed-owners", name + "-acknowledging"};
    // Then gateways were told who owns which shard keys, and told which keys their requests ask for.
    if (name == "watch-have-of-owners") return {name, name + "-with-samples"};
    if (name == "watch-have" || name == "watch-have-nothing")
        return {name, name + "-with-owners", name + "-with-samples"};
    if (name == "watch-have-of-samples" || name.ends_with("-of-numbers")) return {name};
    if (name.starts_with("watch-") && !name.ends_with("-of-owners")) return {name, name + "-with-owners"};
    return {name};
}

}    // namespace

std::vector<MessageSample> registry_samples() {
    std::vector<MessageSample> samples = change_samples();
    for (auto& sample : relay_samples()) samples.push_back(std::move(sample));
    return in_all_versions(samples, versions_of);
}

std::vector<MessageSample> watch_samples() {
    const subscription::ClientState nothing_yet{1700000001, 0, 0, 0, 0, 0};
    const subscription::ClientState client_state{1700000001, 41, 0xa1b2c3d4e5f60718, 1700000002, 99, 12};
    const subscription::ControlUpdate unchanged{1700000002, true, 41, 0xa1b2c3d4e5f60718, "", 99, 99, ""};
    const subscription::ControlUpdate unconfirmed{1700000002, false, 0, 0, "", 0, 0, ""};
    const subscription::ControlUpdate update{1700000002,
                                             true,
                                             42,
                                             0x18f6e5d4c3b2a1,
                                             std::string("update\0\xff", 8),
                                             99,
                                             104,
                                             "changes of the registry"};
    subscription::ClientState owners_known = client_state;
    owners_known.ownership_version = 17;
    subscription::ClientState samples_taken = owners_known;
    samples_taken.key_samples = {{"saves", {0, 65535, 4711}, 12}, {"items", {7}, 1}};
    subscription::ControlUpdate owners = unchanged;
    owners.ownership_version = 19;
    owners.ownership_since = 17;
    owners.ownership_changes = "rows of owners";
    subscription::ClientState numbers_known = client_state;
    numbers_known.last_update = 23;
    subscription::ControlUpdate numbered = unchanged;
    numbered.number = 24;
    return in_all_versions(
        {watch_sample("have-nothing", nothing_yet), watch_sample("have", client_state),
         watch_sample("news-unchanged", unchanged), watch_sample("news-unconfirmed", unconfirmed),
         watch_sample("news", update), watch_sample("have-of-owners", owners_known),
         watch_sample("have-of-samples", samples_taken), watch_sample("news-of-owners", owners),
         watch_sample("have-of-numbers", numbers_known), watch_sample("news-of-numbers", numbered)},
        versions_of);
}

}    // namespace shaletray::compatibility
