// What this platform's HTTP messages mean, and how ours are written.
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

// Of a request whose body is still coming the body is left to the caller, as its `upload`.
std::variant<IncomingRequest, ImmediateRejection> read_request(const http::Parser& parser,
                                                               const http::Buffer& buffer,
                                                               const GatewayConfig& config);
std::string_view correlation_id(const http::Parser& parser, const http::Buffer& buffer);
bool is_readiness_check(const http::Parser& parser, const http::Buffer& buffer);

// "480m" or "480000u"; nothing below zero.
bool parse_time_left(std::string_view text, Duration& left);
// "inflight=7,queue=2,util=0.61", under the names the module's settings use. What cannot be read is left out.
LoadReport parse_load(std::string_view text);

// To a server.
std::string write_request(const Payload& request, Duration left);
std::string write_health_check(std::string_view host);
std::string write_list_watch(std::string_view host, std::int64_t revision);

// From a server.
Outcome outcome_of(const http::Parser& parser, const http::Buffer& buffer);
LoadReport load_report_of(const http::Parser& parser, const http::Buffer& buffer);
Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body = true);
// The true units that a good answer tells where units are settled afterwards ("X-Cost-Units: 3"): above 0.
// kUnitsUntold where it tells none; kUnitsMalformed where it tells anything else, or twice.
double settled_units_of(const http::Parser& parser, const http::Buffer& buffer);

// To a client.
std::string format_retry_after(Duration wait);

// The above, as the parts on sockets ask for it.
class PlatformRequestMapping : public RequestMapping {
public:
    explicit PlatformRequestMapping(const GatewayConfig& config) : config_(config) {}

    bool is_readiness_check(const http::Parser& parser, const http::Buffer& buffer) const override;
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint now) override;
    ImmediateRejection map_parse_error(http::ParseError fault) const override;
    http::Limits parser_limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t asked) const override;
    GatewayAnswer rejection_answer(RejectionReason why, Duration wait) const override;
    GatewayAnswer failure_answer(FailureReason why) const override;

private:
    const GatewayConfig& config_;
};

class PlatformUpstreamProtocol : public UpstreamProtocol {
public:
    std::string write_request(const Payload& request, HostId host, Duration left) const override;
    std::string write_health_check(HostId host, std::string_view address) const override;
    Outcome outcome_of(const ExchangeContext& asked, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    bool is_forwardable(const ExchangeContext& asked, const http::Parser& parser,
                        const http::Buffer& buffer) const override;
    LoadReport load_report_of(const http::Parser& parser, const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    double settled_units_of(const http::Parser& parser, const http::Buffer& buffer) const override;
};

}    // namespace shaletray
