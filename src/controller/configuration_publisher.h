// What pilots are told: for each that reported, the difference between what it has and what there is. Pure.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"

namespace shaletray::controller {

class ConfigurationPublisher {
public:
    struct Settings {
        std::uint64_t incarnation = 0;
        std::size_t max_versions = 16;                       // held for differences
        Duration active_window = std::chrono::seconds(3);    // pilots heard from within this are told unasked
        Duration expiry_timeout = std::chrono::seconds(30);
    };
    struct OutgoingMessage {
        std::string to, bytes;
    };
    ConfigurationPublisher(Settings settings, const registry::ServiceRegistry& service_registry)
        : settings_(settings), registry_(service_registry) {}

    // This lighthouse's was raised: pilots are told all anew.
    void set_incarnation(std::uint64_t incarnation) { settings_.incarnation = incarnation; }
    // The newest chart that was decided on. Those before it are kept as what differs.
    void publish(configuration::Configuration new_configuration);
    std::uint64_t version() const { return versions_.empty() ? 0 : versions_.back().snapshot->version; }
    void set_quorum_confirmed(bool is_confirmed) { quorum_confirmed_ = is_confirmed; }
    void on_client_state(const std::string& from, const subscription::ClientState& client_state,
                         TimePoint now, std::vector<OutgoingMessage>& messages);
    // To all that reported lately and lack something.
    void notify_clients(TimePoint now, std::vector<OutgoingMessage>& messages);
    std::size_t gateway_count() const { return clients_.size(); }

private:
    struct PublishedVersion {
        std::shared_ptr<const configuration::Configuration> snapshot;
        std::uint64_t digest = 0;
    };
    struct Client {
        std::uint64_t version = 0, digest = 0;    // as reported, or as sent since
        std::uint64_t sequence = 0;               // of our muster, likewise
        TimePoint last_contact{};
    };
    using ClientPosition =
        std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;    // version, digest, sequence
    std::string make_update(Client& client, TimePoint now);
    const std::string& delta_from(std::uint64_t version, std::uint64_t digest);

    Settings settings_;
    const registry::ServiceRegistry& registry_;
    std::deque<PublishedVersion> versions_;                                    // the newest last
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> deltas_;    // to the newest, made once
    std::map<std::string, Client> clients_;
    bool quorum_confirmed_ = false;
};

}    // namespace shaletray::controller
