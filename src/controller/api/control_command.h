// The calls of the control API as typed commands: decoded from method, path and body, carried out elsewhere.
// Pure.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

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
};
// GET /configuration/read
struct ReadConfiguration {};
using Command = std::variant<HeartbeatCommand, Deregister, ReplaceConfiguration, ReadConfiguration>;

// Why a call is no command.
struct CommandError {
    HttpStatus status = HttpStatus::BadRequest;
    std::string message;           // one line
    std::string allowed_method;    // with MethodNotAllowed: the method that the path takes
};
// The answer to a call that is no command.
Response to_response(const CommandError& command_error);

// Bytes of a body.
constexpr std::size_t kMaxHeartbeatSize = 32 * 1024;    // with all ranges that a server may hold
constexpr std::size_t kMaxConfigurationSize = 64 * 1024 * 1024;

// Errors: CommandError: BadRequest for a malformed body or id, NotFound for an unknown path,
// MethodNotAllowed, PayloadTooLarge.
boost::leaf::result<Command> decode_command(std::string_view method, std::string_view target,
                                            std::string_view body);
// The largest body to read for a call, known from its head alone. decode_command rejects the calls for which
// this says too much.
std::size_t max_body_size(std::string_view method, std::string_view target);

}    // namespace shaletray::control_api
