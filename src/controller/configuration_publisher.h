// Makes the updates that gateways receive: for each that has reported, the difference between what it has and
// the newest configuration and registry. Pure.
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

namespace shaletray::controller {

// Keeps the newest versions of the configuration, so that gateways which hold one of them are sent a delta;
// all others get the full text. The registry is only read, and has to outlive the publisher.
class ConfigurationPublisher {
public:
    struct Settings {
        std::uint64_t incarnation = 0;
        std::size_t max_versions = 16;    // kept to make deltas from
        // Gateways that reported within this time are sent changes unasked.
        Duration active_window = std::chrono::seconds(3);
        Duration expiry_timeout = std::chrono::seconds(30);    // after which a silent gateway is forgotten
    };
    struct OutgoingMessage {
        std::string to, bytes;
    };
    ConfigurationPublisher(Settings settings, const registry::ServiceRegistry& service_registry)
        : settings_(settings), registry_(service_registry) {}

    // This controller's incarnation has risen: gateways are sent the whole registry again.
    void set_incarnation(std::uint64_t incarnation) { settings_.incarnation = incarnation; }
    // The newest committed configuration; its version is above all that were published before.
    void publish(configuration::Configuration new_configuration);
    // The newest committed ownership table.
    void publish(const ownership::OwnershipTable& table) { ownership_table_ = table; }
    // Of the newest configuration; 0: there is none yet.
    std::uint64_t version() const { return versions_.empty() ? 0 : versions_.back().snapshot->version; }
    // What the updates from now on say about this controller's contact with a majority of the voters.
    void set_quorum_confirmed(bool is_confirmed) { quorum_confirmed_ = is_confirmed; }
    // Answers a gateway's report with an update, also where nothing is new to it.
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
    // What a gateway has, as it reported or as it was sent since.
    struct ClientPosition {
        std::uint64_t version = 0, digest = 0;    // of its configuration
        std::uint64_t sequence = 0;               // of the registry
        std::uint64_t ownership_version = 0;
        auto operator<=>(const ClientPosition&) const = default;
    };
    struct Client {
        ClientPosition position;
        TimePoint last_contact{};
    };
    // The same for all clients at one position.
    struct SharedUpdate {
        std::string bytes;
        ClientPosition position_after;
    };
    using SharedUpdates = std::map<ClientPosition, SharedUpdate>;

    bool is_behind(const ClientPosition& position) const;
    const SharedUpdate& shared_update(const ClientPosition& position, SharedUpdates& updates, TimePoint now);
    // Moves the position to what the update leads to.
    std::string make_update(ClientPosition& position, TimePoint now);
    const std::string& delta_from(std::uint64_t version, std::uint64_t digest);

    Settings settings_;
    const registry::ServiceRegistry& registry_;
    std::deque<PublishedVersion> versions_;    // the newest last
    // From a version and its digest to the newest version; each is made once.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> deltas_;
    std::map<std::string, Client> clients_;    // by the gateway's address
    bool quorum_confirmed_ = false;
    ownership::OwnershipTable ownership_table_;
};

}    // namespace shaletray::controller
