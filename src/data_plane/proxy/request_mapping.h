// Interface between HTTP client connections and a platform: maps requests to the engine's terms and writes
// the responses that come from the gateway itself. Used on the reactor's thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/http/message.h"
#include "base/http/rejection.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// A parsed request, ready to be submitted.
struct MappedRequest {
    IncomingRequest incoming;
    // No two open requests may have the same id. Empty: not checked.
    std::string request_id;
    // The client's next request may be processed before this one has its response.
    bool allows_pipelining = false;
};

// A response of the gateway itself.
struct GatewayAnswer {
    int status_code = 500;
    std::string headers = {};    // complete lines, each with its CRLF
    std::string body = {};
};

// Implemented by each platform. Parser and buffer hold one message whose head is complete.
class RequestMapping {
public:
    virtual ~RequestMapping() = default;
    // A readiness check is answered with 200 or 503 and not counted as a request.
    virtual bool is_readiness_check(const http::Parser&, const http::Buffer&) const { return false; }
    // If the body is still being received, the caller sets the payload's `upload` afterwards.
    virtual std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                        const http::Buffer& buffer,
                                                                        TimePoint now) = 0;
    // The response to a message that could not be parsed.
    virtual ImmediateRejection map_parse_error(http::ParseError error) const { return rejection_for(error); }
    // Size limits of messages that begin from now on.
    virtual http::Limits parser_limits() const = 0;
    // From connecting, or from a request's first byte, until its head is complete.
    virtual Duration header_timeout() const = 0;
    // How long a connection may wait for its next request after `request_count` requests, at least one.
    virtual Duration idle_timeout(std::uint64_t request_count) const = 0;
    // For a request no part of which has run or will run. `retry_after`: when to retry; 0: not stated.
    virtual GatewayAnswer rejection_answer(RejectionReason reason, Duration retry_after) const = 0;
    // For a request that failed without a server's response to forward.
    virtual GatewayAnswer failure_answer(FailureReason reason) const = 0;
    // Headers of every response after which the connection stays open, as complete lines.
    virtual std::string_view keep_alive_headers() const { return {}; }
};

}    // namespace shaletray
