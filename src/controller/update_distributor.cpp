#include "controller/update_distributor.h"

#include <utility>

#include "cluster/subscription/subscription.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;

// How often servers are looked at whose heartbeats may have stopped.
constexpr Duration kTickInterval = 250ms;

}    // namespace

UpdateDistributor::UpdateDistributor(const registry::ServiceRegistry::Settings& settings, const Clock& clock,
                                     transport::ConnectionManager& connections,
                                     std::function<bool()> is_quorum_held)
    : clock_(clock),
      connections_(connections),
      is_quorum_held_(std::move(is_quorum_held)),
      registry_(settings),
      forwarder_(registry_),
      publisher_(ConfigurationPublisher::Settings{.incarnation = settings.incarnation}, registry_) {}

void UpdateDistributor::record_heartbeat(const registry::Heartbeat& heartbeat) {
    registry_.record_heartbeat(heartbeat, clock_.now());
}

void UpdateDistributor::deregister(const std::string& server_id) {
    registry_.deregister(server_id, clock_.now());
}

void UpdateDistributor::publish_changes() {
    notify_gateways_of_changes();
    std::vector<RegistryForwarder::OutgoingMessage> messages;
    forwarder_.send_changes(clock_.now(), messages);
    send(messages);
}

void UpdateDistributor::publish(configuration::Configuration new_configuration) {
    // A shorter text may have been parsed before an older, longer one.
    if (new_configuration.version <= publisher_.version()) return;
    publisher_.publish(std::move(new_configuration));
    notify_gateways();
}

void UpdateDistributor::on_registry_message(const transport::Message& message) {
    forwarder_.on_message(message.sender, message.incarnation, message.payload, clock_.now());
    notify_gateways_of_changes();
}

void UpdateDistributor::on_subscription_message(const transport::Message& message) {
    const auto client_state = subscription::decode_client_state(message.payload);
    if (!client_state) return;
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(is_quorum_held_());
    publisher_.on_client_state(message.sender, *client_state, clock_.now(), messages);
    send(messages);
}

void UpdateDistributor::set_peers(const std::vector<std::string>& addresses) {
    forwarder_.set_peers(addresses);
}

void UpdateDistributor::set_incarnation(std::uint64_t incarnation) {
    registry_.incarnation(incarnation);
    publisher_.set_incarnation(incarnation);
    forwarder_.reset_peers();
}

void UpdateDistributor::tick(TimePoint now) {
    if (now < next_tick_) return;
    next_tick_ = now + kTickInterval;
    registry_.tick(now);
    publish_changes();
    std::vector<RegistryForwarder::OutgoingMessage> messages;
    forwarder_.tick(now, messages);
    send(messages);
}

void UpdateDistributor::notify_gateways_of_changes() {
    if (notified_sequence_ == registry_.sequence()) return;
    notified_sequence_ = registry_.sequence();
    notify_gateways();
}

void UpdateDistributor::notify_gateways() {
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(is_quorum_held_());
    publisher_.notify_clients(clock_.now(), messages);
    send(messages);
}

void UpdateDistributor::send(const std::vector<ConfigurationPublisher::OutgoingMessage>& messages) {
    for (const auto& message : messages)
        connections_.send_session_message(message.to, transport::Kind::Subscription, message.bytes);
}

void UpdateDistributor::send(const std::vector<RegistryForwarder::OutgoingMessage>& messages) {
    for (const auto& message : messages)
        connections_.send_session_message(message.to, transport::Kind::Registry, message.bytes);
}

}    // namespace shaletray::controller
