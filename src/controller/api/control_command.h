// Decodes the calls of the control API from method, path and body into typed commands. Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "base/common/clock.h"
#include "cluster/registry/service_registry.h"
#include "controller/api/response.h"

namespace shaletray::control_api {

// POST /members/ID/heartbeat
struct HeartbeatCommand {
    registry::Heartbeat heartbeat;
};
// POST /members/ID/deregister
struct Deregister {
    std::string id;
};
// POST /configuration/replace; the text is not parsed yet.
struct ReplaceConfiguration {
    std::string text;
    Duration receive_time{};    // of the call, from its first bytes to its last
};
// GET /configuration/read
struct ReadConfiguration {};
using Command = std::variant<HeartbeatCommand, Deregister, ReplaceConfiguration, ReadConfiguration>;

// Why a call is rejected.
struct CommandError {
    HttpStatus status = HttpStatus::BadRequest;
    std::string message;           // one line
    std::string allowed_method;    // with MethodNotAllowed: the method that the path accepts
};
// The response to a rejected call.
Response to_response(const CommandError& command_error);

// Limits on the size of a body, in bytes.
constexpr std::size_t kMaxHeartbeatSize = 32 * 1024;    // fits all key ranges that a server may hold
constexpr std::size_t kMaxConfigurationSize = 64 * 1024 * 1024;

// Fails with a CommandError: BadRequest for a malformed body or id, NotFound for an unknown path,
// MethodNotAllowed, PayloadTooLarge.
boost::leaf::result<Command> decode_command(std::string_view method, std::string_view target,
                                            std::string_view body);
// Largest body to read for a call, in bytes, determined by its request line alone. Unknown paths get
// kMaxHeartbeatSize; decode_command rejects them.
std::size_t max_body_size(std::string_view method, std::string_view target);

}    // namespace shaletray::control_api
