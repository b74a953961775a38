#include "gateway/http_mapping/request_mapper.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>

#include "gateway/http_mapping/headers.h"

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxIdLength = 256;
constexpr double kMaxDeadlineMs = 3.6e6;    // an hour
constexpr std::size_t kTypicalHeadSize = 512;

// Returns the API key of an Authorization header; empty where it has another scheme.
std::string_view api_key_of(std::string_view authorization) {
    constexpr std::string_view kScheme = "Bearer ";
    if (!http::equals_ignore_case(authorization.substr(0, kScheme.size()), kScheme)) return {};
    return http::trim(authorization.substr(kScheme.size()));
}

// Creates a rejection after which the client's connection stays open.
ImmediateRejection reject(int status, std::string_view reason) {
    ImmediateRejection rejection{status, reason};
    rejection.keep_alive = true;
    return rejection;
}

// Whether the header is removed, or replaced by the gateway's own.
bool is_replaced_header(std::string_view name) {
    return contains_name(
        name, std::initializer_list<std::string_view>{kAuthorizationHeader, kTenantHeader,
                                                      kTargetInstanceHeader, kDeadlineHeader, "Expect"});
}

void append_framing(const http::Parser& parser, std::size_t body_size, std::string& head) {
    const std::optional<std::size_t> length = parser.content_length();
    const bool has_body = length.has_value() || !parser.is_complete() || body_size > 0;
    if (!has_body) return;
    if (parser.is_complete() || length) {
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", kContentLengthHeader,
                       parser.is_complete() ? body_size : *length);
    } else {
        head.append("Transfer-Encoding: chunked\r\n");
    }
}

// Writes the request for the server, without the headers that UpstreamCodec adds for each attempt.
void write_payload(const http::Parser& parser, const http::Buffer& buffer,
                   const configuration::Tenant* tenant, Payload& payload) {
    std::string& head = payload.head;
    head.reserve(kTypicalHeadSize);
    head.append(parser.method(buffer)).append(" ").append(parser.target(buffer)).append(" HTTP/1.1\r\n");
    copy_headers(parser, buffer, head, is_replaced_header);
    if (tenant != nullptr) head.append(kTenantHeader).append(": ").append(tenant->name).append("\r\n");
    if (parser.is_complete()) payload.body = parser.body(buffer);
    append_framing(parser, payload.body.size(), head);
}

}    // namespace

std::optional<Duration> parse_deadline(std::string_view text) {
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() ||
        !(value >= 0.0 && value <= kMaxDeadlineMs))
        return {};
    return Duration(static_cast<std::int64_t>(value * 1000.0));
}

std::optional<ownership::Key> parse_shard_key(std::string_view text) {
    ownership::Key key = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key);
    if (error != std::errc{} || end != text.data() + text.size()) return {};
    return key;
}

void RequestMapper::set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> index) {
    configuration_index_ = std::move(index);
    sharded_services_ = configuration::sharded_services(configuration_index_->config());
}

// Whether requests of the route may go to a service whose keys are divided among its servers.
bool RequestMapper::needs_shard_key(const configuration::Route& route) const {
    if (sharded_services_.empty()) return false;
    return std::any_of(route.targets.begin(), route.targets.end(),
                       [this](const configuration::WeightedService& target) {
                           return sharded_services_.contains(target.service);
                       });
}

std::variant<MappedRequest, ImmediateRejection> RequestMapper::map_request(const http::Parser& parser,
                                                                           const http::Buffer& buffer,
                                                                           TimePoint) {
    // The gateway and the server could interpret a duplicate header differently.
    for (const std::string_view name :
         {kHostHeader, kAttemptIdHeader, kDeadlineHeader, kAuthorizationHeader, kShardKeyHeader}) {
        if (parser.header_count(buffer, name) > 1)
            return ImmediateRejection{400, "a header that may come once came twice"};
    }
    const std::string_view method = parser.method(buffer);
    const std::string_view target = parser.target(buffer);
    // Responses to these methods are framed differently from all others, and no route needs them.
    if (method == "HEAD" || method == "CONNECT")
        return ImmediateRejection{501, "this method is not passed on"};
    if (!configuration_index_) return reject(503, "no configuration is known here yet");
    auto match = std::make_shared<RouteMatch>();
    match->configuration_index = configuration_index_;
    match->route = configuration_index_->find_route(parser.header(buffer, kHostHeader),
                                                    target.substr(0, target.find('?')));
    if (match->route == nullptr) return reject(404, "no route leads there");
    const configuration::Route& route = *match->route;
    if (configuration_index_->requires_api_key()) {
        match->tenant =
            configuration_index_->find_tenant(api_key_of(parser.header(buffer, kAuthorizationHeader)));
        if (match->tenant == nullptr && !route.is_public) return reject(401, "no key, or an unknown one");
    }
    if (needs_shard_key(route)) {
        match->shard_key = parse_shard_key(parser.header(buffer, kShardKeyHeader));
        if (!match->shard_key) return reject(400, "no X-Shard-Key from 0 to 65535");
    }
    MappedRequest accepted;
    accepted.request_id = parser.header(buffer, kAttemptIdHeader);
    if (accepted.request_id.empty() || accepted.request_id.size() > kMaxIdLength)
        return reject(400, "no X-Attempt-Id, or too long a one");
    IncomingRequest& request = accepted.incoming;
    request.time_budget = route.timeout;
    if (const std::string_view text = parser.header(buffer, kDeadlineHeader); !text.empty()) {
        const std::optional<Duration> deadline = parse_deadline(text);
        if (!deadline) return reject(400, "malformed X-Deadline-Remaining");
        request.time_budget = std::min(request.time_budget, *deadline);
    }
    write_payload(parser, buffer, match->tenant, request.payload);
    request.payload.request_id = accepted.request_id;
    request.payload.is_repeatable = route.kind == configuration::RouteKind::Idempotent;
    accepted.allows_pipelining = request.payload.is_repeatable;
    request.context = std::move(match);
    return accepted;
}

http::Limits RequestMapper::parser_limits() const {
    http::Limits limits;
    const configuration::Limits route_limits =
        configuration_index_ ? configuration_index_->config().limits : configuration::Limits{};
    limits.max_head_size = route_limits.max_header_bytes;
    limits.max_body_size = route_limits.max_body_bytes;
    return limits;
}

Duration RequestMapper::header_timeout() const {
    return configuration_index_ ? configuration_index_->config().limits.header_timeout
                                : configuration::Limits{}.header_timeout;
}
Duration RequestMapper::idle_timeout(std::uint64_t) const {
    return configuration_index_ ? configuration_index_->config().limits.idle_timeout
                                : configuration::Limits{}.idle_timeout;
}

// Both status codes promise that the request has not been executed and never will be.
GatewayAnswer RequestMapper::rejection_answer(RejectionReason reason, Duration retry_after) const {
    const double seconds = std::chrono::duration<double>(std::max(retry_after, Duration(1ms))).count();
    return {reason == RejectionReason::Quota ? 429 : 503, fmt::format("Retry-After: {:.3f}\r\n", seconds)};
}

GatewayAnswer RequestMapper::failure_answer(FailureReason reason) const {
    return {reason == FailureReason::DeadlineExceeded ? 504 : kBadGatewayStatus, ""};
}

}    // namespace shaletray::http_mapping
