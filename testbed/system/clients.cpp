#include "system/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "simulator/measure.h"
#include "system/shard_key_load.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPollInterval = 1s, kPollTimeout = 1s;
constexpr Duration kConnectTimeout = 1s;    // for establishing a connection
constexpr Duration kMaxIdleTime = 5s;       // idle connections are not reused after this
// The same for callers: four fifths of the gateways' idle timeout.
constexpr Duration kMaxCallerIdleTime = 12s;
constexpr Duration kMinRetryTime = 20ms;         // remaining time that a retry needs
constexpr Duration kDefaultRetryDelay = 10ms;    // before a retry without a stated retry time
constexpr int kMaxAttempts = 4;

bool is_rejection(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }
// Status codes that are never retried.
bool is_final(int status) {
    return status == 400 || status == 401 || status == 404 || status == 413 || status == 431 ||
           (status >= 200 && status < 300);
}

}    // namespace

// ---- load balancer ----

GatewaySelector::GatewaySelector(HttpCalls& calls, std::vector<GatewayEndpoint> endpoints) : calls_(calls) {
    for (GatewayEndpoint& new_endpoint : endpoints) gateways_.push_back({std::move(new_endpoint)});
    poll_readiness();
}

GatewaySelector::~GatewaySelector() { calls_.reactor().cancel_timer(poll_timer_); }

void GatewaySelector::poll_readiness() {
    for (GatewayRecord& record : gateways_) {
        if (record.is_removed) continue;
        calls_.send_request(record.endpoint.readiness_address, "GET", "/readiness", "", kPollTimeout,
                            [&record](const HttpReply& reply) {
                                record.missed_polls = reply.status_code == 200 ? 0 : record.missed_polls + 1;
                            });
    }
    poll_timer_ = calls_.reactor().schedule_after(kPollInterval, [this] { poll_readiness(); });
}

bool GatewaySelector::all_ready() const {
    return std::all_of(gateways_.begin(), gateways_.end(), [](const GatewayRecord& record) {
        return record.is_removed || record.missed_polls == 0;
    });
}

void GatewaySelector::remove_gateway(const std::string& frontend) {
    for (GatewayRecord& record : gateways_)
        record.is_removed = record.is_removed || record.endpoint.frontend_address == frontend;
}

// If fewer than half of the zone's gateways are ready, all of them are used; if none is, those of other
// zones.
std::vector<int> GatewaySelector::ready_gateways(const std::string& zone) const {
    std::vector<int> ready_in_zone, all_in_zone, ready_anywhere;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i].is_removed) continue;
        const bool ready = gateways_[i].missed_polls < kMaxMissedPolls;
        if (ready) ready_anywhere.push_back(static_cast<int>(i));
        if (gateways_[i].endpoint.zone != zone) continue;
        all_in_zone.push_back(static_cast<int>(i));
        if (ready) ready_in_zone.push_back(static_cast<int>(i));
    }
    if (ready_in_zone.empty()) return ready_anywhere;
    return ready_in_zone.size() * 2 < all_in_zone.size() ? all_in_zone : ready_in_zone;
}

int GatewaySelector::choose_gateway(const std::string& zone, int excluded, double random_value) const {
    std::vector<int> candidates = ready_gateways(zone);
    if (candidates.size() > 1) std::erase(candidates, excluded);
    if (candidates.empty()) return -1;
    // Deliberately uneven, like a hash over few clients.
    return candidates[std::min(
        candidates.size() - 1,
        static_cast<std::size_t>(std::pow(random_value, 1.3) * static_cast<double>(candidates.size())))];
}

// ---- statistics ----

ClientStatistics::RouteCounters ClientStatistics::totals() const {
    RouteCounters sum;
    for (const RouteCounters& r : by_route) {
        sum.due += r.due;
        sum.served += r.served;
        sum.within_target += r.within_target;
        sum.rejected += r.rejected;
        sum.failed += r.failed;
        sum.attempts += r.attempts;
        sum.latency_ms.insert(sum.latency_ms.end(), r.latency_ms.begin(), r.latency_ms.end());
    }
    return sum;
}

double latency_quantile(std::vector<float> latencies, double quantile) {
    if (latencies.empty()) return 0.0;
    const auto at =
        latencies.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), at, latencies.end());
    return static_cast<double>(*at);
}

// ---- clients ----

