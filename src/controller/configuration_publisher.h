// Builds the updates for gateways: for each gateway that has reported its state, the difference between that
// state and the newest configuration, registry and ownership table. Pure.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/ownership/ownership_table.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"
#include "controller/unconfirmed_updates.h"

namespace shaletray::controller {

// Keeps the newest versions of the configuration. A gateway that has one of them receives a delta, any other
// gateway the full configuration. The registry is only read and must outlive the publisher.
class ConfigurationPublisher {
public:
    struct Settings {
        std::uint64_t incarnation = 0;
        std::size_t max_versions = 16;    // kept as bases of deltas
        // A gateway that has reported within this time receives changes without asking.
        Duration active_window = std::chrono::seconds(3);
        Duration expiry_timeout = std::chrono::seconds(30);    // a gateway silent for longer is removed
    };
    struct OutgoingMessage {
        std::string to, bytes;
    };
    ConfigurationPublisher(Settings settings, const registry::ServiceRegistry& service_registry)
        : settings_(settings), registry_(service_registry) {}

    // Sets this controller's new, higher incarnation; gateways then receive the whole registry again.
    void set_incarnation(std::uint64_t incarnation);
    // Publishes the newest committed configuration. Its version must be above all published before.
    void publish(configuration::Configuration new_configuration);
    // Publishes the newest committed ownership table.
    void publish(const ownership::OwnershipTable& table) { ownership_table_ = table; }
    // Version of the newest configuration; 0 if there is none yet.
    std::uint64_t version() const { return versions_.empty() ? 0 : versions_.back().snapshot->version; }
    // Sets whether later updates state that this controller is in contact with a majority of the voters.
    void set_quorum_confirmed(bool is_confirmed) { quorum_confirmed_ = is_confirmed; }
    // Responds to a gateway's report with an update, even if nothing has changed for it.
    void on_client_state(const std::string& from, const subscription::ClientState& client_state,
                         TimePoint now, std::vector<OutgoingMessage>& messages);
    // Sends an update to every active gateway that is behind.
    void notify_clients(TimePoint now, std::vector<OutgoingMessage>& messages);
    std::size_t gateway_count() const { return clients_.size(); }

private:
    struct PublishedVersion {
        std::shared_ptr<const configuration::Configuration> snapshot;
        std::uint64_t digest = 0;
    };
    struct Client {
        std::uint64_t incarnation = 0;
        GatewayPosition position;    // once it has received what it was sent
        UnconfirmedUpdates unconfirmed;
        TimePoint last_contact{};
    };
    // Update for all clients at the same position.
    struct SharedUpdate {
        std::string bytes;
        std::uint32_t number = 0;
        GatewayPosition position_after;
    };
    using SharedUpdates = std::map<GatewayPosition, SharedUpdate>;

    bool is_behind(const GatewayPosition& position) const;
    const SharedUpdate& shared_update(const GatewayPosition& position, SharedUpdates& updates, TimePoint now);
    // The last update of this incarnation that the gateway reports, and its position.
    std::uint32_t reported_update(const subscription::ClientState& client_state) const;
    GatewayPosition reported_position(const subscription::ClientState& client_state) const;
    // Advances the position to the state after the update, which has the number last_number_.
    std::string make_update(GatewayPosition& position, TimePoint now);
    const std::string& delta_from(std::uint64_t version, std::uint64_t digest);

    Settings settings_;
    const registry::ServiceRegistry& registry_;
    std::deque<PublishedVersion> versions_;    // newest last
    // Deltas to the newest version, by the version and digest they start from; each is built once.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> deltas_;
    std::map<std::string, Client> clients_;    // by the gateway's address
    bool quorum_confirmed_ = false;
    ownership::OwnershipTable ownership_table_;
    std::uint32_t last_number_ = subscription::kNoUpdate;    // of an update to any gateway
};

}    // namespace shaletray::controller
