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

constexpr Duration kPollEvery = 1s, kPollPatience = 1s;
constexpr Duration kDial = 1s;             // to establish a connection
constexpr Duration kKept = 5s;             // idle connections are not reused after that
constexpr Duration kKeptByCaller = 12s;    // the same of callers: four fifths of the gateways' idle timeout
constexpr Duration kLeast = 20ms;          // remaining time that a retry needs
constexpr Duration kPause = 10ms;          // before a retry without a stated retry time
constexpr int kMostTries = 4;

bool is_promise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }
// Status codes that are never retried.
bool is_last(int status) {
    return status == 400 || status == 401 || status == 404 || status == 413 || status == 431 ||
           (status >= 200 && status < 300);
}

}    // namespace

// ---- load balancer ----

GatewaySelector::GatewaySelector(HttpCalls& calls, std::vector<GatewayEndpoint> endpoints) : calls_(calls) {
    for (GatewayEndpoint& gate : endpoints) gateways_.push_back({std::move(gate)});
    poll_readiness();
}

GatewaySelector::~GatewaySelector() { calls_.reactor().cancel_timer(poll_timer_); }

void GatewaySelector::poll_readiness() {
    for (GatewayRecord& kept : gateways_) {
        if (kept.is_removed) continue;
        calls_.send_request(kept.endpoint.readiness_address, "GET", "/readiness", "", kPollPatience,
                            [&kept](const HttpReply& a) {
                                kept.missed_polls = a.status_code == 200 ? 0 : kept.missed_polls + 1;
                            });
    }
    poll_timer_ = calls_.reactor().schedule_after(kPollEvery, [this] { poll_readiness(); });
}

bool GatewaySelector::all_ready() const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [](const GatewayRecord& k) { return k.is_removed || k.missed_polls == 0; });
}

void GatewaySelector::remove_gateway(const std::string& frontend) {
    for (GatewayRecord& kept : gateways_)
        kept.is_removed = kept.is_removed || kept.endpoint.frontend_address == frontend;
}

// If fewer than half of the zone's gateways are ready, all of them are used; if none is, those of other
// zones.
std::vector<int> GatewaySelector::ready_gateways(const std::string& zone) const {
    std::vector<int> in, here, anywhere;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (gateways_[i].is_removed) continue;
        const bool ready = gateways_[i].missed_polls < kMaxMissedPolls;
        if (ready) anywhere.push_back(static_cast<int>(i));
        if (gateways_[i].endpoint.zone != zone) continue;
        here.push_back(static_cast<int>(i));
        if (ready) in.push_back(static_cast<int>(i));
    }
    if (in.empty()) return anywhere;
    return in.size() * 2 < here.size() ? here : in;
}

int GatewaySelector::choose_gateway(const std::string& zone, int excluded, double random_value) const {
    std::vector<int> from = ready_gateways(zone);
    if (from.size() > 1) std::erase(from, excluded);
    if (from.empty()) return -1;
    // Uneven on purpose, like a hash over few clients.
    return from[std::min(from.size() - 1, static_cast<std::size_t>(std::pow(random_value, 1.3) *
                                                                   static_cast<double>(from.size())))];
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
    Connection(Clients& of, Reactor& reactor) : stream(reactor, *this), owner_(of) {}
    ~Connection() override { owner_.reactor_.cancel_timer(dial_timer); }
    void on_connected() override { owner_.reactor_.cancel_timer(dial_timer); }
    void on_input() override {
        const http::ParseStatus status = parser.parse(stream.input_buffer());
        if (status == http::ParseStatus::Malformed || ask == nullptr) return owner_.on_disconnected(*this);
        if (status == http::ParseStatus::Complete) owner_.on_answer(*this);
    }
    void on_disconnected() override {
        if (ask != nullptr && stream.is_ended() && parser.head_complete() &&
            parser.finish() == http::ParseStatus::Complete)
            owner_.on_answer(*this);
        else owner_.on_disconnected(*this);
    }

    Stream stream;
    http::Parser parser{http::Parser::Kind::Response, {64 * 1024, 16 * 1024 * 1024, 200}};
    std::string zone;
    std::size_t caller = 0;
    int gate = -1;
    PendingRequest* ask = nullptr;    // none: idle
    TimePoint used{};
    Timers::Id dial_timer = 0;

private:
    Clients& owner_;
};

