#include "cluster/subscription/subscription.h"

#include <algorithm>

#include "cluster/subscription/subscription.capnp.h"

namespace shaletray::subscription {

namespace leaf = boost::leaf;

namespace {

// Size of the first segment of a message: enough for all fields other than data.
constexpr std::size_t kFieldWords = 64;
constexpr std::uint32_t kHalfOfNumbers = std::uint32_t{1} << 31;

ownership::KeySamples read_samples(wire::KeySamples::Reader reader) {
    ownership::KeySamples samples;
    samples.service = reader.getService().cStr();
    for (const ownership::Key key : reader.getKeys()) samples.keys.push_back(key);
    samples.arrivals = reader.getArrivals();
    return samples;
}

void write_samples(const ownership::KeySamples& samples, wire::KeySamples::Builder builder) {
    builder.setService(samples.service.c_str());
    auto keys = builder.initKeys(static_cast<unsigned>(samples.keys.size()));
    for (unsigned i = 0; i < keys.size(); ++i) keys.set(i, samples.keys[i]);
    builder.setArrivals(samples.arrivals);
}

ClientState read_message(wire::ClientState::Reader reader) {
    ClientState client_state;
    client_state.incarnation = reader.getIncarnation();
    client_state.version = reader.getVersion();
    client_state.digest = reader.getDigest();
    client_state.known_incarnation = reader.getKnownIncarnation();
    client_state.known_sequence = reader.getKnownSequence();
    client_state.quota_divisor = reader.getQuotaDivisor();
    client_state.ownership_version = reader.getOwnershipVersion();
    client_state.last_update = reader.getLastUpdate();
    for (const wire::KeySamples::Reader samples : reader.getKeySamples())
        client_state.key_samples.push_back(read_samples(samples));
    return client_state;
}

ControlUpdate read_message(wire::ControlUpdate::Reader reader) {
    ControlUpdate update;
    update.incarnation = reader.getIncarnation();
    update.quorum_confirmed = reader.getQuorumConfirmed();
    update.version = reader.getVersion();
    update.digest = reader.getDigest();
    update.configuration_delta = runtime::text_of(reader.getConfigurationDelta());
    update.since_sequence = reader.getSinceSequence();
    update.sequence = reader.getSequence();
    update.endpoint_changes = runtime::text_of(reader.getEndpointChanges());
    update.ownership_version = reader.getOwnershipVersion();
    update.ownership_since = reader.getOwnershipSince();
    update.ownership_changes = runtime::text_of(reader.getOwnershipChanges());
    update.number = reader.getNumber();
    return update;
}

}    // namespace

bool is_later_update(std::uint32_t number, std::uint32_t other) {
    return number != other && number - other < kHalfOfNumbers;
}

std::uint32_t update_number_after(std::uint32_t number) { return std::max(number + 1, kFirstUpdate); }

std::string encode(const ClientState& client_state) {
    capnp::MallocMessageBuilder message(kFieldWords);
    auto builder = message.initRoot<wire::Message>().initClientState();
    builder.setIncarnation(client_state.incarnation);
    builder.setVersion(client_state.version);
    builder.setDigest(client_state.digest);
    builder.setKnownIncarnation(client_state.known_incarnation);
    builder.setKnownSequence(client_state.known_sequence);
    builder.setQuotaDivisor(client_state.quota_divisor);
    builder.setOwnershipVersion(client_state.ownership_version);
    builder.setLastUpdate(client_state.last_update);
    const auto sample_count = static_cast<unsigned>(client_state.key_samples.size());
    if (sample_count > 0) {
        auto key_samples = builder.initKeySamples(sample_count);
        for (unsigned i = 0; i < sample_count; ++i)
            write_samples(client_state.key_samples[i], key_samples[i]);
    }
    return runtime::pack(message);
}

std::string encode(const ControlUpdate& update) {
    const std::size_t data_bytes =
        update.configuration_delta.size() + update.endpoint_changes.size() + update.ownership_changes.size();
    capnp::MallocMessageBuilder message(
        static_cast<unsigned>(kFieldWords + data_bytes / sizeof(capnp::word)));
    auto builder = message.initRoot<wire::Message>().initControlUpdate();
    builder.setIncarnation(update.incarnation);
    builder.setQuorumConfirmed(update.quorum_confirmed);
    builder.setVersion(update.version);
    builder.setDigest(update.digest);
    if (!update.configuration_delta.empty())
        builder.setConfigurationDelta(runtime::data_of(update.configuration_delta));
    builder.setSinceSequence(update.since_sequence);
    builder.setSequence(update.sequence);
    if (!update.endpoint_changes.empty())
        builder.setEndpointChanges(runtime::data_of(update.endpoint_changes));
    builder.setOwnershipVersion(update.ownership_version);
    builder.setOwnershipSince(update.ownership_since);
    builder.setNumber(update.number);
    if (!update.ownership_changes.empty())
        builder.setOwnershipChanges(runtime::data_of(update.ownership_changes));
    return runtime::pack(message);
}

leaf::result<std::variant<ClientState, ControlUpdate>> decode(std::string_view bytes) {
    return runtime::unpack<wire::Message>(
        bytes, [](wire::Message::Reader message) -> leaf::result<std::variant<ClientState, ControlUpdate>> {
            switch (message.which()) {
                case wire::Message::CLIENT_STATE: return read_message(message.getClientState());
                case wire::Message::CONTROL_UPDATE: return read_message(message.getControlUpdate());
            }
            return leaf::new_error(runtime::MalformedMessage{"neither a ClientState nor a ControlUpdate"});
        });
}

leaf::result<ClientState> decode_client_state(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const client_state = std::get_if<ClientState>(&message)) return *client_state;
    return leaf::new_error(runtime::MalformedMessage{"not a ClientState"});
}

leaf::result<ControlUpdate> decode_control_update(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const update = std::get_if<ControlUpdate>(&message)) return std::move(*update);
    return leaf::new_error(runtime::MalformedMessage{"not a ControlUpdate"});
}

}    // namespace shaletray::subscription
