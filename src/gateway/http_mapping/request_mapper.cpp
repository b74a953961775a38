#include "gateway/http_mapping/request_mapper.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kAttemptIdHeader = "X-Attempt-Id", kDeadlineHeader = "X-Deadline-Remaining",
                           kTargetInstanceHeader = "X-Target-Instance", kTenantHeader = "X-Tenant",
                           kServerSealHeader = "X-Server-Seal", kNotExecutedHeader = "X-Not-Executed",
                           kInstanceIdHeader = "X-Instance-Id", kAuthorizationHeader = "Authorization",
                           kHostHeader = "Host", kConnectionHeader = "Connection",
                           kContentLengthHeader = "Content-Length";
constexpr std::size_t kMaxIdLength = 256;
constexpr int kBadGatewayStatus = 502;

// Those that concern one connection only, and those that the other side of it writes itself.
constexpr std::string_view kHopByHopHeaders[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

template <class Names>
bool contains_name(std::string_view name, const Names& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view candidate) { return http::equals_ignore_case(candidate, name); });
}

bool list_contains(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        if (http::equals_ignore_case(http::trim(list.substr(0, end)), name)) return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

// The message's headers as they are passed along.
template <class Drop>
void copy_headers(const http::Parser& parser, const http::Buffer& buffer, std::string& text, Drop drop) {
    const auto named_in_connection = [&](std::string_view name) {
        for (std::size_t i = 0; i < parser.total_headers(); ++i) {
            const auto [header_name, value] = parser.header_at(buffer, i);
            if (http::equals_ignore_case(header_name, kConnectionHeader) && list_contains(value, name))
                return true;
        }
        return false;
    };
    const bool has_connection_header = !parser.header(buffer, kConnectionHeader).empty();
    for (std::size_t i = 0; i < parser.total_headers(); ++i) {
        const auto [name, value] = parser.header_at(buffer, i);
        if (contains_name(name, kHopByHopHeaders) || drop(name) ||
            (has_connection_header && named_in_connection(name)))
            continue;
        text.append(name).append(": ").append(value).append("\r\n");
    }
}

// To a client, these say that its request has not run and never will.
bool promises_not_executed(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view api_key_of(std::string_view authorization) {
    constexpr std::string_view kScheme = "Bearer ";
    if (!http::equals_ignore_case(authorization.substr(0, kScheme.size()), kScheme)) return {};
    return http::trim(authorization.substr(kScheme.size()));
}

}    // namespace

std::optional<Duration> parse_deadline(std::string_view text) {
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 0.0 && value <= 3.6e6))
        return {};
    return Duration(static_cast<std::int64_t>(value * 1000.0));
}

// ---- clients ----

std::variant<MappedRequest, ImmediateRejection> RequestMapper::map_request(const http::Parser& parser,
                                                                           const http::Buffer& buffer,
                                                                           TimePoint) {
    const auto reject = [](int status, std::string_view reason) {
        ImmediateRejection rejection{status, reason};
        rejection.keep_alive = true;
        return rejection;
    };
    // Given twice, a server might go by the other one.
    for (const std::string_view name :
         {kHostHeader, kAttemptIdHeader, kDeadlineHeader, kAuthorizationHeader}) {
        if (parser.header_count(buffer, name) > 1)
            return ImmediateRejection{400, "a header that may come once came twice"};
    }
    const std::string_view method = parser.method(buffer), target = parser.target(buffer);
    // Their answers are framed otherwise than all others; no route asks for them.
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
    MappedRequest accepted;
    accepted.request_id = parser.header(buffer, kAttemptIdHeader);
    if (accepted.request_id.empty() || accepted.request_id.size() > kMaxIdLength)
        return reject(400, "no X-Attempt-Id, or too long a one");
    IncomingRequest& request = accepted.incoming;
    request.time_budget = route.timeout;
    if (const std::string_view remaining_text = parser.header(buffer, kDeadlineHeader);
        !remaining_text.empty()) {
        const std::optional<Duration> deadline = parse_deadline(remaining_text);
        if (!deadline) return reject(400, "malformed X-Deadline-Remaining");
        request.time_budget = std::min(request.time_budget, *deadline);
    }
    std::string& head = request.payload.head;
    head.reserve(512);
    head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    copy_headers(parser, buffer, head, [](std::string_view name) {
        return contains_name(
            name, std::initializer_list<std::string_view>{kAuthorizationHeader, kTenantHeader,
                                                          kTargetInstanceHeader, kDeadlineHeader, "Expect"});
    });
    if (match->tenant != nullptr)
        head.append(kTenantHeader).append(": ").append(match->tenant->name).append("\r\n");
    if (parser.is_complete()) request.payload.body = parser.body(buffer);
    const bool has_body =
        parser.content_length().has_value() || !parser.is_complete() || !request.payload.body.empty();
    if (const auto length = parser.content_length(); has_body && (parser.is_complete() || length)) {
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", kContentLengthHeader,
                       parser.is_complete() ? request.payload.body.size() : *length);
    } else if (has_body) {
        head.append("Transfer-Encoding: chunked\r\n");
    }
    request.payload.request_id = accepted.request_id;
    accepted.allows_pipelining = route.kind == configuration::RouteKind::Idempotent;
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

