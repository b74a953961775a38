// Holds the registry of servers and the newest configuration, and spreads what is new in them: to the
// gateways both, to the other controllers the servers that this one owns. Configurations leave at once,
// changes of servers in paced rounds (notification_pacer.h).
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

// For the reactor's thread only. Clock and connections have to outlive it.
class UpdateDistributor {
public:
    struct Callbacks {
        // Whether this controller is in contact with a majority of the voters now; gateways learn it with
        // each update.
        std::function<bool()> is_quorum_held;
        // tick() is due at this time, which may be earlier than next_deadline() was before.
        std::function<void(TimePoint)> tick_due;
        // A gateway has told which keys its requests ask for.
        std::function<void(const std::vector<ownership::KeySamples>&)> key_samples_heard;
        // Another controller has told which changes it knows.
        std::function<void()> peer_heard;
    };
    UpdateDistributor(const registry::ServiceRegistry::Settings& settings, const Clock& clock,
                      transport::ConnectionManager& connections, Callbacks callbacks);
    UpdateDistributor(const UpdateDistributor&) = delete;
    UpdateDistributor& operator=(const UpdateDistributor&) = delete;

    // Calls of servers. Nothing is sent before publish_changes.
    void record_heartbeat(const registry::Heartbeat& heartbeat);
    void deregister(const std::string& server_id);
    // The number of the latest change of the registry.
    std::uint64_t sequence() const { return registry_.sequence(); }
    // A call waits until the changes so far are known to others: they are asked to tell it at once.
    void request_acknowledgement() { forwarder_.request_acknowledgement(); }
    // See RegistryForwarder::known_to_majority.
    std::uint64_t known_to_majority(const std::vector<std::string>& voters) const {
        return forwarder_.known_to_majority(voters, self_address_);
    }
    // Sends what has changed in the registry to the gateways and to the other controllers: now, or together
    // with what follows within the next moments.
    void publish_changes();
    // Sends a committed configuration to the gateways, unless a newer one was published already.
    void publish(configuration::Configuration new_configuration);
    // Sends the rows of the committed ownership table that have changed to the gateways.
    void publish(const ownership::OwnershipTable& table);
    // All known servers by id. The reference stays valid.
    const std::map<std::string, registry::Server>& servers() const { return registry_.servers(); }
    // A message of another controller about its servers.
    void on_registry_message(const transport::Message& message);
    // A gateway's report of what it has. Malformed ones are ignored.
    void on_subscription_message(const transport::Message& message);
    // Internal addresses of all known controllers, without this one.
    void set_peers(const std::vector<std::string>& addresses);
    // This process has a higher incarnation now: everything is sent anew.
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
    // The registry's changes up to this one were sent to the gateways.
    std::uint64_t notified_sequence_ = 0;
    TimePoint next_tick_{};
};

}    // namespace shaletray::controller
