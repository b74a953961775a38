#include "system/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "simulator/measure.h"
#include "system/early_answers.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration kIdleTimeout = 10s, kLingerTimeout = 1s, kSweepInterval = 500ms, kMaxServiceTime = 20s;
constexpr Duration kUnacknowledgedTimeout = 6s;    // the server ends after this without an acknowledgement
constexpr Duration kReleasingInterval = 100ms;     // between heartbeats while keys are being released
constexpr int kMaxClockLagThousandths = 20;        // a server's clock is slow by up to this share
constexpr double kColdShardSpeed = 0.5, kSlowStartSpeed = 0.4;
constexpr Duration kDrainMargin = 300ms;    // beyond `drain_time`
constexpr int kResponsesPerClose = 200;
constexpr std::size_t kMinBodySize = 100, kMaxBodySize = 3000, kMaxAcknowledgementSize = 4096;

std::string format_duration(Duration d) {
    return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}    // namespace

class ApplicationServer::Connection : public StreamOwner {
public:
    Connection(ApplicationServer& owner, Reactor& reactor) : stream(reactor, *this), owner_(owner) {}
    ~Connection() override { owner_.reactor_.cancel_timer(work_timer); }
    void on_input() override { owner_.read_request(*this); }
    void on_disconnected() override { owner_.remove_connection(*this); }

    enum class State { Idle, Queued, Running };
    Stream stream;
    http::Parser parser{http::Parser::Kind::Request, {64 * 1024, 80 * 1024 * 1024, 200}};
    State state = State::Idle;
    std::string request_id;
    bool is_health_check = false, closes_early = false, is_closing = false;
    std::optional<EarlyAnswer> early_answer;    // to the request that is being read; drawn once
    std::optional<std::size_t> shard_key;
    TimePoint deadline{}, last_used_at{};
    Timers::Id work_timer = 0;

private:
    ApplicationServer& owner_;
};

ApplicationServer::ApplicationServer(Reactor& reactor, HttpCalls& calls, Scoreboard& scoreboard,
                                     ServerPlan plan)
    : reactor_(reactor),
      scoreboard_(scoreboard),
      plan_(std::move(plan)),
      random_(plan_.seed),
      id_(fmt::format("i-{:08x}", random_() & 0xffffffff)),
      started_at_(reactor.clock().now()),
      listener_(std::make_unique<TestListener>(reactor, plan_.address,
                                               [this](const auto& s) { accept_connection(s); })),
      control_client_(calls, plan_.control_addresses, random_()) {
    if (plan_.shard_checker != nullptr) {
        shard_holds_.emplace(1.0 - 1e-3 * static_cast<double>(random_() % (kMaxClockLagThousandths + 1)),
                             random_());
        plan_.shard_checker->add_server(plan_.service, id_, *shard_holds_);
    }
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_idle_connections(); });
    send_heartbeat();
}

ApplicationServer::~ApplicationServer() {
    crash_now();
    reactor_.destroy_retired();
}

void ApplicationServer::stop_server() {
    if (std::exchange(is_ended_, true)) return;
    if (shard_holds_) plan_.shard_checker->remove_server(plan_.service, id_);
    control_client_.cancel_call();
    for (Timers::Id* timer : {&heartbeat_timer_, &end_timer_, &sweep_timer_}) reactor_.cancel_timer(*timer);
    listener_.reset();
    queue_.clear();
    while (!connections_.empty()) remove_connection(*connections_.front());
}

void ApplicationServer::set_frozen(bool frozen) {
    is_frozen_ = frozen;
    if (frozen || is_ended_) return;
    std::vector<Connection*> all;
    for (const auto& peer : connections_) all.push_back(peer.get());
    for (Connection* peer : all) {
        if (peer->state == Connection::State::Running && peer->work_timer == 0) finish_request(*peer);
        else if (peer->state == Connection::State::Idle) read_request(*peer);
    }
}

void ApplicationServer::set_control_addresses(std::vector<std::string> addresses) {
    plan_.control_addresses = addresses;
    control_client_.set_gateways(std::move(addresses));
}

// ---- heartbeats ----

