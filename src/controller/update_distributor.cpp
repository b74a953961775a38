#include "controller/update_distributor.h"

#include <algorithm>
#include <utility>

#include "cluster/subscription/subscription.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;

// Interval between two checks for servers whose heartbeats have stopped.
constexpr Duration kTickInterval = 250ms;
// Shorter than for gateways: there are far fewer controllers, and a delay here adds to that of the gateways.
constexpr NotificationPacer::Settings kPeerPacing{.interval_per_recipient = 2ms, .max_interval = 100ms};

}    // namespace

UpdateDistributor::UpdateDistributor(const registry::ServiceRegistry::Settings& settings, const Clock& clock,
                                     transport::ConnectionManager& connections, Callbacks callbacks)
    : self_address_(settings.self_address),
      clock_(clock),
      connections_(connections),
      callbacks_(std::move(callbacks)),
      registry_(settings),
      forwarder_(registry_),
      publisher_(ConfigurationPublisher::Settings{.incarnation = settings.incarnation}, registry_),
      gateway_pacer_(NotificationPacer::Settings{}),
      peer_pacer_(kPeerPacing) {}

void UpdateDistributor::record_heartbeat(const registry::Heartbeat& heartbeat) {
    registry_.record_heartbeat(heartbeat, clock_.now());
}

void UpdateDistributor::deregister(const std::string& server_id) {
    registry_.deregister(server_id, clock_.now());
}

void UpdateDistributor::publish_changes() {
    notify_gateways_of_changes();
    notify_peers_of_changes();
}

void UpdateDistributor::publish(configuration::Configuration new_configuration) {
    // A shorter text may have been parsed before an older, longer one.
    if (new_configuration.version <= publisher_.version()) return;
    publisher_.publish(std::move(new_configuration));
    notify_gateways();
}

void UpdateDistributor::publish(const ownership::OwnershipTable& table) {
    publisher_.publish(table);
    notify_gateways();
}

void UpdateDistributor::on_registry_message(const transport::Message& message) {
    forwarder_.on_message(message.sender, message.incarnation, message.payload, clock_.now());
    notify_gateways_of_changes();
    notify_peers_of_changes();    // a peer may have asked for an acknowledgement
    callbacks_.peer_message_received();
}

void UpdateDistributor::on_subscription_message(const transport::Message& message) {
    const auto client_state = subscription::decode_client_state(message.payload);
    if (!client_state) return;
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(callbacks_.is_quorum_held());
    publisher_.on_client_state(message.sender, *client_state, clock_.now(), messages);
    send(messages);
    if (!client_state->key_samples.empty()) callbacks_.key_samples_received(client_state->key_samples);
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
    publish_changes();
    if (now < next_tick_) return;
    next_tick_ = now + kTickInterval;
    registry_.tick(now);
    publish_changes();
    std::vector<RegistryForwarder::OutgoingMessage> messages;
    forwarder_.tick(now, messages);
    send(messages);
}

TimePoint UpdateDistributor::next_deadline() const {
    TimePoint deadline = next_tick_;
    if (has_unsent_changes()) deadline = std::min(deadline, gateway_pacer_.next_round());
    if (forwarder_.has_unsent_changes()) deadline = std::min(deadline, peer_pacer_.next_round());
    return deadline;
}

void UpdateDistributor::notify_gateways_of_changes() {
    if (!has_unsent_changes()) return;
    if (!gateway_pacer_.is_due(clock_.now())) return callbacks_.tick_due(gateway_pacer_.next_round());
    notify_gateways();
}

void UpdateDistributor::notify_peers_of_changes() {
    if (!forwarder_.has_unsent_changes()) return;
    const TimePoint now = clock_.now();
    if (!peer_pacer_.is_due(now)) return callbacks_.tick_due(peer_pacer_.next_round());
    std::vector<RegistryForwarder::OutgoingMessage> messages;
    forwarder_.send_changes(now, messages);
    peer_pacer_.record_round(messages.size(), now);
    send(messages);
}

void UpdateDistributor::notify_gateways() {
    notified_sequence_ = registry_.sequence();
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(callbacks_.is_quorum_held());
    publisher_.notify_clients(clock_.now(), messages);
    gateway_pacer_.record_round(messages.size(), clock_.now());
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
