#include "balancer/platform/messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace shaletray {
namespace {

constexpr std::string_view kRequestIdHeader = "X-Correlation-Id", kPlanHeader = "X-Tier",
                           kTimeLeftHeader = "X-Time-Left", kIdempotencyKeyHeader = "Idempotency-Key",
                           kTermsHeader = "X-Call-Terms", kLoadHeader = "X-Backend-Load",
                           kUnprocessedHeader = "X-Unprocessed", kContentTypeHeader = "Content-Type",
                           kCookieHeader = "Cookie", kHostHeader = "Host",
                           kReservationHeader = "X-Reservation", kCostUnitsHeader = "X-Cost-Units";

constexpr double kMaxReportedLoad = 1e6;
constexpr int kServedStatus = 200, kRejectedStatus = 429, kFailedStatus = 502;
// Limits of client requests.
constexpr std::size_t kMaxHeadSize = 16 * 1024, kMaxHeaders = 100, kMaxBodySize = 64 * 1024 * 1024;
// From connecting, or from a request's first byte, until its head is complete: two seconds, plus network
// delay.
constexpr Duration kRequestHeadTimeout = std::chrono::milliseconds(2500);
constexpr Duration kIdleAfterFirstRequest =
    std::chrono::seconds(2);                                        // after the first request of a connection
constexpr Duration kKeepAliveTimeout = std::chrono::seconds(60);    // after further requests
constexpr std::uint64_t kCustomerIdLimit = 1ULL << 33;
constexpr std::size_t kMaxIdLength = 256;
constexpr std::size_t kMaxReservationLength = 64;

template <class Number>
bool parse_number(std::string_view text, Number& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

// Calls `handle_pair` with each name=value of a list; false if an item has no '='.
template <class Handler>
bool for_each_pair(std::string_view text, char separator, Handler handle_pair) {
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view item = http::trim(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) return false;
        handle_pair(http::trim(item.substr(0, equals)), http::trim(item.substr(equals + 1)));
    }
    return true;
}

bool parse_customer(std::string_view cookie, decision::CustomerId& customer) {
    std::string_view value;
    int occurrences = 0;
    for_each_pair(cookie, ';', [&](std::string_view name, std::string_view pair_value) {
        if (name != "customer") return;
        value = pair_value;
        ++occurrences;
    });
    if (occurrences != 1) return false;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number, 16);
    if (value.size() != 16 || error != std::errc{} || end != value.data() + value.size()) return false;
    if (number >= kCustomerIdLimit) return false;
    customer = decision::CustomerId{number};
    return true;
}

// Rejects units that no quota allows and impossible gateway sets: in the decision module these would assign
// the customer's quota to other gateways.
bool parse_terms(std::string_view text, const decision::Settings& settings, IncomingRequest& request) {
    int units = 0, spread = 0, first = 0;    // occurrences of each; must be 1
    constexpr int kMalformed = 2;
    const bool pairs = for_each_pair(text, ',', [&](std::string_view name, std::string_view value) {
        if (name == "units") units += parse_number(value, request.units) ? 1 : kMalformed;
        else if (name == "spread") spread += parse_number(value, request.gateway_set_size) ? 1 : kMalformed;
        else if (name == "first") first += parse_number(value, request.first_gateway_index) ? 1 : kMalformed;
    });
    return pairs && units == 1 && spread == 1 && first == 1 && request.units > 0.0 &&
           request.units <= std::max(1.0, settings.most_units) && request.gateway_set_size >= 1 &&
           request.gateway_set_size <= settings.gateways && request.first_gateway_index >= 0 &&
           request.first_gateway_index < settings.gateways;
}

template <class Items>
int index_of(const Items& items, std::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return static_cast<int>(i);
    }
    return -1;
}

std::string_view first_segment(std::string_view target) {
    target.remove_prefix(1);
    return target.substr(0, std::min(target.find_first_of("/?"), target.size()));
}

}    // namespace

bool parse_time_left(std::string_view text, Duration& left) {
    if (text.empty()) return false;
    const double unit = text.back() == 'm' ? 1000.0 : text.back() == 'u' ? 1.0 : 0.0;
    double value = 0.0;
    if (unit == 0.0 || !parse_number(text.substr(0, text.size() - 1), value)) return false;
    if (!(value >= 0.0) || value * unit > 3.6e9) return false;    // an hour
    left = Duration(static_cast<std::int64_t>(value * unit));
    return true;
}

LoadReport parse_load(std::string_view text) {
    static const std::map<std::string_view, std::string_view> kNames = {
        {"inflight", "outstanding"}, {"queue", "backlog"},  {"util", "utilization"},
        {"latency_ms", "recent_ms"}, {"qps", "throughput"}, {"eps", "errors_per_s"}};
    LoadReport report;
    for_each_pair(text, ',', [&](std::string_view name, std::string_view value) {
        double number = 0.0;
        // Negative and implausibly large values are ignored like malformed ones.
        if (!parse_number(value, number) || !(number >= 0.0 && number <= kMaxReportedLoad)) return;
        const auto known = kNames.find(name);
        report.emplace(known == kNames.end() ? name : known->second, number);
    });
    return report;
}

