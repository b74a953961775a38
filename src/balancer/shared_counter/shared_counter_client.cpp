#include "balancer/shared_counter/shared_counter_client.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// What is due soon after each other is done together; and where nothing is due, it is looked at this often.
constexpr Duration kMinWait = 5ms, kMaxWait = 250ms;
// Leases that end are settled before each request anyway; this is for those that are held. Within the margin
// by which a holder ends before its giver.
constexpr Duration kMaxLeaseUpdateDelay = 25ms;

}    // namespace

SharedCounterClient::SharedCounterClient(StoreExchangeSettings settings, QuotaStateTable& quota_state_table,
                                         Engine& engine, Reactor& reactor)
    : engine_(engine),
      quota_state_table_(quota_state_table),
      reactor_(reactor),
      exchange_(std::move(settings), quota_state_table, statistics_) {
    for (std::size_t index = 0; index < exchange_.store_count(); ++index)
        connections_.push_back(std::make_unique<Connection>(*this, exchange_.session_at(index)));
}

SharedCounterClient::~SharedCounterClient() { reactor_.cancel_timer(timer_); }

void SharedCounterClient::start() { run_exchange(); }

void SharedCounterClient::run_exchange() {
    const TimePoint now = reactor_.clock().now();
    engine_.refresh_allowances();
    exchange_.tick(now);
    for (const auto& connection : connections_) process_session(*connection);
    schedule_next();
}

// Carries out what its session wants.
void SharedCounterClient::process_session(Connection& c) {
    const TimePoint now = reactor_.clock().now();
    if (const auto reason = c.session.close_reason()) return on_connection_lost(c, *reason);
    if (c.session.wants_connection(now)) {
        c.session.on_dialling(now);
        c.stream = std::make_unique<Stream>(reactor_, c);
        if (!c.stream->connect(c.session.address())) return on_connection_lost(c, "it cannot be reached");
    }
    if (std::string bytes = c.session.take_output(); !bytes.empty() && c.stream) {
        if (!c.stream->write_bytes(std::move(bytes))) return on_connection_lost(c, "the connection broke");
    }
    if (const auto field = c.session.take_malformed_field(); field && c.malformed_log_limiter.try_acquire())
        log(LogLevel::Warning, Event::SharedCounterMalformedRow,
            {log_field("address", c.session.address()), log_field("field", *field)});
    if (c.session.is_up() && !c.connect_logged) {
        c.connect_logged = true;
        log(LogLevel::Info, Event::SharedCounterConnected, {log_field("address", c.session.address())});
    }
}

void SharedCounterClient::on_connection_lost(Connection& c, const std::string& reason) {
    c.session.on_disconnected(reactor_.clock().now());
    if (c.stream) destroy_stream_later(reactor_, std::move(c.stream));
    if (c.log_limiter.try_acquire())
        log(LogLevel::Warning, Event::SharedCounterDisconnected,
            {log_field("address", c.session.address()), log_field("why", reason)});
    c.connect_logged = false;
}

void SharedCounterClient::schedule_next() {
    const TimePoint now = reactor_.clock().now();
    TimePoint due = now + kMaxWait;
    if (const auto next = exchange_.next_deadline()) due = std::min(due, *next);
    if (const auto next = quota_state_table_.next_deadline())
        due = std::min(due, std::max(*next, now + kMaxLeaseUpdateDelay));
    reactor_.cancel_timer(timer_);
    timer_ = reactor_.schedule_at(std::max(due, now + kMinWait), [this] { run_exchange(); });
}

void SharedCounterClient::Connection::on_connected() {
    session.on_connected(client.reactor_.clock().now());
    client.process_session(*this);
    client.schedule_next();
}

void SharedCounterClient::Connection::on_input() {
    http::Buffer& in = stream->input_buffer();
    session.on_received(in.unread(), client.reactor_.clock().now());
    in.consume(in.size());
    client.process_session(*this);
    client.schedule_next();
}

void SharedCounterClient::Connection::on_disconnected() {
    client.on_connection_lost(*this, "the connection ended");
    client.schedule_next();
}

}    // namespace shaletray::shared_counter
