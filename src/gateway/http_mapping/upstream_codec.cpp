#include "gateway/http_mapping/upstream_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "gateway/http_mapping/headers.h"

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kAddedHeadSize = 128;            // upper bound for the headers that are added
constexpr unsigned kMaxIdleTimeoutSeconds = 86'400;    // one day; larger values from servers are ignored

// Whether the status tells a client that its request has not been executed and never will be.
bool promises_not_executed(int status) {
    return status == 408 || status == kMisdirectedStatus || status == 429 || status == 503;
}

}    // namespace

std::string UpstreamCodec::write_request(const Payload& request, HostId host, Duration time_left) const {
    const std::optional<Target> target = target_of_(host);
    std::string text;
    const std::string_view body =
        request.upload ? request.upload->initial_body() : std::string_view(request.body);
    text.reserve(request.head.size() + body.size() + kAddedHeadSize);
    fmt::format_to(std::back_inserter(text), "{}{}: {}\r\n{}: {}\r\n\r\n", request.head, kDeadlineHeader,
                   std::max<std::int64_t>(1, time_left / 1ms), kTargetInstanceHeader,
                   target ? target->id : std::string());
    const bool chunked = request.upload && !request.upload->total_length();
    if (chunked) text += write_chunk(body);
    else text += body;
    return text;
}

std::string UpstreamCodec::write_health_check(HostId host, std::string_view address) const {
    const std::optional<Target> target = target_of_(host);
    return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target ? target->health_check : "/", address);
}

// Only an explicit statement of the server (421 or X-Not-Executed) proves that a request was not executed.
Outcome UpstreamCodec::outcome_of(const ExchangeContext&, const http::Parser& parser,
                                  const http::Buffer& buffer) const {
    const int status = parser.status_code();
    if (status >= 200 && status < 300) return Outcome::Ok;
    if (status == kMisdirectedStatus || parser.header_count(buffer, kNotExecutedHeader) > 0)
        return Outcome::Full;
    // Other 4xx responses are valid results of the server.
    return status >= 500 || promises_not_executed(status) ? Outcome::Error : Outcome::Ok;
}

// Reports a 421 response, with the reason: a server that is another instance than the request named states
// its own id.
void UpstreamCodec::on_response(const ExchangeContext& request, const http::Parser& parser,
                                const http::Buffer& buffer) const {
    if (!on_misdirected_ || request.is_health_check || parser.status_code() != kMisdirectedStatus) return;
    const std::string_view instance = parser.header(buffer, kInstanceIdHeader);
    const std::optional<Target> target = target_of_(request.host);
    const bool is_other = !instance.empty() && target && instance != target->id;
    on_misdirected_(request.host,
                    is_other ? MisdirectionReason::OtherInstance : MisdirectionReason::KeyNotHeld);
}

AnswerMatch UpstreamCodec::match_answer(const ExchangeContext& request, const http::Parser& parser,
                                        const http::Buffer& buffer) const {
    if (request.is_health_check) {    // the answer has to come from the instance that was asked
        const std::string_view instance = parser.header(buffer, kInstanceIdHeader);
        const std::optional<Target> target = target_of_(request.host);
        return instance.empty() || (target && instance == target->id) ? AnswerMatch::Match
                                                                      : AnswerMatch::Mismatch;
    }
    // Without the id, or with two, the response could belong to another request, also a failure response.
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
    // A status that promises non-execution must not reach a client unless the server stated it explicitly.
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
    if (error != std::errc{} || seconds > kMaxIdleTimeoutSeconds) return {};
    return std::chrono::seconds(seconds);
}

}    // namespace shaletray::http_mapping
