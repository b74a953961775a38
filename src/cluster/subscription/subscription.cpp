#include "cluster/subscription/subscription.h"

#include "cluster/subscription/subscription.capnp.h"

namespace shaletray::subscription {
namespace {

namespace leaf = boost::leaf;

ClientState read_message(wire::Have::Reader reader) {
    ClientState client_state;
    client_state.incarnation = reader.getLife();
    client_state.version = reader.getVersion();
    client_state.digest = reader.getDigest();
    client_state.known_incarnation = reader.getKnownLife();
    client_state.known_sequence = reader.getKnownSequence();
    client_state.quota_divisor = reader.getCounts();
    return client_state;
}

ControlUpdate read_message(wire::News::Reader reader) {
    ControlUpdate update;
    update.incarnation = reader.getLife();
    update.quorum_confirmed = reader.getConfirmed();
    update.version = reader.getVersion();
    update.digest = reader.getDigest();
    update.configuration_delta = runtime::text_of(reader.getUpdate());
    update.since_sequence = reader.getSince();
    update.sequence = reader.getSequence();
    update.endpoint_changes = runtime::text_of(reader.getServers());
    return update;
}

}    // namespace

std::string encode(const ClientState& client_state) {
    capnp::MallocMessageBuilder message(64);
    auto builder = message.initRoot<wire::Message>().initHave();
    builder.setLife(client_state.incarnation);
    builder.setVersion(client_state.version);
    builder.setDigest(client_state.digest);
    builder.setKnownLife(client_state.known_incarnation);
    builder.setKnownSequence(client_state.known_sequence);
    builder.setCounts(client_state.quota_divisor);
    return runtime::pack(message);
}

std::string encode(const ControlUpdate& update) {
    capnp::MallocMessageBuilder message(static_cast<unsigned>(
        64 + (update.configuration_delta.size() + update.endpoint_changes.size()) / sizeof(capnp::word)));
    auto builder = message.initRoot<wire::Message>().initNews();
    builder.setLife(update.incarnation);
    builder.setConfirmed(update.quorum_confirmed);
    builder.setVersion(update.version);
    builder.setDigest(update.digest);
    if (!update.configuration_delta.empty()) builder.setUpdate(runtime::data_of(update.configuration_delta));
    builder.setSince(update.since_sequence);
    builder.setSequence(update.sequence);
    if (!update.endpoint_changes.empty()) builder.setServers(runtime::data_of(update.endpoint_changes));
    return runtime::pack(message);
}

leaf::result<std::variant<ClientState, ControlUpdate>> decode(std::string_view bytes) {
    return runtime::unpack<wire::Message>(
        bytes, [](wire::Message::Reader message) -> leaf::result<std::variant<ClientState, ControlUpdate>> {
            switch (message.which()) {
                case wire::Message::HAVE: return read_message(message.getHave());
                case wire::Message::NEWS: return read_message(message.getNews());
            }
            return leaf::new_error(runtime::MalformedMessage{"neither Have nor News"});
        });
}

leaf::result<ClientState> decode_client_state(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const client_state = std::get_if<ClientState>(&message)) return *client_state;
    return leaf::new_error(runtime::MalformedMessage{"not a Have"});
}

leaf::result<ControlUpdate> decode_control_update(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const update = std::get_if<ControlUpdate>(&message)) return std::move(*update);
    return leaf::new_error(runtime::MalformedMessage{"not News"});
}

}    // namespace shaletray::subscription