class Clients::Connection : public StreamOwner {
public:
    Connection(Clients& owner, Reactor& reactor) : stream(reactor, *this), owner_(owner) {}
    ~Connection() override { owner_.reactor_.cancel_timer(connect_timer); }
    void on_connected() override { owner_.reactor_.cancel_timer(connect_timer); }
    void on_input() override {
        const http::ParseStatus status = parser.parse(stream.input_buffer());
        if (request == nullptr) owner_.scoreboard_.record_surplus_response();
        if (status == http::ParseStatus::Malformed || request == nullptr)
            return owner_.on_disconnected(*this);
        if (status == http::ParseStatus::Complete) owner_.on_response(*this);
    }
    void on_disconnected() override {
        if (request != nullptr && stream.is_ended() && parser.head_complete() &&
            parser.finish() == http::ParseStatus::Complete)
            owner_.on_response(*this);
        else owner_.on_disconnected(*this);
    }

    Stream stream;
    http::Parser parser{http::Parser::Kind::Response, {64 * 1024, 16 * 1024 * 1024, 200}};
    std::string zone;
    std::size_t caller = 0;
    int gateway_number = -1;
    PendingRequest* request = nullptr;    // null while idle
    TimePoint last_used_at{};
    Timers::Id connect_timer = 0;

private:
    Clients& owner_;
};

Clients::Clients(Reactor& reactor, Scoreboard& scoreboard, const GatewaySelector& gateway_selector,
                 Settings settings)
    : reactor_(reactor),
      scoreboard_(scoreboard),
      gateway_selector_(gateway_selector),
      settings_(std::move(settings)),
      random_(settings_.seed) {
    std::vector<double> weights;
    for (const TenantPlan& tenant : settings_.tenants) weights.push_back(tenant.weight);
    callers_by_tenant_.resize(std::max<std::size_t>(1, settings_.tenants.size()));
    for (std::size_t i = 0; i < settings_.callers.size(); ++i)
        callers_by_tenant_.at(settings_.callers[i].tenant).push_back(i);
    tenant_distribution_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    reset_statistics();
}

Clients::~Clients() {
    stop_load();
    for (const auto& request : pending_requests_) {
        reactor_.cancel_timer(request->retry_timer);
        reactor_.cancel_timer(request->deadline_timer);
    }
    connections_.clear();
    reactor_.destroy_retired();
}

void Clients::reset_statistics() {
    statistics_ = {};
    statistics_.by_route.resize(settings_.routes.size());
    statistics_.by_caller.resize(settings_.callers.size());
    started_at_ = reactor_.clock().now();
}

void Clients::start_load(double load_factor) {
    stop_load();
    load_factor_ = load_factor;
    arrival_timers_.resize(settings_.routes.size());
    for (std::size_t route_index = 0; route_index < settings_.routes.size(); ++route_index)
        on_request_due(route_index);
}

void Clients::stop_load() {
    for (Timers::Id& timer : arrival_timers_) reactor_.cancel_timer(timer);
    arrival_timers_.clear();
}

std::string Clients::make_request_id() { return fmt::format("{:016x}", random_()); }

// Schedules the next request; even the first one becomes due only after a random wait.
void Clients::on_request_due(std::size_t route_index) {
    const double wait =
        std::exponential_distribution<double>(settings_.routes[route_index].rate * load_factor_)(random_);
    arrival_timers_[route_index] = reactor_.schedule_after(from_secs(wait), [this, route_index] {
        const RoutePlan& route = settings_.routes[route_index];
        pending_requests_.push_back(std::make_unique<PendingRequest>());
        PendingRequest& request = *pending_requests_.back();
        request.route = route_index;
        draw_sender(request);
        request.target = fmt::format("{}{:x}?n={}", route.prefix, random_() % 100000, ++last_request_number_);
        request.body = draw_body(route);
        request.due_at = reactor_.clock().now();
        request.deadline = request.due_at + route.deadline;
        request.second_index = static_cast<std::size_t>(secs(request.due_at - started_at_));
        if (statistics_.by_second.size() <= request.second_index)
            statistics_.by_second.resize(request.second_index + 1);
        ++statistics_.by_second[request.second_index].due;
        ++statistics_.by_route[route_index].due;
        request.deadline_timer =
            reactor_.schedule_at(request.deadline, [this, &request] { finish_request(request, false); });
        const bool uses_new_connection =
            std::uniform_real_distribution<double>()(random_) < settings_.new_connection_fraction;
        on_request_due(route_index);
        send_attempt(request, uses_new_connection);
    });
}

