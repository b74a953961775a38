// What a pilot knows of the configuration and the servers, from what lighthouses tell it; and what it says to
// them. Pure. A chart never goes back within a life.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_index.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"

namespace shaletray::gateway {

class ControlPlaneClient {
public:
    struct Settings {
        std::string self;    // internal address
        std::uint64_t incarnation = 0;
        std::size_t max_controllers = 3;                               // lighthouses at a time
        Duration request_interval = std::chrono::milliseconds(500);    // between two words to each
        Duration response_timeout =
            std::chrono::milliseconds(1500);    // another one is watched then, where there is one
    };
    struct Actions {
        struct Send {
            std::string to, bytes;
        };
        std::vector<Send> sends;
        bool configuration_changed = false, servers_changed = false;
    };
    explicit ControlPlaneClient(Settings settings);

    void set_incarnation(std::uint64_t incarnation) { settings_.incarnation = incarnation; }
    // All lighthouses that are known, by internal address; those in `suspected` are watched last.
    void set_controllers(std::vector<std::string> controllers, std::vector<std::string> suspect_controllers);
    void on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes, TimePoint now,
                    Actions& actions);
    void tick(TimePoint now, std::uint32_t quota_divisor, Actions& actions);
    TimePoint next_deadline() const { return next_tick_; }

    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index() const {
        return configuration_index_;
    }
    const std::map<std::string, registry::Server>& servers() const { return endpoints_.servers(); }
    // A lighthouse that a majority bore out has told this life all that there is, and this life has it.
    bool caught_up() const { return caught_up_ && configuration_index_ != nullptr; }
    // The lighthouses whose last word, not older than `within`, was borne out by a majority.
    std::vector<std::string> confirmed_controllers(TimePoint now, Duration timeout) const;
    struct Statistics {
        std::uint64_t updates = 0, full_updates = 0, delta_updates = 0, malformed_updates = 0;
    };
    const Statistics& statistics() const { return statistics_; }

private:
    struct ControllerState {
        std::uint64_t incarnation = 0, sequence = 0;    // of its muster, as far as it is known here
        TimePoint requested_at{};                       // first, since it was last heard
        TimePoint last_heard{}, last_repair{};
        TimePoint subscribed_since{}, last_confirmed{};    // watched; last word that a majority bore out
        bool confirmed = false;
    };
    void send_client_state(const std::string& to, ControllerState& controller_state, TimePoint now,
                           Actions& actions);
    void select_controllers(TimePoint now);
    bool apply_update(const subscription::ControlUpdate& update, Actions& actions);
    std::uint64_t configuration_version() const {
        return configuration_index_ ? configuration_index_->config().version : 0;
    }

    Settings settings_;
    std::vector<std::string> controllers_;    // in the order of preference
    std::map<std::string, ControllerState> controller_states_;
    std::size_t next_candidate_ = 0;    // of known_
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    configuration::Configuration empty_configuration_;
    std::uint64_t digest_ = 0;
    registry::EndpointDirectory endpoints_;
    bool caught_up_ = false, needs_full_update_ = false;
    std::uint32_t quota_divisor_ = 0;
    TimePoint next_tick_{};
    Statistics statistics_;
};

}    // namespace shaletray::gateway