Clients::Clients(Reactor& reactor, Board& board, const GatewaySelector& front, Settings settings)
    : reactor_(reactor),
      board_(board),
      front_(front),
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
    for (const auto& ask : pending_requests_) {
        reactor_.cancel_timer(ask->retry_timer);
        reactor_.cancel_timer(ask->deadline_timer);
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
    for (std::size_t r = 0; r < settings_.routes.size(); ++r) on_request_due(r);
}

void Clients::stop_load() {
    for (Timers::Id& timer : arrival_timers_) reactor_.cancel_timer(timer);
    arrival_timers_.clear();
}

std::string Clients::make_request_id() { return fmt::format("{:016x}", random_()); }

// Begins with a wait, so that the first request is not due at once.
void Clients::on_request_due(std::size_t r) {
    const double wait =
        std::exponential_distribution<double>(settings_.routes[r].rate * load_factor_)(random_);
    arrival_timers_[r] = reactor_.schedule_after(from_secs(wait), [this, r] {
        const RoutePlan& route = settings_.routes[r];
        pending_requests_.push_back(std::make_unique<PendingRequest>());
        PendingRequest& ask = *pending_requests_.back();
        ask.route = r;
        draw_sender(ask);
        ask.target = fmt::format("{}{:x}?n={}", route.prefix, random_() % 100000, ++last_request_number_);
        ask.body.assign(route.body_size, static_cast<char>('A' + random_() % 26));
        ask.due_at = reactor_.clock().now();
        ask.deadline = ask.due_at + route.deadline;
        ask.second_index = static_cast<std::size_t>(secs(ask.due_at - started_at_));
        if (statistics_.by_second.size() <= ask.second_index)
            statistics_.by_second.resize(ask.second_index + 1);
        ++statistics_.by_second[ask.second_index].due;
        ++statistics_.by_route[r].due;
        ask.deadline_timer = reactor_.schedule_at(ask.deadline, [this, &ask] { finish_request(ask, false); });
        const bool fresh =
            std::uniform_real_distribution<double>()(random_) < settings_.new_connection_fraction;
        on_request_due(r);
        send_attempt(ask, fresh);
    });
}

// A tenant by its weight, and one of its callers, where there are any.
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
    const Duration kept = settings_.callers.empty() ? kKept : kKeptByCaller;
    std::vector<Connection*> old;
    Connection* found = nullptr;
    for (const auto& line : connections_) {
        if (line->ask != nullptr) continue;
        const bool matches =
            settings_.callers.empty() ? line->zone == request.zone : line->caller == request.caller;
        if (now - line->used > kept || !line->stream.is_quiet()) old.push_back(line.get());
        else if (matches) found = line.get();
    }
    for (Connection* line : old) remove_connection(*line);
    return found;
}

Clients::Connection* Clients::open_connection(PendingRequest& request) {
    // A caller's first try goes where its hash puts it, further ones to other gateways.
    const bool by_hash = !settings_.callers.empty() && request.attempts <= 1;
    const double draw = by_hash ? settings_.callers[request.caller].gateway_draw
                                : std::uniform_real_distribution<double>()(random_);
    const int gate = front_.choose_gateway(request.zone, request.gateway_index, draw);
    if (gate < 0) return nullptr;
    connections_.push_back(std::make_unique<Connection>(*this, reactor_));
    Connection& line = *connections_.back();
    line.zone = request.zone;
    line.caller = request.caller;
    line.gate = gate;
    ++statistics_.connections_opened;
    if (!line.stream.connect(front_.endpoint_at(gate).frontend_address)) {
        remove_connection(line);
        return nullptr;
    }
    line.dial_timer = reactor_.schedule_after(kDial, [this, &line] { on_disconnected(line); });
    return &line;
}

void Clients::send_attempt(PendingRequest& request, bool new_connection) {
    ++request.attempts;
    ++statistics_.by_route[request.route].attempts;
    request.was_rejected = false;
    Connection* line = new_connection ? nullptr : find_idle_connection(request);
    if (line == nullptr) line = open_connection(request);
    if (line == nullptr) return retry_later(request, kPause * 5, true);    // nothing was sent
    request.gateway_index = line->gate;
    line->ask = &request;
    request.connection = line;
    write_request(request, *line);
}