bool is_readiness_check(const http::Parser& parser, const http::Buffer& buffer) {
    const std::string_view target = parser.target(buffer);
    return parser.method(buffer) == "GET" && target.substr(0, target.find('?')) == "/health/ready";
}

std::variant<IncomingRequest, ImmediateRejection> read_request(const http::Parser& parser,
                                                               const http::Buffer& buffer,
                                                               const GatewayConfig& config) {
    IncomingRequest request;
    const std::string_view method = parser.method(buffer), target = parser.target(buffer);
    const int class_position = index_of(config.settings.classes, first_segment(target));
    if (class_position < 0) return ImmediateRejection{404, "unknown class of requests"};
    const auto class_index = static_cast<std::size_t>(class_position);
    const auto& cls = config.settings.classes[class_index];
    request.class_index = config.engine_class_indexes[class_index];
    // The class determines the method: another method would imply other guarantees about repetition.
    const bool safe = cls.repeat == decision::Repeat::Safe;
    if (method != (safe ? "GET" : "POST")) return ImmediateRejection{405, "this class takes another method"};
    request.is_streaming = config.streams_by_class[class_index];

    // Rejects duplicates: the server might use the other value.
    for (const std::string_view name : {kRequestIdHeader, kIdempotencyKeyHeader, kPlanHeader, kTermsHeader,
                                        kTimeLeftHeader, kCookieHeader, kHostHeader}) {
        if (parser.header_count(buffer, name) > 1)
            return ImmediateRejection{400, "a header that may come once came twice"};
    }
    const std::string_view id = correlation_id(parser, buffer),
                           key = parser.header(buffer, kIdempotencyKeyHeader);
    if (id.empty() || id.size() > kMaxIdLength)
        return ImmediateRejection{400, "no correlation id, or too long a one"};
    if (safe && !parser.body(buffer).empty()) return ImmediateRejection{400, "this class takes no body"};
    if (cls.repeat == decision::Repeat::Keyed && key.empty())
        return ImmediateRejection{400, "no idempotency key"};
    request.plan_index = index_of(config.settings.plans, parser.header(buffer, kPlanHeader));
    if (request.plan_index < 0) return ImmediateRejection{400, "unknown plan"};
    if (!parse_customer(parser.header(buffer, kCookieHeader), request.customer))
        return ImmediateRejection{400, "no customer, or a malformed one"};
    if (!parse_terms(parser.header(buffer, kTermsHeader), config.settings, request))
        return ImmediateRejection{400, "malformed call terms"};
    if (config.reservations_enabled) {
        if (parser.header_count(buffer, kReservationHeader) > 1)
            return ImmediateRejection{400, "a header that may come once came twice"};
        request.reservation_id = parser.header(buffer, kReservationHeader);
        if (request.reservation_id.size() > kMaxReservationLength)
            return ImmediateRejection{400, "too long a reservation"};
    }
    request.time_budget = cls.give_up;
    if (const std::string_view left = parser.header(buffer, kTimeLeftHeader);
        !left.empty() && !parse_time_left(left, request.time_budget)) {
        return ImmediateRejection{400, "malformed time left"};
    }
    // Bounded by the deadline of the class, which bounds the duration of a shutdown.
    if (cls.give_up > Duration(0)) request.time_budget = std::min(request.time_budget, cls.give_up);

    std::string& head = request.payload.head;
    head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    const auto add = [&](std::string_view name, std::string_view value) {
        if (!value.empty()) head.append(name).append(": ").append(value).append("\r\n");
    };
    add(kHostHeader, parser.header(buffer, kHostHeader));
    add(kRequestIdHeader, id);
    add(kIdempotencyKeyHeader, key);
    add(kContentTypeHeader, parser.header(buffer, kContentTypeHeader));
    if (safe) return request;
    if (parser.is_complete()) request.payload.body = parser.body(buffer);
    if (const auto length = parser.content_length(); parser.is_complete() || length)
        add("Content-Length", std::to_string(length.value_or(request.payload.body.size())));
    else add("Transfer-Encoding", "chunked");
    return request;
}

std::string_view correlation_id(const http::Parser& parser, const http::Buffer& buffer) {
    return parser.header(buffer, kRequestIdHeader);
}

std::string write_request(const Payload& request, Duration left) {
    const std::string head = fmt::format("{}{}: {}u\r\n\r\n", request.head, kTimeLeftHeader, left.count());
    if (!request.upload) return head + request.body;
    const std::string_view first = request.upload->initial_body();
    return request.upload->total_length() ? fmt::format("{}{}", head, first) : head + write_chunk(first);
}

