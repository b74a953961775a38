#include "balancer/shared_counter/shared_counter_client.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// Bounds of the time between two exchanges: work due within the minimum is done together.
constexpr Duration kMinWait = 5ms, kMaxWait = 250ms;
// Maximum delay of the update after a lease has ended. Ended leases are settled before each request anyway;
// this is for leases that are held. Less than the margin by which a holder's lease ends before its grantor's.
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

// Performs the session's requests: closing, connecting and sending, and logs its events.
void SharedCounterClient::process_session(Connection& connection) {
    const TimePoint now = reactor_.clock().now();
    if (const auto reason = connection.session.close_reason()) return on_connection_lost(connection, *reason);
    if (connection.session.wants_connection(now)) {
        connection.session.on_dialling(now);
        connection.stream = std::make_unique<Stream>(reactor_, connection);
        if (!connection.stream->connect(connection.session.address()))
            return on_connection_lost(connection, "the connection failed");
    }
    if (std::string bytes = connection.session.take_output(); !bytes.empty() && connection.stream) {
        if (!connection.stream->write_bytes(std::move(bytes)))
            return on_connection_lost(connection, "writing to the connection failed");
    }
    if (const auto field = connection.session.take_malformed_field();
        field && connection.malformed_log_limiter.try_acquire())
        log(LogLevel::Warning, Event::SharedCounterMalformedRow,
            {log_field("address", connection.session.address()), log_field("field", *field)});
    if (connection.session.is_up() && !connection.connect_logged) {
        connection.connect_logged = true;
        log(LogLevel::Info, Event::SharedCounterConnected,
            {log_field("address", connection.session.address())});
    }
}

void SharedCounterClient::on_connection_lost(Connection& connection, const std::string& reason) {
    connection.session.on_disconnected(reactor_.clock().now());
    if (connection.stream) destroy_stream_later(reactor_, std::move(connection.stream));
    if (connection.log_limiter.try_acquire())
        log(LogLevel::Warning, Event::SharedCounterDisconnected,
            {log_field("address", connection.session.address()), log_field("why", reason)});
    connection.connect_logged = false;
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
