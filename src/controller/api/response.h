// Responses of the control API: status, JSON body and headers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::control_api {

enum class HttpStatus : int {
    Ok = 200,
    TemporaryRedirect = 307,
    BadRequest = 400,
    NotFound = 404,
    MethodNotAllowed = 405,
    Conflict = 409,
    PayloadTooLarge = 413,
    ServiceUnavailable = 503,
};

struct Response {
    HttpStatus status = HttpStatus::Ok;
    std::string body;
    std::string allowed_method{};    // value of the Allow header; empty: no header
    Duration retry_after{};          // value of the Retry-After header; zero: no header
    std::string location{};          // value of the Location header; empty: no header
};

// The headers of a response besides the standard ones, each with its line end.
std::string extra_headers(const Response& response);

// 200 with an empty object: the command was executed.
Response success();
// 200 to a server's call. `heartbeat_target` is the control address to which the server must send its next
// heartbeats; empty: any.
Response call_accepted(std::string_view heartbeat_target);
// The same for a server of a sharded service: it may hold the keys of these rows, and no others, for `hold`
// from the moment at which it sent the call.
Response call_accepted(std::string_view heartbeat_target, const std::vector<ownership::Assignment>& rows,
                       Duration hold);
// 200 with the text of the configuration as it was sent.
Response configuration_text(std::string text);
// {"error":"..."}; control characters become blanks.
Response error(HttpStatus status, std::string_view message);
// 307: the controller with this control address serves the call. `target` is that of the request line.
Response redirect_to(std::string_view control_address, std::string_view target);
// 503: no majority responded in time, or the queue is full. The same call may succeed a moment later.
Response retry_later();

}    // namespace shaletray::control_api
