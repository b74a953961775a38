// Interface between server connections and a platform: writes requests and health checks, and classifies
// responses. Used on the reactor's thread.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/http/message.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// The request that the exchange on a connection carries.
struct ExchangeContext {
    HostId host{};
    bool is_health_check = false;
    std::string request_id = {};    // Payload::request_id; empty for a health check
};

// Whether a response belongs to the request of the exchange.
enum class AnswerMatch {
    Match,
    EarlierRequest,    // belongs to an earlier request: skipped, and the next response is read
    Mismatch,          // belongs to no known request: malformed, and the connection is closed
};

// Implemented by each platform. Holds no state of an exchange.
class UpstreamProtocol {
public:
    virtual ~UpstreamProtocol() = default;
    // The bytes to send. Of a request with Payload::upload, its initial body is included and the rest
    // follows.
    virtual std::string write_request(const Payload& request, HostId host, Duration time_left) const = 0;
    virtual std::string write_health_check(HostId host, std::string_view address) const = 0;

    // The functions below get final responses only, not interim ones (1xx). match_answer, outcome_of and
    // is_forwardable are called as soon as the head is complete and must depend on the head alone; outcome_of
    // is called again when the response is complete. Responses with Outcome::Ok, and those that are
    // forwardable, go to the client; ConnectFailed, Full and NotSent mean that nothing of the request ran.
    virtual AnswerMatch match_answer(const ExchangeContext&, const http::Parser&, const http::Buffer&) const {
        return AnswerMatch::Match;
    }
    virtual Outcome outcome_of(const ExchangeContext& exchange, const http::Parser& parser,
                               const http::Buffer& buffer) const = 0;
    virtual bool is_forwardable(const ExchangeContext& exchange, const http::Parser& parser,
                                const http::Buffer& buffer) const {
        return outcome_of(exchange, parser, buffer) == Outcome::Ok;
    }
    // Called once for each complete response, before its outcome is reported.
    virtual void on_response(const ExchangeContext&, const http::Parser&, const http::Buffer&) const {}
    // The server's load as the response reports it.
    virtual LoadReport load_report_of(const http::Parser&, const http::Buffer&) const { return {}; }
    // Status and headers for the client, with the body if `with_body`.
    virtual Payload answer_of(const http::Parser& parser, const http::Buffer& buffer,
                              bool with_body) const = 0;
    // The request's actual units as the response reports them, or kUnitsUnreported or kUnitsMalformed.
    virtual double settled_units_of(const http::Parser&, const http::Buffer&) const {
        return kUnitsUnreported;
    }
    // The server's idle timeout, if the response states it. Idle connections are closed after 0.6 of it, so
    // that the server does not close a connection while a request is being sent on it.
    virtual std::optional<Duration> server_idle_timeout(const http::Parser&, const http::Buffer&) const {
        return std::nullopt;
    }
};

}    // namespace shaletray
