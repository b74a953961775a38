#include "gateway/http_mapping/request_mapper.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kId = "X-Attempt-Id", kDeadline = "X-Deadline-Remaining",
                           kTarget = "X-Target-Instance", kTenant = "X-Tenant", kSeal = "X-Server-Seal",
                           kNotExecuted = "X-Not-Executed", kInstance = "X-Instance-Id",
                           kAuthorization = "Authorization", kHost = "Host", kConnection = "Connection",
                           kLength = "Content-Length";
constexpr std::size_t kLongestId = 256;
constexpr int kBroken = 502;

// Those that concern one connection only, and those that the other side of it writes itself.
constexpr std::string_view kOfOneConnection[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

template <class Names>
bool among(std::string_view name, const Names& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view n) { return http::same_name(n, name); });
}

bool listed(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        if (http::same_name(http::trimmed(list.substr(0, end)), name)) return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

// The message's headers as they are passed along.
template <class Drop>
void pass_headers(const http::Parser& parser, const http::Buffer& buffer, std::string& out, Drop drop) {
    const auto named_there = [&](std::string_view name) {
        for (std::size_t i = 0; i < parser.headers(); ++i) {
            const auto [n, value] = parser.header_at(buffer, i);
            if (http::same_name(n, kConnection) && listed(value, name)) return true;
        }
        return false;
    };
    const bool names_some = !parser.header(buffer, kConnection).empty();
    for (std::size_t i = 0; i < parser.headers(); ++i) {
        const auto [name, value] = parser.header_at(buffer, i);
        if (among(name, kOfOneConnection) || drop(name) || (names_some && named_there(name))) continue;
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

// To a client, these say that its request has not run and never will.
bool promises(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string_view key_of(std::string_view authorization) {
    constexpr std::string_view kScheme = "Bearer ";
    if (!http::same_name(authorization.substr(0, kScheme.size()), kScheme)) return {};
    return http::trimmed(authorization.substr(kScheme.size()));
}

}    // namespace

std::optional<Duration> read_deadline(std::string_view text) {
    double ms = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc{} || end != text.data() + text.size() || !(ms >= 0.0 && ms <= 3.6e6)) return {};
    return Duration(static_cast<std::int64_t>(ms * 1000.0));
}

// ---- clients ----

std::variant<Taken, Rejection> Passage::read(const http::Parser& parser, const http::Buffer& buffer,
                                             TimePoint) {
    const auto turn_back = [](int status, std::string_view reason) {
        Rejection r{status, reason};
        r.keeps_connection = true;
        return r;
    };
    // Given twice, a server might go by the other one.
    for (const std::string_view name : {kHost, kId, kDeadline, kAuthorization}) {
        if (parser.count(buffer, name) > 1) return Rejection{400, "a header that may come once came twice"};
    }
    const std::string_view method = parser.method(buffer), target = parser.target(buffer);
    // Their answers are framed otherwise than all others; no route asks for them.
    if (method == "HEAD" || method == "CONNECT") return Rejection{501, "this method is not passed on"};
    if (!table_) return turn_back(503, "no configuration is known here yet");
    auto errand = std::make_shared<Errand>();
    errand->table = table_;
    errand->route = table_->route(parser.header(buffer, kHost), target.substr(0, target.find('?')));
    if (errand->route == nullptr) return turn_back(404, "no route leads there");
    const configuration::Route& route = *errand->route;
    if (table_->asks_for_keys()) {
        errand->tenant = table_->tenant(key_of(parser.header(buffer, kAuthorization)));
        if (errand->tenant == nullptr && !route.is_public) return turn_back(401, "no key, or an unknown one");
    }
    Taken taken;
    taken.id = parser.header(buffer, kId);
    if (taken.id.empty() || taken.id.size() > kLongestId)
        return turn_back(400, "no X-Attempt-Id, or too long a one");
    Arrival& arrival = taken.arrival;
    arrival.budget = route.timeout;
    if (const std::string_view left = parser.header(buffer, kDeadline); !left.empty()) {
        const std::optional<Duration> deadline = read_deadline(left);
        if (!deadline) return turn_back(400, "malformed X-Deadline-Remaining");
        arrival.budget = std::min(arrival.budget, *deadline);
    }
    std::string& head = arrival.payload.head;
    head.reserve(512);
    head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    pass_headers(parser, buffer, head, [](std::string_view name) {
        return among(name, std::initializer_list<std::string_view>{kAuthorization, kTenant, kTarget,
                                                                   kDeadline, "Expect"});
    });
    if (errand->tenant != nullptr)
        head.append(kTenant).append(": ").append(errand->tenant->name).append("\r\n");
    if (parser.whole()) arrival.payload.body = parser.body(buffer);
    const bool has_body = parser.length().has_value() || !parser.whole() || !arrival.payload.body.empty();
    if (const auto length = parser.length(); has_body && (parser.whole() || length)) {
        fmt::format_to(std::back_inserter(head), "{}: {}\r\n", kLength,
                       parser.whole() ? arrival.payload.body.size() : *length);
    } else if (has_body) {
        head.append("Transfer-Encoding: chunked\r\n");
    }
    arrival.payload.id = taken.id;
    taken.overlaps = route.kind == configuration::RouteKind::Idempotent;
    arrival.purpose = std::move(errand);
    return taken;
}

http::Limits Passage::limits() const {
    http::Limits limits;
    const configuration::Limits wanted = table_ ? table_->chart().limits : configuration::Limits{};
    limits.head = wanted.max_header_bytes;
    limits.body = wanted.max_body_bytes;
    return limits;
}

Duration Passage::header_timeout() const {
    return table_ ? table_->chart().limits.header_timeout : configuration::Limits{}.header_timeout;
}
Duration Passage::idle_timeout(std::uint64_t) const {
    return table_ ? table_->chart().limits.idle_timeout : configuration::Limits{}.idle_timeout;
}

// Either promises that the request has not run and never will.
Final Passage::refused(Refusal why, Duration wait) const {
    const double seconds = std::chrono::duration<double>(std::max(wait, Duration(1ms))).count();
    return {why == Refusal::Quota ? 429 : 503, fmt::format("Retry-After: {:.3f}\r\n", seconds)};
}

Final Passage::failed(Failure why) const { return {why == Failure::Late ? 504 : kBroken, ""}; }

// ---- servers ----

std::string Tongue::write_request(const Payload& request, HostId host, Duration left) const {
    const std::optional<Target> target = target_(host);
    std::string out;
    const std::string_view first = request.upload ? request.upload->first() : std::string_view(request.body);
    out.reserve(request.head.size() + first.size() + 128);
    fmt::format_to(std::back_inserter(out), "{}{}: {}\r\n{}: {}\r\n\r\n", request.head, kDeadline,
                   std::max<std::int64_t>(1, left / 1ms), kTarget, target ? target->id : std::string());
    const bool chunked = request.upload && !request.upload->length();
    if (chunked) out += write_chunk(first);
    else out += first;
    return out;
}

std::string Tongue::write_probe(HostId host, std::string_view address) const {
    const std::optional<Target> target = target_(host);
    return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target ? target->health_check : "/", address);
}

// Only the server's own word proves that it never ran.
Outcome Tongue::outcome_of(const Asked&, const http::Parser& parser, const http::Buffer& buffer) const {
    const int status = parser.status();
    if (status >= 200 && status < 300) return Outcome::Ok;
    if (status == 421 || parser.count(buffer, kNotExecuted) > 0) return Outcome::Full;
    // Its own 4xx is an answer like any other.
    return status >= 500 || promises(status) ? Outcome::Error : Outcome::Ok;
}

Fits Tongue::fits(const Asked& asked, const http::Parser& parser, const http::Buffer& buffer) const {
    if (asked.probe) {    // whoever answers has to be the one that was asked
        const std::string_view instance = parser.header(buffer, kInstance);
        const std::optional<Target> target = target_(asked.host);
        return instance.empty() || (target && instance == target->id) ? Fits::Yes : Fits::No;
    }
    // Without the id, or with two, it could be another request's: a failure too carries its server's words.
    const std::string_view id = parser.header(buffer, kId);
    if (id.empty() || parser.count(buffer, kId) > 1) return Fits::No;
    if (id != asked.id) return Fits::Surplus;
    if (parser.status() < 200 || parser.status() >= 300) return Fits::Yes;
    const bool sealed = parser.count(buffer, kSeal) == 1 && !parser.header(buffer, kSeal).empty();
    return sealed && parser.count(buffer, "Content-Encoding") == 0 ? Fits::Yes : Fits::No;
}

Payload Tongue::answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const {
    Payload answer;
    // What promises that nothing ran, without the server's word for it, must not reach a client as it is.
    if (promises(parser.status())) {
        answer.status = kBroken;
        return answer;
    }
    answer.status = parser.status();
    pass_headers(parser, buffer, answer.head, [](std::string_view) { return false; });
    if (with_body) answer.body = parser.body(buffer);
    return answer;
}

std::optional<Duration> Tongue::idle_limit(const http::Parser& parser, const http::Buffer& buffer) const {
    std::string_view list = parser.header(buffer, "Keep-Alive");
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = list.find(kTimeout);
    if (at == std::string_view::npos) return {};
    list.remove_prefix(at + kTimeout.size());
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(list.data(), list.data() + list.size(), seconds);
    if (error != std::errc{} || seconds > 86400) return {};
    return std::chrono::seconds(seconds);
}

}    // namespace shaletray::http_mapping
