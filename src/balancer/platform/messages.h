// This platform's HTTP messages: parses requests of clients and responses of servers, and writes the
// gateway's own. Pure functions, and the classes that offer them to the data plane.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "balancer/platform/gateway_config.h"
#include "base/http/answer.h"
#include "base/http/message.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/request_mapping.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray {

// Parses a client's request. If its body is still being received, the caller sets the payload's `upload`.
std::variant<IncomingRequest, ImmediateRejection> read_request(const http::Parser& parser,
                                                               const http::Buffer& buffer,
                                                               const GatewayConfig& config);
// The request's id for logs; empty if it has none.
std::string_view correlation_id(const http::Parser& parser, const http::Buffer& buffer);
bool is_readiness_check(const http::Parser& parser, const http::Buffer& buffer);

// Parses "480m" (milliseconds) or "480000u" (microseconds); false for anything else and below 0.
bool parse_time_left(std::string_view text, Duration& left);
// Parses "inflight=7,queue=2,util=0.61", under the names of the decision module. Malformed items are skipped.
LoadReport parse_load(std::string_view text);

// Requests to servers and discovery.
std::string write_request(const Payload& request, Duration left);
std::string write_health_check(std::string_view host);
std::string write_list_watch(std::string_view host, std::int64_t revision);

// Responses of servers; see UpstreamProtocol.
Outcome outcome_of(const http::Parser& parser, const http::Buffer& buffer);
LoadReport load_report_of(const http::Parser& parser, const http::Buffer& buffer);
Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body = true);
// The actual units, above 0, that a successful response reports ("X-Cost-Units: 3"). kUnitsUnreported if it
// has none; kUnitsMalformed for other values or several headers.
double settled_units_of(const http::Parser& parser, const http::Buffer& buffer);

// The value of a Retry-After header for a client.
std::string format_retry_after(Duration wait);

// The platform's request mapping. `config` outlives it; changes of it apply to later messages.
class PlatformRequestMapping : public RequestMapping {
public:
    explicit PlatformRequestMapping(const GatewayConfig& config) : config_(config) {}

    bool is_readiness_check(const http::Parser& parser, const http::Buffer& buffer) const override;
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint now) override;
    ImmediateRejection map_parse_error(http::ParseError error) const override;
    http::Limits parser_limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t request_count) const override;
    GatewayAnswer rejection_answer(RejectionReason reason, Duration wait) const override;
    GatewayAnswer failure_answer(FailureReason reason) const override;

private:
    const GatewayConfig& config_;
};

// The platform's upstream protocol; stateless.
class PlatformUpstreamProtocol : public UpstreamProtocol {
public:
    std::string write_request(const Payload& request, HostId host, Duration left) const override;
    std::string write_health_check(HostId host, std::string_view address) const override;
    Outcome outcome_of(const ExchangeContext& exchange, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    bool is_forwardable(const ExchangeContext& exchange, const http::Parser& parser,
                        const http::Buffer& buffer) const override;
    LoadReport load_report_of(const http::Parser& parser, const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    double settled_units_of(const http::Parser& parser, const http::Buffer& buffer) const override;
};

}    // namespace shaletray