std::string ApplicationServer::heartbeat_body() {
    const Duration time_left = std::max(Duration(0), started_at_ + plan_.slow_start - reactor_.clock().now());
    heartbeat_sent_at_ = reactor_.clock().now();
    Json body = {{"address", plan_.address},
                 {"system_info",
                  {{"service", plan_.service},
                   {"revision", plan_.revision},
                   {"zone", plan_.zone},
                   {"capacity", plan_.concurrency_limit}}},
                 {"status",
                  {{"state", is_draining_ ? "draining" : "in_service"},
                   {"call_count", ++heartbeats_sent_},
                   {"ramp_left", format_duration(time_left)}}}};
    if (shard_holds_) {
        body["held_duties"] = shard_holds_->held_duties(heartbeat_sent_at_);
        body["released"] = shard_holds_->released();
    }
    return body.dump();
}

void ApplicationServer::send_heartbeat() {
    reactor_.cancel_timer(heartbeat_timer_);
    if (is_frozen_) {
        heartbeat_timer_ = reactor_.schedule_after(plan_.heartbeat_interval, [this] { send_heartbeat(); });
        return;
    }
    control_client_.start_call(
        "POST", fmt::format("/members/{}/heartbeat", id_), [this] { return heartbeat_body(); },
        plan_.heartbeat_interval * 2, [this](const HttpReply& reply) { on_heartbeat_reply(reply); });
}

void ApplicationServer::on_heartbeat_reply(const HttpReply& reply) {
    const bool is_acknowledged =
        reply.status_code >= 200 && reply.status_code < 300 && reply.body.size() <= kMaxAcknowledgementSize;
    Duration interval = plan_.heartbeat_interval;
    if (is_acknowledged) {
        is_registered_ = true;
        const Json body = Json::parse(reply.body, nullptr, false);
        if (body.is_object() && body.contains("heartbeat_target") && body["heartbeat_target"].is_string())
            control_client_.set_preferred(body["heartbeat_target"]);
        if (shard_holds_) {
            shard_holds_->on_acknowledged();
            if (!shard_holds_->apply_heartbeat_response(body, heartbeat_sent_at_, reactor_.clock().now()))
                interval = kReleasingInterval;
        }
        if (is_draining_ && !std::exchange(is_deregistered_, true)) {
            reactor_.cancel_timer(end_timer_);
            end_timer_ =
                reactor_.schedule_after(plan_.drain_time + kDrainMargin, [this] { send_deregistration(); });
        }
    }
    // With jitter, so that the servers' heartbeats do not stay synchronized.
    const auto jitter = static_cast<Duration::rep>(random_() % 100) - 50;
    heartbeat_timer_ =
        reactor_.schedule_after(interval + interval * jitter / 1000, [this] { send_heartbeat(); });
}

void ApplicationServer::start_drain() {
    if (is_ended_ || std::exchange(is_draining_, true)) return;
    end_timer_ = reactor_.schedule_after(kUnacknowledgedTimeout, [this] { stop_server(); });
    send_heartbeat();
}

void ApplicationServer::send_deregistration() {
    reactor_.cancel_timer(heartbeat_timer_);
    end_timer_ = reactor_.schedule_after(kUnacknowledgedTimeout, [this] { stop_server(); });
    control_client_.start_call(
        "POST", fmt::format("/members/{}/deregister", id_), [this] { return heartbeat_body(); },
        kUnacknowledgedTimeout, [this](const HttpReply&) { stop_server(); });
}

// ---- requests ----

void ApplicationServer::accept_connection(const Poco::Net::StreamSocket& socket) {
    if (connections_.size() >= plan_.max_connections) {
        Poco::Net::StreamSocket excess_socket = socket;
        excess_socket.setLinger(true, 0);
        excess_socket.close();
        return;
    }
    connections_.push_back(std::make_unique<Connection>(*this, reactor_));
    connections_.back()->last_used_at = reactor_.clock().now();
    connections_.back()->stream.attach(socket);
}

void ApplicationServer::remove_connection(Connection& connection) {
    struct RetiredConnection : RetiredObject {    // the connection may be on the call stack
        explicit RetiredConnection(std::unique_ptr<Connection> retired) : peer(std::move(retired)) {}
        std::unique_ptr<Connection> peer;
    };
    connection.stream.close();
    reactor_.cancel_timer(connection.work_timer);
    const bool was_running = connection.state == Connection::State::Running;
    if (connection.state == Connection::State::Queued) std::erase(queue_, &connection);
    connection.state = Connection::State::Idle;
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& p) { return p.get() == &connection; });
    if (it == connections_.end()) return;
    reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*it)));
    connections_.erase(it);
    if (!was_running) return;
    if (shard_holds_ && !connection.is_health_check && connection.shard_key)
        shard_holds_->end_work(*connection.shard_key);
    --running_requests_;
    start_next_queued();
}

