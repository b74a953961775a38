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
        // What a patch leads to shares the rows that it leaves alone, and most pilots hold the one before.
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

std::string ConfigurationPublisher::make_update(Client& client, TimePoint now) {
    subscription::ControlUpdate update;
    update.incarnation = settings_.incarnation;
    update.quorum_confirmed = quorum_confirmed_;
    if (!versions_.empty()) {
        update.version = version();
        update.digest = versions_.back().digest;
        if (client.version < update.version) {
            update.configuration_delta = delta_from(client.version, client.digest);
            client.version = update.version;
            client.digest = update.digest;
        }
    }
    update.since_sequence = client.sequence;
    update.sequence = registry_.sequence();
    update.endpoint_changes = registry_.encode_changes(update.since_sequence, false,
                                                       now);    // with no change it still tells who runs
    client.sequence = update.sequence;
    return subscription::encode(update);
}

void ConfigurationPublisher::on_client_state(const std::string& from,
                                             const subscription::ClientState& client_state, TimePoint now,
                                             std::vector<OutgoingMessage>& messages) {
    Client& client = clients_[from];
    client.version = client_state.version;
    client.digest = client_state.digest;
    client.sequence = client_state.known_incarnation == settings_.incarnation
                          ? std::min(client_state.known_sequence, registry_.sequence())
                          : 0;
    client.last_contact = now;
    messages.push_back({from, make_update(client, now)});
}

void ConfigurationPublisher::notify_clients(TimePoint now, std::vector<OutgoingMessage>& messages) {
    std::map<ClientPosition, std::pair<std::string, Client>> updates;    // most stand at the same point
    for (auto entry = clients_.begin(); entry != clients_.end();) {
        Client& client = entry->second;
        if (now - client.last_contact > settings_.expiry_timeout) {
            entry = clients_.erase(entry);
            continue;
        }
        const bool is_behind = client.version < version() || client.sequence < registry_.sequence();
        if (is_behind && now - client.last_contact <= settings_.active_window) {
            auto& [bytes, updated_client] = updates[{client.version, client.digest, client.sequence}];
            if (bytes.empty()) {
                bytes = make_update(client, now);
                updated_client = client;
            }
            client = {updated_client.version, updated_client.digest, updated_client.sequence,
                      client.last_contact};
            messages.push_back({entry->first, bytes});
        }
        ++entry;
    }
}

}    // namespace shaletray::controller
