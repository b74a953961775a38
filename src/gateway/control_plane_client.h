// A gateway's subscription to the controllers: it receives the configuration, the servers and the owners of
// shard keys, and reports the gateway's own state. Does no I/O: the caller passes the time and sends the
// messages.
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

// Subscribes to the preferred controllers: among those that may vote, two of its own zone and one of another
// zone, ordered by a hash that differs between gateways, so that the gateways are spread evenly over the
// controllers. Voters come first since they receive each change first and have sufficient bandwidth. A
// gateway that started with other controllers (the seeds, or substitutes for an unavailable controller) moves
// to the preferred ones one at a time, and leaves a controller only after its replacement was confirmed by a
// quorum.
//
// Invariant: within an incarnation, the configuration never goes back to an earlier version. Not thread-safe.
class ControlPlaneClient {
public:
    struct Settings {
        std::string self;    // internal address of this gateway
        std::uint64_t incarnation = 0;
        std::size_t max_controllers = 3;    // subscribed to at a time
        // Interval between two messages to each of them.
        Duration request_interval = std::chrono::milliseconds(500);
        // A controller that sends nothing for longer is replaced, if there is another one.
        Duration response_timeout = std::chrono::milliseconds(1500);
        // Time for which a failed controller is used only where there is no other.
        Duration failure_retention = std::chrono::seconds(10);
    };
    // What the caller must do after a call.
    struct Actions {
        struct Send {
            std::string to;
            std::string bytes;
        };
        std::vector<Send> sends;
        bool configuration_changed = false;
        std::vector<std::string> changed_servers;    // ids; those missing in servers() were erased
    };
    explicit ControlPlaneClient(Settings settings);

    void set_incarnation(std::uint64_t incarnation) { settings_.incarnation = incarnation; }
    struct Controller {
        std::string address;       // internal
        bool suspect = false;      // suspected by the failure detector; the last choice
        bool same_zone = false;    // as this gateway; preferred, since traffic between zones costs more
        bool may_vote = true;      // has a disk; other controllers are used only where no voter is available
    };
    // Replaces the list of all known controllers.
    void set_controllers(std::vector<Controller> controllers);
    // Handles a message from a controller with this incarnation. Malformed messages are counted and ignored.
    void on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes, TimePoint now,
                    Actions& actions);
    // Sets the samples that the next due tick sends to all controllers, once.
    void set_key_samples(std::vector<ownership::KeySamples> key_samples) {
        key_samples_ = std::move(key_samples);
    }
    // Must be called at next_deadline(). `quota_divisor`: as the membership announces it for this gateway.
    void tick(TimePoint now, std::uint32_t quota_divisor, Actions& actions);
    TimePoint next_deadline() const { return next_tick_; }

    // Null until the first configuration has arrived.
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index() const {
        return configuration_index_;
    }
    // Owners of the shard keys of sharded services.
    const ownership::OwnerMap& owners() const { return owners_; }
    // Servers by instance id.
    const std::map<std::string, registry::Server>& servers() const { return endpoints_.servers(); }
    // Whether this incarnation has received the complete state from a controller that a quorum confirmed.
    bool caught_up() const { return caught_up_ && configuration_index_ != nullptr; }
    // Controllers whose last message is at most `timeout` old and was confirmed by a quorum.
    std::vector<std::string> confirmed_controllers(TimePoint now, Duration timeout) const;
    struct Statistics {
        std::uint64_t updates = 0;
        std::uint64_t full_updates = 0;     // with a full configuration
        std::uint64_t delta_updates = 0;    // with the difference to an earlier one
        std::uint64_t malformed_updates = 0;
    };
    const Statistics& statistics() const { return statistics_; }

private:
    // A controller to which this gateway is subscribed.
    struct ControllerState {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;    // of the last change of its registry that is known here
        TimePoint requested_at{};      // time of the first message that was not answered yet
        TimePoint last_update_at{};
        TimePoint last_repair_request_at{};    // last request outside of the interval, for a missing update
        TimePoint subscribed_since{};
        TimePoint last_confirmed_at{};    // time of the last message that a quorum confirmed
        bool confirmed = false;           // whether a quorum confirmed its last message
        std::uint32_t last_update = subscription::kNoUpdate;    // number of the last one of this incarnation
    };
    void send_client_state(const std::string& to, ControllerState& controller_state, TimePoint now,
                           const std::vector<ownership::KeySamples>& key_samples, Actions& actions);
    void select_controllers(TimePoint now);
    void replace_failed(TimePoint now);
    void move_to_preferred(TimePoint now);
    void subscribe_to(const std::string& address, TimePoint now);
    bool is_unresponsive(const ControllerState& controller_state, TimePoint now) const;
    bool is_unconfirmed(const ControllerState& controller_state, TimePoint now) const;
    bool failed_recently(const std::string& address, TimePoint now) const;
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
    std::vector<std::string> controllers_;    // in order of preference
    std::map<std::string, ControllerState> controller_states_;
    std::map<std::string, TimePoint> failed_at_;    // last failure, by address
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    configuration::Configuration empty_configuration_;    // base of the first update
    std::uint64_t digest_ = 0;                            // of the configuration
    registry::EndpointDirectory endpoints_;
    ownership::OwnerMap owners_;
    std::vector<ownership::KeySamples> key_samples_;
    bool caught_up_ = false;
    bool needs_full_update_ = false;    // a delta could not be applied
    std::uint32_t quota_divisor_ = 0;
    TimePoint next_tick_{};
    Statistics statistics_;
};

}    // namespace shaletray::gateway
