// Holds the registry of servers and the newest configuration, and distributes their changes: both to the
// gateways, and the servers that this controller owns to the other controllers. Configurations are sent at
// once, changes of servers in rate-limited rounds (notification_pacer.h).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/registry/service_registry.h"
#include "cluster/transport/connection_manager.h"
#include "controller/configuration_publisher.h"
#include "controller/notification_pacer.h"
#include "controller/registry_forwarder.h"

namespace shaletray::controller {

// For the reactor's thread only. Clock and connections must outlive it.
class UpdateDistributor {
public:
    struct Callbacks {
        // Whether this controller is in contact with a majority of the voters. Part of each update to
        // gateways.
        std::function<bool()> is_quorum_held;
        // tick() is due at this time, which may be earlier than the last next_deadline().
        std::function<void(TimePoint)> tick_due;
        // A gateway has sent samples of the keys that its requests ask for.
        std::function<void(const std::vector<ownership::KeySamples>&)> key_samples_received;
        // Another controller has sent a registry message, which may acknowledge changes.
        std::function<void()> peer_message_received;
    };
    UpdateDistributor(const registry::ServiceRegistry::Settings& settings, const Clock& clock,
                      transport::ConnectionManager& connections, Callbacks callbacks);
    UpdateDistributor(const UpdateDistributor&) = delete;
    UpdateDistributor& operator=(const UpdateDistributor&) = delete;

    // Record calls of servers. Nothing is sent before publish_changes().
    void record_heartbeat(const registry::Heartbeat& heartbeat);
    void deregister(const std::string& server_id);
    // Sequence number of the registry's latest change.
    std::uint64_t sequence() const { return registry_.sequence(); }
    // Asks the other controllers to acknowledge all changes so far immediately, as a call waits for it.
    void request_acknowledgement() { forwarder_.request_acknowledgement(); }
    // See RegistryForwarder::majority_acknowledged_sequence.
    std::uint64_t majority_acknowledged_sequence(const std::vector<std::string>& voters) const {
        return forwarder_.majority_acknowledged_sequence(voters, self_address_);
    }
    // Sends the registry's changes to the gateways and to the other controllers: now, or together with
    // further changes in the next round of the pacer.
    void publish_changes();
    // Sends a committed configuration to the gateways, unless a newer one has been published.
    void publish(configuration::Configuration new_configuration);
    // Sends the changed rows of the committed ownership table to the gateways.
    void publish(const ownership::OwnershipTable& table);
    // All known servers by id. The reference stays valid as long as this object.
    const std::map<std::string, registry::Server>& servers() const { return registry_.servers(); }
    // Handles another controller's message about its servers.
    void on_registry_message(const transport::Message& message);
    // Handles a gateway's report of its state. Malformed reports are ignored.
    void on_subscription_message(const transport::Message& message);
    // Sets the internal addresses of all known controllers except this one.
    void set_peers(const std::vector<std::string>& addresses);
    // Sets this process's new, higher incarnation; everything is sent again.
    void set_incarnation(std::uint64_t incarnation);
    void tick(TimePoint now);
    TimePoint next_deadline() const;

    std::size_t gateway_count() const { return publisher_.gateway_count(); }
    std::size_t server_count() const { return registry_.servers().size(); }

private:
    bool has_unsent_changes() const { return notified_sequence_ != registry_.sequence(); }
    void notify_gateways();
    void notify_gateways_of_changes();
    void notify_peers_of_changes();
    void send(const std::vector<ConfigurationPublisher::OutgoingMessage>& messages);
    void send(const std::vector<RegistryForwarder::OutgoingMessage>& messages);

    std::string self_address_;
    const Clock& clock_;
    transport::ConnectionManager& connections_;
    Callbacks callbacks_;
    registry::ServiceRegistry registry_;
    RegistryForwarder forwarder_;
    ConfigurationPublisher publisher_;
    NotificationPacer gateway_pacer_, peer_pacer_;
    // Sequence number up to which the registry's changes were sent to the gateways.
    std::uint64_t notified_sequence_ = 0;
    TimePoint next_tick_{};
};

}    // namespace shaletray::controller
