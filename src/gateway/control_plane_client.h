// A gateway's subscription to the controllers: the configuration and the servers as they announce them, and
// what the gateway tells them about its own state. Pure: the caller hands in the time and sends the messages.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_index.h"
#include "cluster/ownership/key_sampler.h"
#include "cluster/ownership/owner_map.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"

namespace shaletray::gateway {

// Subscribes to the first controllers of an order of its own: of those that may vote, two of its zone and one
// of another, by a hash that is different for each gateway, so that the controllers get even parts of the
// gateways. Voters come first since they are the first to know of a change, and have the links for it. A
// gateway that had to begin elsewhere, with the seeds or while a controller was away, moves there one by one,
// and leaves a controller only after the next one has answered.
//
// Invariant: within an incarnation, the configuration never goes back to an earlier version. Not thread-safe.
class ControlPlaneClient {
public:
    struct Settings {
        std::string self;    // internal address of this gateway
        std::uint64_t incarnation = 0;
        std::size_t max_controllers = 3;    // to which this gateway is subscribed at a time
        // Between two messages to each of them.
        Duration request_interval = std::chrono::milliseconds(500);
        // A controller that is silent for longer is replaced by another one, if there is one.
        Duration response_timeout = std::chrono::milliseconds(1500);
        // For so long a controller that was given up is tried only where there is no other.
        Duration failure_retention = std::chrono::seconds(10);
    };
    // What the caller has to do.
    struct Actions {
        struct Send {
            std::string to;
            std::string bytes;
        };
        std::vector<Send> sends;
        bool configuration_changed = false;
        std::vector<std::string> changed_servers;    // ids; an erased one is in servers() no more
    };
    explicit ControlPlaneClient(Settings settings);

    void set_incarnation(std::uint64_t incarnation) { settings_.incarnation = incarnation; }
    struct Controller {
        std::string address;       // internal
        bool suspect = false;      // of a failure: subscribed to last
        bool same_zone = false;    // as this gateway: preferred, since bytes between zones cost more
        bool may_vote = true;      // it has a disk; others serve where no voter does
    };
    // All known controllers.
    void set_controllers(std::vector<Controller> controllers);
    // A message that arrived from a controller of this incarnation. Malformed ones are counted and ignored.
    void on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes, TimePoint now,
                    Actions& actions);
    // To be told to all controllers at the next tick that is due, and only then.
    void set_key_samples(std::vector<ownership::KeySamples> key_samples) {
        key_samples_ = std::move(key_samples);
    }
    // To be called at next_deadline(). `quota_divisor` is what the membership announces of this gateway.
    void tick(TimePoint now, std::uint32_t quota_divisor, Actions& actions);
    TimePoint next_deadline() const { return next_tick_; }

    // Null until the first configuration arrived.
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index() const {
        return configuration_index_;
    }
    // Of services whose keys are divided among their servers.
    const ownership::OwnerMap& owners() const { return owners_; }
    // By instance id.
    const std::map<std::string, registry::Server>& servers() const { return endpoints_.servers(); }
    // Whether a controller that a quorum confirmed has told this incarnation all that there is.
    bool caught_up() const { return caught_up_ && configuration_index_ != nullptr; }
    // The controllers whose last message is not older than `timeout` and was confirmed by a quorum.
    std::vector<std::string> confirmed_controllers(TimePoint now, Duration timeout) const;
    struct Statistics {
        std::uint64_t updates = 0;
        std::uint64_t full_updates = 0;     // a whole configuration
        std::uint64_t delta_updates = 0;    // the difference to an earlier one
        std::uint64_t malformed_updates = 0;
    };
    const Statistics& statistics() const { return statistics_; }

private:
    // A controller to which this gateway is subscribed.
    struct ControllerState {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;    // up to which its registry's changes are known here
        TimePoint requested_at{};      // of the first message without an answer
        TimePoint last_heard{};
        TimePoint last_repair{};    // a message outside of the interval, since an update was missing
        TimePoint subscribed_since{};
        TimePoint last_confirmed{};    // last message that a quorum confirmed
        bool confirmed = false;        // whether its last message was
    };
    void send_client_state(const std::string& to, ControllerState& controller_state, TimePoint now,
                           const std::vector<ownership::KeySamples>& key_samples, Actions& actions);
    void select_controllers(TimePoint now);
    void replace_failed(TimePoint now);
    void move_to_preferred(TimePoint now);
    void subscribe_to(const std::string& address, TimePoint now);
    bool is_silent(const ControllerState& controller_state, TimePoint now) const;
    bool is_unconfirmed(const ControllerState& controller_state, TimePoint now) const;
    bool failed_lately(const std::string& address, TimePoint now) const;
    std::size_t rank_of(const std::string& address) const;
    void record_contact(const subscription::ControlUpdate& update, ControllerState& controller_state,
                        TimePoint now);
    bool apply_endpoint_changes(const subscription::ControlUpdate& update, TimePoint now, Actions& actions);
    bool apply_ownership(const subscription::ControlUpdate& update);
    bool apply_update(const subscription::ControlUpdate& update, Actions& actions);
    std::uint64_t configuration_version() const {
        return configuration_index_ ? configuration_index_->config().version : 0;
    }

    Settings settings_;
    std::vector<std::string> controllers_;    // in the order of preference
    std::map<std::string, ControllerState> controller_states_;
    std::map<std::string, TimePoint> failed_at_;    // when a controller was given up last
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    configuration::Configuration empty_configuration_;    // what the first update is applied to
    std::uint64_t digest_ = 0;                            // of the configuration
    registry::EndpointDirectory endpoints_;
    ownership::OwnerMap owners_;
    std::vector<ownership::KeySamples> key_samples_;
    bool caught_up_ = false;
    bool needs_full_update_ = false;    // a delta did not fit
    std::uint32_t quota_divisor_ = 0;
    TimePoint next_tick_{};
    Statistics statistics_;
};

}    // namespace shaletray::gateway
