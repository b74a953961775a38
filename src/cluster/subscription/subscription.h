// Messages by which gateways subscribe to the control plane's state (transport::Kind::Subscription): a
// gateway reports what it has, and a controller sends what is new to it. Both only state what holds at that
// moment, so that any message may be lost or arrive twice.
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

// From a gateway to each controller that it knows: every 500 ms, and at once where it lacks something.
struct ClientState {
    std::uint64_t incarnation = 0;            // the gateway's
    std::uint64_t version = 0, digest = 0;    // of the configuration in use; 0: none yet
    std::uint64_t known_incarnation = 0;      // the controller's when it was last heard from; 0: never
    std::uint64_t known_sequence = 0;         // all changes of that incarnation up to this one are known
    std::uint32_t quota_divisor = 0;          // number of gateways that quotas are divided by
    std::uint64_t ownership_version = 0;      // of the owners of shard keys
    // Of the requests since the previous regular report.
    std::vector<ownership::KeySamples> key_samples{};
    bool operator==(const ClientState&) const = default;
};

// From a controller to a gateway: in answer to each ClientState, and unasked whenever something changed.
struct ControlUpdate {
    std::uint64_t incarnation = 0;    // the controller's
    // A quorum confirmed within the last 1.5 s that `version` was the newest committed configuration.
    bool quorum_confirmed = false;
    std::uint64_t version = 0, digest = 0;    // of the newest configuration known to the controller; 0: none
    // For configuration::apply_update; it leads to `version`. Empty where none is sent. A delta from another
    // configuration than the gateway's is rejected there; its next ClientState reports which one it has, and
    // the answer to that fits.
    std::string configuration_delta;
    // `endpoint_changes` is for registry::EndpointDirectory and holds the changes after `since_sequence` up
    // to `sequence`; even without changes it says which registries are running. A gateway that knows less of
    // that incarnation than `since_sequence` applies it all the same, and keeps reporting what it knew
    // before.
    std::uint64_t since_sequence = 0, sequence = 0;
    std::string endpoint_changes;
    // The committed ownership table; `ownership_changes` is for ownership::OwnerMap and holds the rows that
    // changed after `ownership_since`, empty where there are none. A gateway that knows less than that asks
    // again.
    std::uint64_t ownership_version = 0, ownership_since = 0;
    std::string ownership_changes{};
    bool operator==(const ControlUpdate&) const = default;
};

std::string encode(const ClientState& client_state);
std::string encode(const ControlUpdate& update);

// Errors of these: runtime::MalformedMessage, also for a message of the other kind.
boost::leaf::result<std::variant<ClientState, ControlUpdate>> decode(std::string_view bytes);
boost::leaf::result<ClientState> decode_client_state(std::string_view bytes);
boost::leaf::result<ControlUpdate> decode_control_update(std::string_view bytes);

}    // namespace shaletray::subscription
