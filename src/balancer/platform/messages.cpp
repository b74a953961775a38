#include "balancer/platform/messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace shaletray {
namespace {

constexpr std::string_view kId = "X-Correlation-Id", kPlan = "X-Tier", kTimeLeft = "X-Time-Left",
                           kKey = "Idempotency-Key", kTerms = "X-Call-Terms", kLoad = "X-Backend-Load",
                           kUnprocessed = "X-Unprocessed", kType = "Content-Type", kCookie = "Cookie",
                           kHost = "Host", kReservation = "X-Reservation", kCostUnits = "X-Cost-Units";

constexpr double kMostReported = 1e6;
constexpr int kServed = 200, kRefused = 429, kFailed = 502;
// Of what clients send.
constexpr std::size_t kLongestHead = 16 * 1024, kMostHeaders = 100, kLongestBody = 64 * 1024 * 1024;
// From connecting, or from a request's first byte, until its head is whole: two seconds, and some for the
// way.
constexpr Duration kToAsk = std::chrono::milliseconds(2500);
constexpr Duration kIdleOnce = std::chrono::seconds(2);    // a client that asked one thing and nothing since
constexpr Duration kIdle = std::chrono::seconds(60);       // one that has asked more
constexpr std::uint64_t kCustomers = 1ULL << 33;
constexpr std::size_t kLongestId = 256;
constexpr std::size_t kLongestReservation = 64;

template <class Number>
bool parse_number(std::string_view text, Number& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

// Calls `take` with each name=value of a list; false where one has no '='.
template <class Take>
bool each_pair(std::string_view text, char separator, Take take) {
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view item = http::trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) return false;
        take(http::trimmed(item.substr(0, equals)), http::trimmed(item.substr(equals + 1)));
    }
    return true;
}

bool parse_customer(std::string_view cookie, decision::CustomerId& customer) {
    std::string_view value;
    int named = 0;
    each_pair(cookie, ';', [&](std::string_view name, std::string_view v) {
        if (name != "customer") return;
        value = v;
        ++named;
    });
    if (named != 1) return false;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number, 16);
    if (value.size() != 16 || error != std::errc{} || end != value.data() + value.size()) return false;
    if (number >= kCustomers) return false;
    customer = decision::CustomerId{number};
    return true;
}

// What no request can draw, or no set be, is refused here: in the module it would move a customer's store.
bool parse_terms(std::string_view text, const decision::Settings& settings, Arrival& arrival) {
    int units = 0, spread = 0, first = 0;    // how often each was given; once is right
    constexpr int kUnread = 2;
    const bool pairs = each_pair(text, ',', [&](std::string_view name, std::string_view value) {
        if (name == "units") units += parse_number(value, arrival.units) ? 1 : kUnread;
        else if (name == "spread") spread += parse_number(value, arrival.width) ? 1 : kUnread;
        else if (name == "first") first += parse_number(value, arrival.first_gateway) ? 1 : kUnread;
    });
    return pairs && units == 1 && spread == 1 && first == 1 && arrival.units > 0.0 &&
           arrival.units <= std::max(1.0, settings.most_units) && arrival.width >= 1 &&
           arrival.width <= settings.gateways && arrival.first_gateway >= 0 &&
           arrival.first_gateway < settings.gateways;
}

template <class Items>
int place_of(const Items& items, std::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return static_cast<int>(i);
    }
    return -1;
}

std::string_view first_part(std::string_view target) {
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
    each_pair(text, ',', [&](std::string_view name, std::string_view value) {
        double number = 0.0;
        // Nothing measured is below zero or beyond all measure: such a figure is no figure.
        if (!parse_number(value, number) || !(number >= 0.0 && number <= kMostReported)) return;
        const auto known = kNames.find(name);
        report.emplace(known == kNames.end() ? name : known->second, number);
    });
    return report;
}

bool asks_ready(const http::Parser& parser, const http::Buffer& buffer) {
    const std::string_view target = parser.target(buffer);
    return parser.method(buffer) == "GET" && target.substr(0, target.find('?')) == "/health/ready";
}