void Clients::write_request(PendingRequest& request, Connection& connection) {
    const RoutePlan& route = settings_.routes[request.route];
    const TenantPlan* tenant =
        route.is_public || settings_.tenants.empty() ? nullptr : &settings_.tenants[request.tenant];
    const char* const method = request.body.empty() ? "GET" : "POST";
    request.id = make_request_id();
    board_.sent(request.id, {route.service, tenant ? tenant->name : "", method, request.target, request.body,
                             route.is_repeatable});
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - reactor_.clock().now());
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n", method,
                    request.target, route.host, request.id, left.count());
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

void Clients::on_answer(Connection& connection) {
    PendingRequest& ask = *connection.ask;
    const http::Buffer& in = connection.stream.input_buffer();
    const int status = connection.parser.status_code();
    ++statistics_.attempts_by_status[status];
    const bool good = board_.heard(ask.id, status, connection.parser.header(in, "X-Server-Seal"),
                                   connection.parser.body(in));
    const double told =
        std::strtod(std::string(connection.parser.header(in, "Retry-After")).c_str(), nullptr);
    const bool keep = connection.parser.keep_alive() && connection.parser.message_size() == in.size();
    connection.stream.input_buffer().consume(connection.parser.message_size());
    connection.parser.reset();
    connection.ask = nullptr;
    ask.connection = nullptr;
    connection.used = reactor_.clock().now();
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& l) { return l.get() == &connection; });
    connections_.splice(connections_.end(), connections_, it);
    if (!keep) remove_connection(connection);
    ask.was_rejected = is_promise(status);
    if (is_last(status)) return finish_request(ask, good);
    const Duration third = (ask.deadline - reactor_.clock().now()) / 3;
    retry_later(ask, std::max(kPause, std::min(from_secs(told), third)),
                is_promise(status) || settings_.routes[ask.route].is_repeatable);
}

void Clients::on_disconnected(Connection& connection) {
    PendingRequest* const ask = std::exchange(connection.ask, nullptr);
    remove_connection(connection);
    if (ask == nullptr) return;
    ++statistics_.attempts_by_status[0];
    ask->connection = nullptr;
    retry_later(*ask, kPause, settings_.routes[ask->route].is_repeatable);
}

void Clients::retry_later(PendingRequest& request, Duration delay, bool may_retry) {
    if (!may_retry || request.attempts >= kMostTries ||
        reactor_.clock().now() + delay + kLeast > request.deadline)
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
        request.connection->ask = nullptr;
        remove_connection(*request.connection);
    }
    ClientStatistics::RouteCounters& r = statistics_.by_route[request.route];
    if (request.due_at >= started_at_) {
        if (!settings_.callers.empty()) {
            ClientStatistics::CallerCounters& caller = statistics_.by_caller[request.caller];
            ++(was_served ? caller.served : request.was_rejected ? caller.rejected : caller.failed);
            caller.gateway = request.gateway_index;
        }
        ClientStatistics::SecondCounters& second = statistics_.by_second[request.second_index];
        const Duration took = reactor_.clock().now() - request.due_at;
        if (was_served) {
            ++r.served;
            ++second.served;
            r.within_target += took <= settings_.routes[request.route].latency_target;
            r.latency_ms.push_back(static_cast<float>(secs(took) * 1e3));
        } else {
            ++(request.was_rejected ? r.rejected : r.failed);
            ++(request.was_rejected ? second.rejected : second.failed);
        }
    }
    std::erase_if(pending_requests_, [&](const auto& a) { return a.get() == &request; });
}

void Clients::remove_connection(Connection& connection) {
    struct Gone : RetiredObject {    // the connection may be on the call stack
        explicit Gone(std::unique_ptr<Connection> of) : line(std::move(of)) {}
        std::unique_ptr<Connection> line;
    };
    connection.stream.close();
    reactor_.cancel_timer(connection.dial_timer);
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& l) { return l.get() == &connection; });
    if (it == connections_.end()) return;
    reactor_.destroy_later(std::make_unique<Gone>(std::move(*it)));
    connections_.erase(it);
}

}    // namespace shaletray::testbed
