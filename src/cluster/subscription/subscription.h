// What pilots and lighthouses tell each other (transport::Kind::Watch): pilots say what they have,
// lighthouses what is new to them. Both sides only ever state what holds, so any message may be lost or come
// twice.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/runtime/capnp_codec.h"

namespace shaletray::subscription {

// A pilot to each lighthouse it knows: every 500 ms, and at once where it lacks something.
struct ClientState {
    std::uint64_t incarnation = 0;            // the pilot's
    std::uint64_t version = 0, digest = 0;    // of the chart in force there; 0: none yet
    std::uint64_t known_incarnation = 0;      // of the lighthouse this goes to, as last heard; 0: none yet
    std::uint64_t known_sequence = 0;         // all changes of that life up to this one are known
    std::uint32_t quota_divisor = 0;          // how many pilots it divides quotas by
    bool operator==(const ClientState&) const = default;
};
// A lighthouse to a pilot: an answer to each Have, and unasked whenever something changed.
struct ControlUpdate {
    std::uint64_t incarnation = 0;    // the lighthouse's
    // A majority bore out within the last 1.5 s that `version` was the newest chosen.
    bool quorum_confirmed = false;
    std::uint64_t version = 0, digest = 0;    // of the newest chart known there; 0: none was ever taken
    // For configuration::read_update, leads to `version`; empty: none comes with this. A patch to something
    // else than what is held here is refused there: the next Have then tells what is held, and the answer
    // fits it.
    std::string configuration_delta;
    // `servers`, always for registry::Roster::take, holds the changes after `since` up to `sequence`, and
    // with none still tells who runs. Who knows of that life less than `since` takes it likewise, and goes on
    // telling what he knew before.
    std::uint64_t since_sequence = 0, sequence = 0;
    std::string endpoint_changes;
    bool operator==(const ControlUpdate&) const = default;
};

std::string encode(const ClientState& client_state);
std::string encode(const ControlUpdate& update);
// Errors: runtime::Spoilt.
boost::leaf::result<std::variant<ClientState, ControlUpdate>> decode(std::string_view bytes);
boost::leaf::result<ClientState> decode_client_state(std::string_view bytes);
boost::leaf::result<ControlUpdate> decode_control_update(std::string_view bytes);

}    // namespace shaletray::subscription
