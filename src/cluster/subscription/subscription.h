// Messages by which gateways subscribe to the control plane's state (transport::Kind::Subscription): a
// gateway reports the state that it has, and a controller sends the changes since then. Both messages
// describe current state, so that any of them may be lost or duplicated.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/runtime/capnp_codec.h"
#include "cluster/ownership/key_sampler.h"

namespace shaletray::subscription {

// Numbers of a controller's updates, in the order in which it sends them. They wrap around.
constexpr std::uint32_t kNotTold = 0;    // the sender is of a version that does not number updates
constexpr std::uint32_t kNoUpdate = 1;
constexpr std::uint32_t kFirstUpdate = 2;
bool is_later_update(std::uint32_t number, std::uint32_t other);
std::uint32_t update_number_after(std::uint32_t number);

// Sent by a gateway to each known controller every 500 ms, and immediately where it lacks changes.
struct ClientState {
    std::uint64_t incarnation = 0;            // the gateway's
    std::uint64_t version = 0, digest = 0;    // of the active configuration; 0: none yet
    std::uint64_t known_incarnation = 0;      // the controller's, from its last message; 0: none yet
    std::uint64_t known_sequence = 0;         // all changes of that incarnation up to this one are known
    std::uint32_t quota_divisor = 0;          // number of gateways by which quotas are divided
    std::uint64_t ownership_version = 0;      // of the ownership table of shard keys
    // Samples of the requests since the previous periodic report.
    std::vector<ownership::KeySamples> key_samples{};
    // Number of the last update from this controller's known incarnation; kNoUpdate: none has arrived yet.
    std::uint32_t last_update = kNotTold;
    bool operator==(const ClientState&) const = default;
};

// Sent by a controller to a gateway in reply to each ClientState, and whenever its state changed.
struct ControlUpdate {
    std::uint64_t incarnation = 0;    // the controller's
    // Whether a quorum confirmed within the last 1.5 s that `version` is the latest committed configuration.
    bool quorum_confirmed = false;
    std::uint64_t version = 0, digest = 0;    // of the latest configuration known to the controller; 0: none
    // An update to `version` for configuration::apply_update(); empty where none is sent. A gateway rejects a
    // delta from another configuration than its own. Its next ClientState reports the one that it has, and
    // the reply is a matching update.
    std::string configuration_delta;
    // `endpoint_changes` is for registry::EndpointDirectory and contains the changes after `since_sequence`
    // up to `sequence`; even without changes it shows which registries are running. A gateway that lacks
    // changes before `since_sequence` applies it nevertheless, but keeps reporting its previous
    // `known_sequence`.
    std::uint64_t since_sequence = 0, sequence = 0;
    std::string endpoint_changes;
    // The committed ownership table. `ownership_changes` is for ownership::OwnerMap and contains the rows
    // that changed after `ownership_since`; empty where there are none. A gateway with an older version than
    // that requests the changes again.
    std::uint64_t ownership_version = 0, ownership_since = 0;
    std::string ownership_changes{};
    std::uint32_t number = kNotTold;
    bool operator==(const ControlUpdate&) const = default;
};

std::string encode(const ClientState& client_state);
std::string encode(const ControlUpdate& update);

// Errors: runtime::MalformedMessage, also for a message of the other type.
boost::leaf::result<std::variant<ClientState, ControlUpdate>> decode(std::string_view bytes);
boost::leaf::result<ClientState> decode_client_state(std::string_view bytes);
boost::leaf::result<ControlUpdate> decode_control_update(std::string_view bytes);

}    // namespace shaletray::subscription
