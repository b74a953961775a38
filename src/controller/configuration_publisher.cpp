#include "controller/configuration_publisher.h"

#include <algorithm>

#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_update.h"

namespace shaletray::controller {

void ConfigurationPublisher::publish(configuration::Configuration new_configuration) {
    deltas_.clear();
    PublishedVersion published;
    published.digest = configuration::digest_of(new_configuration);
    if (!versions_.empty()) {
        // Applying the delta lets the versions share all unchanged rows. The delta is needed anyway, as most
        // gateways have the previous version.
        const PublishedVersion& previous = versions_.back();
        std::string delta = configuration::write_delta(*previous.snapshot, new_configuration);
        if (auto shared = configuration::apply_update(*previous.snapshot, delta)) {
            new_configuration = std::move(*shared);
            deltas_.emplace(std::pair(previous.snapshot->version, previous.digest), std::move(delta));
        }
    }
    published.snapshot = std::make_shared<const configuration::Configuration>(std::move(new_configuration));
    versions_.push_back(std::move(published));
    if (versions_.size() > settings_.max_versions) versions_.pop_front();
}

const std::string& ConfigurationPublisher::delta_from(std::uint64_t version, std::uint64_t digest) {
    const auto [entry, is_new] = deltas_.try_emplace({version, digest});
    if (!is_new) return entry->second;
    const auto base =
        std::find_if(versions_.begin(), versions_.end(), [&](const PublishedVersion& published) {
            return published.snapshot->version == version && published.digest == digest;
        });
    entry->second = base == versions_.end()
                        ? configuration::write_full(*versions_.back().snapshot)
                        : configuration::write_delta(*base->snapshot, *versions_.back().snapshot);
    return entry->second;
}

std::string ConfigurationPublisher::make_update(GatewayPosition& position, TimePoint now) {
    subscription::ControlUpdate update;
    last_number_ = subscription::update_number_after(last_number_);
    update.number = last_number_;
    update.incarnation = settings_.incarnation;
    update.quorum_confirmed = quorum_confirmed_;
    if (!versions_.empty()) {
        update.version = version();
        update.digest = versions_.back().digest;
        if (position.version < update.version) {
            update.configuration_delta = delta_from(position.version, position.digest);
            position.version = update.version;
            position.digest = update.digest;
        }
    }
    update.since_sequence = position.sequence;
    update.sequence = registry_.sequence();
    // Even without a change, the encoding shows which controllers run.
    update.endpoint_changes = registry_.encode_changes(update.since_sequence, false, now);
    position.sequence = update.sequence;
    update.ownership_version = ownership_table_.version;
    if (position.ownership_version < update.ownership_version) {
        update.ownership_since = position.ownership_version;
        update.ownership_changes = ownership::encode_changes(ownership_table_, position.ownership_version);
        position.ownership_version = update.ownership_version;
    }
    return subscription::encode(update);
}

void ConfigurationPublisher::set_incarnation(std::uint64_t incarnation) {
    settings_.incarnation = incarnation;
    for (auto& [address, client] : clients_) {
        client.position.sequence = 0;
        client.unconfirmed.clear();
    }
}

std::uint32_t ConfigurationPublisher::reported_update(const subscription::ClientState& client_state) const {
    const bool is_known_incarnation = client_state.known_incarnation == settings_.incarnation;
    if (is_known_incarnation || client_state.last_update == subscription::kNotTold)
        return client_state.last_update;
    return subscription::kNoUpdate;
}

GatewayPosition ConfigurationPublisher::reported_position(
    const subscription::ClientState& client_state) const {
    const bool is_known_incarnation = client_state.known_incarnation == settings_.incarnation;
    return {client_state.version, client_state.digest,
            is_known_incarnation ? std::min(client_state.known_sequence, registry_.sequence()) : 0,
            client_state.ownership_version};
}

void ConfigurationPublisher::on_client_state(const std::string& from,
                                             const subscription::ClientState& client_state, TimePoint now,
                                             std::vector<OutgoingMessage>& messages) {
    Client& client = clients_[from];
    if (client.incarnation != client_state.incarnation) client.unconfirmed.clear();
    client.incarnation = client_state.incarnation;
    client.position =
        client.unconfirmed.on_report(reported_update(client_state), reported_position(client_state));
    client.last_contact = now;
    messages.push_back({from, make_update(client.position, now)});
    client.unconfirmed.record_sent(last_number_, client.position);
}

bool ConfigurationPublisher::is_behind(const GatewayPosition& position) const {
    return position.version < version() || position.sequence < registry_.sequence() ||
           position.ownership_version < ownership_table_.version;
}

void ConfigurationPublisher::notify_clients(TimePoint now, std::vector<OutgoingMessage>& messages) {
    std::erase_if(clients_, [&](const auto& entry) {
        return now - entry.second.last_contact > settings_.expiry_timeout;
    });
    SharedUpdates updates;
    for (auto& [address, client] : clients_) {
        const bool is_active = now - client.last_contact <= settings_.active_window;
        if (!is_active || !is_behind(client.position)) continue;
        const SharedUpdate& update = shared_update(client.position, updates, now);
        client.position = update.position_after;
        client.unconfirmed.record_sent(update.number, client.position);
        messages.push_back({address, update.bytes});
    }
}

const ConfigurationPublisher::SharedUpdate& ConfigurationPublisher::shared_update(
    const GatewayPosition& position, SharedUpdates& updates, TimePoint now) {
    const auto [entry, is_new] = updates.try_emplace(position);
    SharedUpdate& update = entry->second;
    if (is_new) {
        update.position_after = position;
        update.bytes = make_update(update.position_after, now);
        update.number = last_number_;
    }
    return update;
}

}    // namespace shaletray::controller