void ApplicationServer::read_request(Connection& connection) {
    if (connection.is_closing)
        return connection.stream.input_buffer().consume(connection.stream.input_buffer().size());
    connection.last_used_at = reactor_.clock().now();
    if (is_frozen_ || connection.state != Connection::State::Idle || connection.stream.input_buffer().empty())
        return;
    const http::ParseStatus status = connection.parser.parse(connection.stream.input_buffer());
    if (status == http::ParseStatus::Malformed) return remove_connection(connection);
    if (status == http::ParseStatus::Incomplete) return answer_early(connection);
    if (connection.early_answer.value_or(EarlyAnswer::None) == EarlyAnswer::None)
        return process_input(connection);
    prepare_next_request(connection);
    read_request(connection);
}

// Draws once for each long request whether it is answered before it has been read.
void ApplicationServer::answer_early(Connection& connection) {
    const http::Buffer& in = connection.stream.input_buffer();
    if (connection.early_answer || !connection.parser.head_complete() || in.size() < kEarlyAnswerSize) return;
    connection.early_answer = draw_early_answer(random_, plan_.early_answer_share);
    if (connection.early_answer == EarlyAnswer::None) return;
    connection.request_id = connection.parser.header(in, "X-Attempt-Id");
    scoreboard_.record_arrival(connection.request_id);
    connection.stream.set_reading(false);
    connection.work_timer = reactor_.schedule_after(draw_reading_pause(random_), [&connection] {
        connection.work_timer = 0;
        connection.stream.set_reading(true);
    });
    if (!connection.stream.write_bytes(write_early_answer(*connection.early_answer, connection.request_id)))
        remove_connection(connection);
}

void ApplicationServer::prepare_next_request(Connection& connection) {
    connection.stream.input_buffer().consume(connection.parser.message_size());
    connection.parser.reset();
    connection.early_answer.reset();
}

void ApplicationServer::process_input(Connection& connection) {
    const http::Buffer& in = connection.stream.input_buffer();
    const TimePoint now = reactor_.clock().now();
    connection.is_health_check =
        connection.parser.method(in) == "GET" && connection.parser.target(in) == "/health";
    connection.request_id = connection.parser.header(in, "X-Attempt-Id");
    connection.deadline = now + kMaxServiceTime;
    const std::string_view time_left = connection.parser.header(in, "X-Deadline-Remaining");
    double remaining_ms = 0.0;
    if (const auto [end, error] =
            std::from_chars(time_left.data(), time_left.data() + time_left.size(), remaining_ms);
        error == std::errc{} && end != time_left.data())
        connection.deadline = now + from_secs(remaining_ms / 1e3);
    if (!connection.is_health_check) {
        if (connection.request_id.empty()) return reject_request(connection, 400);
        scoreboard_.record_arrival(connection.request_id);
        const std::string_view target = connection.parser.header(in, "X-Target-Instance");
        if (!target.empty() && target != id_) return reject_request(connection, 421);
        connection.shard_key = parse_shard_key(connection.parser.header(in, "X-Shard-Key"));
        if (!may_execute(connection)) return reject_request(connection, 421);
    }
    if (running_requests_ < plan_.concurrency_limit) return start_request(connection);
    if (queue_.size() >= static_cast<std::size_t>(plan_.concurrency_limit))
        return reject_request(connection, 503);
    connection.state = Connection::State::Queued;
    queue_.push_back(&connection);
}

// Whether the server holds the request's key; always true for services without sharding.
bool ApplicationServer::may_execute(const Connection& connection) const {
    if (!shard_holds_) return true;
    const bool is_held =
        connection.shard_key && shard_holds_->holds(*connection.shard_key, reactor_.clock().now());
    if (!is_held) plan_.shard_checker->record_refusal();
    return is_held;
}

Duration ApplicationServer::draw_service_time() {
    const bool slow = reactor_.clock().now() < started_at_ + plan_.slow_start;
    const double factor = std::lognormal_distribution<double>(-0.08, 0.4)(random_);
    return from_secs(secs(plan_.mean_service_time) * factor / plan_.speed / (slow ? kSlowStartSpeed : 1.0));
}

