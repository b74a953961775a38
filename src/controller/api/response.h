// The answers of the control API: status, JSON body and the headers that go with them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::control_api {

enum class HttpStatus : int {
    Ok = 200,
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
    std::string allowed_method{};    // of the Allow header; empty: none
    Duration retry_after{};          // of the Retry-After header; zero: none
};

// The headers of a response besides the usual ones, each with its line end.
std::string extra_headers(const Response& response);

// 200 with an empty object: the command was carried out.
Response success();
// 200 to a server's call. `heartbeat_target` is the control address to which its next heartbeats are to go;
// empty: any.
Response call_accepted(std::string_view heartbeat_target);
// The same to a server that owns keys: it may hold these rows for `hold` from its call's sending, and no
// others.
Response call_accepted(std::string_view heartbeat_target, const std::vector<ownership::Assignment>& rows,
                       Duration hold);
// 200 with the text of the configuration as it was sent.
Response configuration_text(std::string text);
// {"error":"..."}; control characters become blanks.
Response error(HttpStatus status, std::string_view message);
// 503: no majority answered in time, or too much is queued. The same call may succeed a moment later.
Response retry_later();

}    // namespace shaletray::control_api