// Either promises that the request has not run and never will.
GatewayAnswer RequestMapper::rejection_answer(RejectionReason reason, Duration retry_after) const {
    const double seconds = std::chrono::duration<double>(std::max(retry_after, Duration(1ms))).count();
    return {reason == RejectionReason::Quota ? 429 : 503, fmt::format("Retry-After: {:.3f}\r\n", seconds)};
}

GatewayAnswer RequestMapper::failure_answer(FailureReason reason) const {
    return {reason == FailureReason::DeadlineExceeded ? 504 : kBadGatewayStatus, ""};
}

// ---- servers ----

std::string UpstreamCodec::write_request(const Payload& request, HostId host, Duration time_left) const {
    const std::optional<Target> target = target_of_(host);
    std::string text;
    const std::string_view first_line =
        request.upload ? request.upload->initial_body() : std::string_view(request.body);
    text.reserve(request.head.size() + first_line.size() + 128);
    fmt::format_to(std::back_inserter(text), "{}{}: {}\r\n{}: {}\r\n\r\n", request.head, kDeadlineHeader,
                   std::max<std::int64_t>(1, time_left / 1ms), kTargetInstanceHeader,
                   target ? target->id : std::string());
    const bool chunked = request.upload && !request.upload->total_length();
    if (chunked) text += write_chunk(first_line);
    else text += first_line;
    return text;
}

std::string UpstreamCodec::write_health_check(HostId host, std::string_view address) const {
    const std::optional<Target> target = target_of_(host);
    return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target ? target->health_check : "/", address);
}

// Only the server's own word proves that it never ran.
Outcome UpstreamCodec::outcome_of(const ExchangeContext&, const http::Parser& parser,
                                  const http::Buffer& buffer) const {
    const int status = parser.status_code();
    if (status >= 200 && status < 300) return Outcome::Ok;
    if (status == 421 || parser.header_count(buffer, kNotExecutedHeader) > 0) return Outcome::Full;
    // Its own 4xx is an answer like any other.
    return status >= 500 || promises_not_executed(status) ? Outcome::Error : Outcome::Ok;
}

AnswerMatch UpstreamCodec::match_answer(const ExchangeContext& request, const http::Parser& parser,
                                        const http::Buffer& buffer) const {
    if (request.is_health_check) {    // whoever answers has to be the one that was asked
        const std::string_view instance = parser.header(buffer, kInstanceIdHeader);
        const std::optional<Target> target = target_of_(request.host);
        return instance.empty() || (target && instance == target->id) ? AnswerMatch::Match
                                                                      : AnswerMatch::Mismatch;
    }
    // Without the id, or with two, it could be another request's: a failure too carries its server's words.
    const std::string_view id = parser.header(buffer, kAttemptIdHeader);
    if (id.empty() || parser.header_count(buffer, kAttemptIdHeader) > 1) return AnswerMatch::Mismatch;
    if (id != request.request_id) return AnswerMatch::EarlierRequest;
    if (parser.status_code() < 200 || parser.status_code() >= 300) return AnswerMatch::Match;
    const bool has_seal = parser.header_count(buffer, kServerSealHeader) == 1 &&
                          !parser.header(buffer, kServerSealHeader).empty();
    return has_seal && parser.header_count(buffer, "Content-Encoding") == 0 ? AnswerMatch::Match
                                                                            : AnswerMatch::Mismatch;
}

Payload UpstreamCodec::answer_of(const http::Parser& parser, const http::Buffer& buffer,
                                 bool with_body) const {
    Payload response;
    // What promises that nothing ran, without the server's word for it, must not reach a client as it is.
    if (promises_not_executed(parser.status_code())) {
        response.status_code = kBadGatewayStatus;
        return response;
    }
    response.status_code = parser.status_code();
    copy_headers(parser, buffer, response.head, [](std::string_view) { return false; });
    if (with_body) response.body = parser.body(buffer);
    return response;
}

std::optional<Duration> UpstreamCodec::server_idle_timeout(const http::Parser& parser,
                                                           const http::Buffer& buffer) const {
    std::string_view parameters = parser.header(buffer, "Keep-Alive");
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t position = parameters.find(kTimeout);
    if (position == std::string_view::npos) return {};
    parameters.remove_prefix(position + kTimeout.size());
    unsigned seconds = 0;
    const auto [end, error] =
        std::from_chars(parameters.data(), parameters.data() + parameters.size(), seconds);
    if (error != std::errc{} || seconds > 86400) return {};
    return std::chrono::seconds(seconds);
}

}    // namespace shaletray::http_mapping