void ApplicationServer::start_request(Connection& connection) {
    const TimePoint now = reactor_.clock().now();
    const http::Buffer& in = connection.stream.input_buffer();
    Duration work(0);
    if (!connection.is_health_check) {
        if (now >= connection.deadline) return reject_request(connection, 503);
        if (!may_execute(connection)) return reject_request(connection, 421);
        scoreboard_.record_execution(connection.request_id, plan_.service,
                                     connection.parser.header(in, "X-Tenant"), connection.parser.method(in),
                                     connection.parser.target(in), connection.parser.body(in));
        work = draw_service_time();
        if (shard_holds_) {
            plan_.shard_checker->record_begin(plan_.service, id_, *connection.shard_key, now);
            shard_holds_->begin_work(*connection.shard_key);
            if (shard_holds_->is_cold(*connection.shard_key, now))
                work = from_secs(secs(work) / kColdShardSpeed);
        }
        connection.closes_early = now + work > connection.deadline;
        if (connection.closes_early) work = connection.deadline - now;
    }
    connection.state = Connection::State::Running;
    ++running_requests_;
    connection.work_timer = reactor_.schedule_after(work, [this, &connection] {
        connection.work_timer = 0;
        if (!is_frozen_) finish_request(connection);
    });
}

void ApplicationServer::finish_request(Connection& connection) {
    --running_requests_;
    connection.state = Connection::State::Idle;
    const bool is_sharded = shard_holds_ && !connection.is_health_check;
    if (is_sharded) shard_holds_->end_work(*connection.shard_key);
    if (connection.is_health_check) {
        send_response(connection, is_draining_ ? 503 : 200, fmt::format("X-Instance-Id: {}\r\n", id_),
                      "well");
    } else if (is_sharded && !shard_holds_->holds(*connection.shard_key, reactor_.clock().now())) {
        send_response(connection, 500, fmt::format("X-Attempt-Id: {}\r\n", connection.request_id), "");
    } else if (connection.closes_early) {
        send_response(connection, 504, fmt::format("X-Attempt-Id: {}\r\n", connection.request_id), "");
    } else {
        const std::size_t size = kMinBodySize + random_() % (kMaxBodySize - kMinBodySize);
        std::string body(size, static_cast<char>('a' + random_() % 26));
        body += connection.request_id;
        const std::string seal =
            fmt::format("{}.{:x}.{:x}", id_.substr(2), ++responses_sent_, random_() & 0xffffff);
        scoreboard_.record_response(connection.request_id, seal, body);
        send_response(connection, 200,
                      fmt::format("X-Attempt-Id: {}\r\nX-Server-Seal: {}\r\n", connection.request_id, seal),
                      body);
    }
    start_next_queued();
}

void ApplicationServer::start_next_queued() {
    while (!is_ended_ && running_requests_ < plan_.concurrency_limit && !queue_.empty()) {
        Connection* const peer = queue_.front();
        queue_.pop_front();
        peer->state = Connection::State::Idle;
        start_request(*peer);
    }
}

void ApplicationServer::reject_request(Connection& connection, int status) {
    send_response(connection, status,
                  fmt::format("X-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n", connection.request_id), "");
}

void ApplicationServer::send_response(Connection& connection, int status, const std::string& headers,
                                      const std::string& body) {
    const bool closes_connection =
        is_draining_ || !connection.parser.keep_alive() || random_() % kResponsesPerClose == 0;
    prepare_next_request(connection);
    const std::string out =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}{}\r\n{}", status, status == 200 ? "OK" : "No",
                    body.size(), headers,
                    closes_connection
                        ? std::string("Connection: close\r\n")
                        : fmt::format("Keep-Alive: timeout={}\r\n",
                                      std::chrono::duration_cast<std::chrono::seconds>(kIdleTimeout).count()),
                    body);
    if (!connection.stream.write_bytes(out)) return remove_connection(connection);
    if (closes_connection) {
        connection.is_closing = true;
        connection.last_used_at = reactor_.clock().now() + kLingerTimeout -
                                  kIdleTimeout;    // closed by a sweep if the caller does not close it
        connection.stream.shutdown_sending();
        return;
    }
    read_request(connection);
}

void ApplicationServer::close_idle_connections() {
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> expired;
    for (const auto& peer : connections_)
        if (!is_frozen_ && peer->state == Connection::State::Idle && now - peer->last_used_at > kIdleTimeout)
            expired.push_back(peer.get());
    for (Connection* peer : expired) remove_connection(*peer);
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_idle_connections(); });
}

}    // namespace shaletray::testbed