// Bodies of varying size are long ones, half of them within a factor of two of the shortest. No part of one
// looks like another part.
std::string Clients::draw_body(const RoutePlan& route) {
    std::string body(route.body_size, static_cast<char>('A' + random_() % 26));
    if (route.max_body_size <= route.body_size) return body;
    const double draw = std::uniform_real_distribution<double>()(random_);
    const double ratio = static_cast<double>(route.max_body_size) / static_cast<double>(route.body_size);
    body.resize(
        static_cast<std::size_t>(static_cast<double>(route.body_size) * std::pow(ratio, draw * draw)));
    for (std::size_t i = 0; i < body.size(); i += 64) body[i] = static_cast<char>('a' + random_() % 26);
    return body;
}

// Draws a tenant by weight, then one of its callers if it has any.
void Clients::draw_sender(PendingRequest& request) {
    request.tenant = tenant_distribution_(random_);
    request.zone = settings_.zones[random_() % settings_.zones.size()];
    const std::vector<std::size_t>& callers = callers_by_tenant_[request.tenant];
    if (callers.empty()) return;
    request.caller = callers[random_() % callers.size()];
    request.zone = settings_.callers[request.caller].zone;
    ++statistics_.by_caller[request.caller].due;
}

Clients::Connection* Clients::find_idle_connection(const PendingRequest& request) {
    const TimePoint now = reactor_.clock().now();
    const Duration max_idle_time = settings_.callers.empty() ? kMaxIdleTime : kMaxCallerIdleTime;
    std::vector<Connection*> expired;
    Connection* found = nullptr;
    for (const auto& connection : connections_) {
        if (connection->request != nullptr) continue;
        const bool matches = settings_.callers.empty() ? connection->zone == request.zone
                                                       : connection->caller == request.caller;
        if (now - connection->last_used_at > max_idle_time || !connection->stream.is_quiet())
            expired.push_back(connection.get());
        else if (matches) found = connection.get();
    }
    for (Connection* connection : expired) remove_connection(*connection);
    return found;
}

Clients::Connection* Clients::open_connection(PendingRequest& request) {
    // A caller's first attempt goes to the gateway that its hash selects, later ones to others.
    const bool by_hash = !settings_.callers.empty() && request.attempts <= 1;
    const double draw = by_hash ? settings_.callers[request.caller].gateway_draw
                                : std::uniform_real_distribution<double>()(random_);
    const int gateway_number = gateway_selector_.choose_gateway(request.zone, request.gateway_index, draw);
    if (gateway_number < 0) return nullptr;
    connections_.push_back(std::make_unique<Connection>(*this, reactor_));
    Connection& connection = *connections_.back();
    connection.zone = request.zone;
    connection.caller = request.caller;
    connection.gateway_number = gateway_number;
    ++statistics_.connections_opened;
    if (!connection.stream.connect(gateway_selector_.endpoint_at(gateway_number).frontend_address)) {
        remove_connection(connection);
        return nullptr;
    }
    connection.connect_timer =
        reactor_.schedule_after(kConnectTimeout, [this, &connection] { on_disconnected(connection); });
    return &connection;
}

void Clients::send_attempt(PendingRequest& request, bool new_connection) {
    ++request.attempts;
    ++statistics_.by_route[request.route].attempts;
    request.was_rejected = false;
    Connection* connection = new_connection ? nullptr : find_idle_connection(request);
    if (connection == nullptr) connection = open_connection(request);
    if (connection == nullptr)
        return retry_later(request, kDefaultRetryDelay * 5, true);    // nothing was sent
    request.gateway_index = connection->gateway_number;
    connection->request = &request;
    request.connection = connection;
    write_request(request, *connection);
}

void Clients::write_request(PendingRequest& request, Connection& connection) {
    const RoutePlan& route = settings_.routes[request.route];
    const TenantPlan* tenant =
        route.is_public || settings_.tenants.empty() ? nullptr : &settings_.tenants[request.tenant];
    const char* const method = request.body.empty() ? "GET" : "POST";
    request.id = make_request_id();
    scoreboard_.record_sent(request.id, {route.service, tenant ? tenant->name : "", method, request.target,
                                         request.body, route.is_repeatable});
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - reactor_.clock().now());
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n", method,
                    request.target, route.host, request.id, time_left.count());
    if (tenant) out += fmt::format("Authorization: Bearer {}\r\n", tenant->key);
    out += fmt::format("X-Shard-Key: {}\r\n", draw_shard_key(random_, reactor_.clock().now()));
    if (request.body.empty()) {
        out += "\r\n";
    } else if (random_() % 4 != 0) {
        out += fmt::format("Content-Length: {}\r\n\r\n{}", request.body.size(), request.body);
    } else {
        const std::size_t half = (request.body.size() + 1) / 2;
        out += fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", half,
                           request.body.substr(0, half));
        if (half < request.body.size())
            out += fmt::format("{:x}\r\n{}\r\n", request.body.size() - half, request.body.substr(half));
        out += "0\r\n\r\n";
    }
    if (!connection.stream.write_bytes(std::move(out))) on_disconnected(connection);
}