std::variant<Arrival, Rejection> read_request(const http::Parser& parser, const http::Buffer& buffer,
                                              const Config& config) {
    Arrival arrival;
    const std::string_view method = parser.method(buffer), target = parser.target(buffer);
    const int place = place_of(config.settings.classes, first_part(target));
    if (place < 0) return Rejection{404, "unknown class of requests"};
    const auto at = static_cast<std::size_t>(place);
    const auto& cls = config.settings.classes[at];
    arrival.class_index = config.class_index[at];
    // The class fixes the method; another one would promise something else about being repeated.
    const bool safe = cls.repeat == decision::Repeat::Safe;
    if (method != (safe ? "GET" : "POST")) return Rejection{405, "this class takes another method"};
    arrival.streams = config.streams[at];

    // Given twice, another reader might go by the other one.
    for (const std::string_view name : {kId, kKey, kPlan, kTerms, kTimeLeft, kCookie, kHost}) {
        if (parser.count(buffer, name) > 1) return Rejection{400, "a header that may come once came twice"};
    }
    const std::string_view id = correlation_id(parser, buffer), key = parser.header(buffer, kKey);
    if (id.empty() || id.size() > kLongestId) return Rejection{400, "no correlation id, or too long a one"};
    if (safe && !parser.body(buffer).empty()) return Rejection{400, "this class takes no body"};
    if (cls.repeat == decision::Repeat::Keyed && key.empty()) return Rejection{400, "no idempotency key"};
    arrival.plan_index = place_of(config.settings.plans, parser.header(buffer, kPlan));
    if (arrival.plan_index < 0) return Rejection{400, "unknown plan"};
    if (!parse_customer(parser.header(buffer, kCookie), arrival.customer))
        return Rejection{400, "no customer, or a malformed one"};
    if (!parse_terms(parser.header(buffer, kTerms), config.settings, arrival))
        return Rejection{400, "malformed call terms"};
    if (config.reservations) {
        if (parser.count(buffer, kReservation) > 1)
            return Rejection{400, "a header that may come once came twice"};
        arrival.reservation = parser.header(buffer, kReservation);
        if (arrival.reservation.size() > kLongestReservation) return Rejection{400, "too long a reservation"};
    }
    arrival.budget = cls.give_up;
    if (const std::string_view left = parser.header(buffer, kTimeLeft);
        !left.empty() && !parse_time_left(left, arrival.budget)) {
        return Rejection{400, "malformed time left"};
    }
    // No client waits longer than its class says; a stop counts on that.
    if (cls.give_up > Duration(0)) arrival.budget = std::min(arrival.budget, cls.give_up);

    std::string& head = arrival.payload.head;
    head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    const auto add = [&](std::string_view name, std::string_view value) {
        if (!value.empty()) head.append(name).append(": ").append(value).append("\r\n");
    };
    add(kHost, parser.header(buffer, kHost));
    add(kId, id);
    add(kKey, key);
    add(kType, parser.header(buffer, kType));
    if (safe) return arrival;
    if (parser.whole()) arrival.payload.body = parser.body(buffer);
    if (const auto length = parser.length(); parser.whole() || length)
        add("Content-Length", std::to_string(length.value_or(arrival.payload.body.size())));
    else add("Transfer-Encoding", "chunked");
    return arrival;
}

std::string_view correlation_id(const http::Parser& parser, const http::Buffer& buffer) {
    return parser.header(buffer, kId);
}

std::string write_request(const Payload& request, Duration left) {
    const std::string head = fmt::format("{}{}: {}u\r\n\r\n", request.head, kTimeLeft, left.count());
    if (!request.upload) return head + request.body;
    const std::string_view first = request.upload->first();
    return request.upload->length() ? fmt::format("{}{}", head, first) : head + write_chunk(first);
}

std::string write_probe(std::string_view host) {
    return fmt::format("GET /health/live HTTP/1.1\r\nHost: {}\r\n\r\n", host);
}

