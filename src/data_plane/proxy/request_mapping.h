// What a platform makes of its clients' messages, and how it words what is not a server's answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/http/message.h"
#include "base/http/rejection.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// A request that was read and goes on to the intake.
struct MappedRequest {
    IncomingRequest incoming;
    std::string request_id;    // of the request; no two open ones may have the same. Empty: not checked
    bool allows_pipelining =
        false;    // the client's next request may be worked on before this one is answered
};

// An answer that is not a server's.
struct GatewayAnswer {
    int status_code = 500;
    std::string headers = {};    // whole lines, each with its end
    std::string body = {};
};

class RequestMapping {
public:
    virtual ~RequestMapping() = default;
    // A question for readiness, which is answered with 200 or 503 and counts as no request.
    virtual bool is_readiness_check(const http::Parser&, const http::Buffer&) const { return false; }
    // Of a request whose body is still coming the body is left to the caller, as its `upload`.
    virtual std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                        const http::Buffer& buffer,
                                                                        TimePoint now) = 0;
    virtual ImmediateRejection map_parse_error(http::ParseError error) const { return rejection_for(error); }
    // For messages that begin from now on.
    virtual http::Limits parser_limits() const = 0;
    // From connecting, or from a request's first byte, until its head is whole.
    virtual Duration header_timeout() const = 0;
    // How long a connection may stay that waits for its next request, after `asked` requests, at least one.
    virtual Duration idle_timeout(std::uint64_t request_count) const = 0;
    // Nothing of the request has run, and nothing will. `wait`: when it may come again, 0 where none is told.
    virtual GatewayAnswer rejection_answer(RejectionReason reason, Duration retry_after) const = 0;
    virtual GatewayAnswer failure_answer(FailureReason reason) const = 0;
    // Headers of every answer after which the connection stays, as whole lines.
    virtual std::string_view keep_alive_headers() const { return {}; }
};

}    // namespace shaletray