std::string write_health_check(std::string_view host) {
    return fmt::format("GET /health/live HTTP/1.1\r\nHost: {}\r\n\r\n", host);
}

std::string write_list_watch(std::string_view host, std::int64_t revision) {
    return fmt::format("GET /registry/instances?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n", revision,
                       host);
}

Outcome outcome_of(const http::Parser& parser, const http::Buffer& buffer) {
    const int status = parser.status_code();
    if (status == 200) return Outcome::Ok;
    // Only this header of the server proves that the request was not executed.
    if ((status == 503 || status == 504) && parser.header(buffer, kUnprocessedHeader) == "1")
        return Outcome::Full;
    return Outcome::Error;
}

LoadReport load_report_of(const http::Parser& parser, const http::Buffer& buffer) {
    return parse_load(parser.header(buffer, kLoadHeader));
}

double settled_units_of(const http::Parser& parser, const http::Buffer& buffer) {
    const std::size_t header_count = parser.header_count(buffer, kCostUnitsHeader);
    if (header_count == 0) return kUnitsUnreported;
    double units = 0.0;
    // With several headers the right one is unknown. The engine checks the range of the units.
    const bool is_parsed =
        header_count == 1 && parse_number(http::trim(parser.header(buffer, kCostUnitsHeader)), units);
    return is_parsed && units > 0.0 ? units : kUnitsMalformed;
}

Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) {
    Payload answer;
    answer.status_code = parser.status_code();
    if (const std::string_view type = parser.header(buffer, kContentTypeHeader); !type.empty())
        answer.head = fmt::format("{}: {}\r\n", kContentTypeHeader, type);
    if (with_body) answer.body = parser.body(buffer);
    return answer;
}

std::string format_retry_after(Duration wait) {
    if (wait <= Duration(0)) return {};
    return fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>(wait).count());
}

// ---- interfaces of the data plane ----

bool PlatformRequestMapping::is_readiness_check(const http::Parser& parser,
                                                const http::Buffer& buffer) const {
    return shaletray::is_readiness_check(parser, buffer);
}

std::variant<MappedRequest, ImmediateRejection> PlatformRequestMapping::map_request(
    const http::Parser& parser, const http::Buffer& buffer, TimePoint) {
    auto request = read_request(parser, buffer, config_);
    if (const auto* rejection = std::get_if<ImmediateRejection>(&request)) return *rejection;
    return MappedRequest{std::get<IncomingRequest>(std::move(request)),
                         std::string(correlation_id(parser, buffer))};
}

ImmediateRejection PlatformRequestMapping::map_parse_error(http::ParseError error) const {
    if (error == http::ParseError::BodyTooLarge) return {413, "body over 64 MiB"};
    return rejection_for(error);
}

http::Limits PlatformRequestMapping::parser_limits() const {
    return {kMaxHeadSize, kMaxBodySize, kMaxHeaders};
}
Duration PlatformRequestMapping::header_timeout() const { return kRequestHeadTimeout; }
Duration PlatformRequestMapping::idle_timeout(std::uint64_t request_count) const {
    return request_count == 1 ? kIdleAfterFirstRequest : kKeepAliveTimeout;
}
GatewayAnswer PlatformRequestMapping::rejection_answer(RejectionReason, Duration wait) const {
    return {kRejectedStatus, format_retry_after(wait)};
}
GatewayAnswer PlatformRequestMapping::failure_answer(FailureReason) const { return {kFailedStatus}; }

std::string PlatformUpstreamProtocol::write_request(const Payload& request, HostId, Duration left) const {
    return shaletray::write_request(request, left);
}

std::string PlatformUpstreamProtocol::write_health_check(HostId, std::string_view address) const {
    return shaletray::write_health_check(address);
}

Outcome PlatformUpstreamProtocol::outcome_of(const ExchangeContext&, const http::Parser& parser,
                                             const http::Buffer& buffer) const {
    return shaletray::outcome_of(parser, buffer);
}

bool PlatformUpstreamProtocol::is_forwardable(const ExchangeContext&, const http::Parser& parser,
                                              const http::Buffer&) const {
    return parser.status_code() == kServedStatus;
}

LoadReport PlatformUpstreamProtocol::load_report_of(const http::Parser& parser,
                                                    const http::Buffer& buffer) const {
    return shaletray::load_report_of(parser, buffer);
}

Payload PlatformUpstreamProtocol::answer_of(const http::Parser& parser, const http::Buffer& buffer,
                                            bool with_body) const {
    return shaletray::answer_of(parser, buffer, with_body);
}

double PlatformUpstreamProtocol::settled_units_of(const http::Parser& parser,
                                                  const http::Buffer& buffer) const {
    return shaletray::settled_units_of(parser, buffer);
}

}    // namespace shaletray