std::string write_watch(std::string_view host, std::int64_t revision) {
    return fmt::format("GET /registry/instances?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n", revision,
                       host);
}

Outcome outcome_of(const http::Parser& parser, const http::Buffer& buffer) {
    const int status = parser.status();
    if (status == 200) return Outcome::Ok;
    // Only the server's own word proves that it never ran.
    if ((status == 503 || status == 504) && parser.header(buffer, kUnprocessed) == "1") return Outcome::Full;
    return Outcome::Error;
}

LoadReport report_of(const http::Parser& parser, const http::Buffer& buffer) {
    return parse_load(parser.header(buffer, kLoad));
}

double settled_units_of(const http::Parser& parser, const http::Buffer& buffer) {
    const std::size_t given = parser.count(buffer, kCostUnits);
    if (given == 0) return kUnitsUntold;
    double units = 0.0;
    // Given twice, either might be the true one. How many units may be told is the engine's to judge.
    const bool read = given == 1 && parse_number(http::trimmed(parser.header(buffer, kCostUnits)), units);
    return read && units > 0.0 ? units : kUnitsMalformed;
}

Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) {
    Payload answer;
    answer.status = parser.status();
    if (const std::string_view type = parser.header(buffer, kType); !type.empty())
        answer.head = fmt::format("{}: {}\r\n", kType, type);
    if (with_body) answer.body = parser.body(buffer);
    return answer;
}

std::string retry_after(Duration wait) {
    if (wait <= Duration(0)) return {};
    return fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>(wait).count());
}

// ---- as the parts on sockets ask for it ----

bool PlatformDoor::asks_ready(const http::Parser& parser, const http::Buffer& buffer) const {
    return shaletray::asks_ready(parser, buffer);
}

std::variant<Taken, Rejection> PlatformDoor::read(const http::Parser& parser, const http::Buffer& buffer,
                                                  TimePoint) {
    auto request = read_request(parser, buffer, config_);
    if (const auto* rejection = std::get_if<Rejection>(&request)) return *rejection;
    return Taken{std::get<Arrival>(std::move(request)), std::string(correlation_id(parser, buffer))};
}

Rejection PlatformDoor::faulty(http::Fault fault) const {
    if (fault == http::Fault::BodyTooLarge) return {413, "body over 64 MiB"};
    return rejection_of(fault);
}

http::Limits PlatformDoor::limits() const { return {kLongestHead, kLongestBody, kMostHeaders}; }
Duration PlatformDoor::header_timeout() const { return kToAsk; }
Duration PlatformDoor::idle_timeout(std::uint64_t asked) const { return asked == 1 ? kIdleOnce : kIdle; }
Final PlatformDoor::refused(Refusal, Duration wait) const { return {kRefused, retry_after(wait)}; }
Final PlatformDoor::failed(Failure) const { return {kFailed}; }

std::string PlatformDialect::write_request(const Payload& request, HostId, Duration left) const {
    return shaletray::write_request(request, left);
}

std::string PlatformDialect::write_probe(HostId, std::string_view address) const {
    return shaletray::write_probe(address);
}

Outcome PlatformDialect::outcome_of(const Asked&, const http::Parser& parser,
                                    const http::Buffer& buffer) const {
    return shaletray::outcome_of(parser, buffer);
}

bool PlatformDialect::good(const Asked&, const http::Parser& parser, const http::Buffer&) const {
    return parser.status() == kServed;
}

LoadReport PlatformDialect::report_of(const http::Parser& parser, const http::Buffer& buffer) const {
    return shaletray::report_of(parser, buffer);
}

Payload PlatformDialect::answer_of(const http::Parser& parser, const http::Buffer& buffer,
                                   bool with_body) const {
    return shaletray::answer_of(parser, buffer, with_body);
}

double PlatformDialect::settled_units_of(const http::Parser& parser, const http::Buffer& buffer) const {
    return shaletray::settled_units_of(parser, buffer);
}

}    // namespace shaletray