void Clients::on_response(Connection& connection) {
    PendingRequest& request = *connection.request;
    const http::Buffer& input = connection.stream.input_buffer();
    const int status = connection.parser.status_code();
    ++statistics_.attempts_by_status[status];
    const bool is_valid = scoreboard_.record_received(
        request.id, status, connection.parser.header(input, "X-Server-Seal"), connection.parser.body(input));
    const double retry_after =
        std::strtod(std::string(connection.parser.header(input, "Retry-After")).c_str(), nullptr);
    const bool keep = connection.parser.keep_alive() && connection.parser.message_size() == input.size();
    connection.stream.input_buffer().consume(connection.parser.message_size());
    connection.parser.reset();
    connection.request = nullptr;
    request.connection = nullptr;
    connection.last_used_at = reactor_.clock().now();
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& candidate) { return candidate.get() == &connection; });
    connections_.splice(connections_.end(), connections_, it);
    if (!keep) remove_connection(connection);
    request.was_rejected = is_rejection(status);
    if (is_final(status)) return finish_request(request, is_valid);
    const Duration max_delay = (request.deadline - reactor_.clock().now()) / 3;
    retry_later(request, std::max(kDefaultRetryDelay, std::min(from_secs(retry_after), max_delay)),
                is_rejection(status) || settings_.routes[request.route].is_repeatable);
}

void Clients::on_disconnected(Connection& connection) {
    PendingRequest* const request = std::exchange(connection.request, nullptr);
    remove_connection(connection);
    if (request == nullptr) return;
    ++statistics_.attempts_by_status[0];
    request->connection = nullptr;
    retry_later(*request, kDefaultRetryDelay, settings_.routes[request->route].is_repeatable);
}

void Clients::retry_later(PendingRequest& request, Duration delay, bool may_retry) {
    if (!may_retry || request.attempts >= kMaxAttempts ||
        reactor_.clock().now() + delay + kMinRetryTime > request.deadline)
        return finish_request(request, false);
    reactor_.cancel_timer(request.retry_timer);
    request.retry_timer = reactor_.schedule_after(delay, [this, &request] {
        request.retry_timer = 0;
        send_attempt(request, true);
    });
}

void Clients::finish_request(PendingRequest& request, bool was_served) {
    reactor_.cancel_timer(request.retry_timer);
    reactor_.cancel_timer(request.deadline_timer);
    if (request.connection != nullptr) {
        request.connection->request = nullptr;
        remove_connection(*request.connection);
    }
    ClientStatistics::RouteCounters& route_counters = statistics_.by_route[request.route];
    if (request.due_at >= started_at_) {
        if (!settings_.callers.empty()) {
            ClientStatistics::CallerCounters& caller = statistics_.by_caller[request.caller];
            ++(was_served ? caller.served : request.was_rejected ? caller.rejected : caller.failed);
            caller.gateway = request.gateway_index;
        }
        ClientStatistics::SecondCounters& second = statistics_.by_second[request.second_index];
        const Duration latency = reactor_.clock().now() - request.due_at;
        if (was_served) {
            ++route_counters.served;
            ++second.served;
            route_counters.within_target += latency <= settings_.routes[request.route].latency_target;
            route_counters.latency_ms.push_back(static_cast<float>(secs(latency) * 1e3));
        } else {
            ++(request.was_rejected ? route_counters.rejected : route_counters.failed);
            ++(request.was_rejected ? second.rejected : second.failed);
        }
    }
    std::erase_if(pending_requests_, [&](const auto& pending) { return pending.get() == &request; });
}

void Clients::remove_connection(Connection& connection) {
    struct RetiredConnection : RetiredObject {    // the connection may be on the call stack
        explicit RetiredConnection(std::unique_ptr<Connection> retired) : connection(std::move(retired)) {}
        std::unique_ptr<Connection> connection;
    };
    connection.stream.close();
    reactor_.cancel_timer(connection.connect_timer);
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& candidate) { return candidate.get() == &connection; });
    if (it == connections_.end()) return;
    reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*it)));
    connections_.erase(it);
}

}    // namespace shaletray::testbed
