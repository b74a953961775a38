#include "data_plane/proxy/server_pool.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepInterval = 1s;
// A server's excess bytes arrive right after its response. On a connection that is reused sooner than this,
// they would be read as the response to the next request.
constexpr Duration kIdleInputCheckDelay = 200us;
constexpr double kServerIdleTimeoutFraction = 0.6;    // of the idle timeout that the server states

}    // namespace

// A response being streamed. Owned by its receiver; connection and stream clear each other's pointer when
// either of them ends.
class ServerPool::ResponseStream : public BodyStream {
public:
    ResponseStream(ServerPool& pool, ServerConnection& connection)
        : pool_(pool), connection_(&connection), length_(connection.parser().content_length()) {}
    ~ResponseStream() override {
        if (connection_ == nullptr) return;
        pool_.connections_.at(connection_).response_stream = nullptr;
        pool_.drop_connection(*connection_);    // so that its server stops sending
    }
    ResponseStream(const ResponseStream&) = delete;
    ResponseStream& operator=(const ResponseStream&) = delete;

    void start(BodySink& sink) override {
        sink_ = &sink;
        set_reading(true);
    }
    void set_reading(bool enabled) override {
        if (connection_ != nullptr) connection_->set_streaming(enabled);
    }
    std::optional<std::uint64_t> total_length() const override { return length_; }
    BodySink* sink() const { return sink_; }
    void detach() { connection_ = nullptr; }

private:
    ServerPool& pool_;
    ServerConnection* connection_;
    std::optional<std::uint64_t> length_;
    BodySink* sink_ = nullptr;
};

ServerPool::ServerPool(Engine& engine, const HostTable& hosts, const UpstreamProtocol& protocol,
                       ConnectionBudget& budget, Counters& counters, Reactor& reactor, Limits limits)
    : engine_(engine),
      hosts_(hosts),
      protocol_(protocol),
      budget_(budget),
      counters_(counters),
      reactor_(reactor),
      limits_(limits) {}

ServerPool::~ServerPool() {
    reactor_.cancel_timer(sweep_timer_);
    for (auto& [connection, entry] : connections_) {
        reactor_.cancel_timer(entry.timeout_timer);
        if (entry.response_stream != nullptr) entry.response_stream->detach();
    }
    for (auto& [host, host_connections] : hosts_connections_) {
        for (ServerConnection* const idle : host_connections.idle_connections)
            budget_.idle_connections_.erase(connections_.at(idle).idle_position);
    }
    budget_.open_connections_ -= connections_.size();
    connections_.clear();
    reactor_.destroy_retired();
}

// An address may be reassigned to another server, and a server may have been restarted.
bool ServerPool::is_current(const ServerConnection& connection, const PooledConnection& entry) const {
    const HostTable::Host* const known_host = hosts_.find_host(connection.host());
    return known_host != nullptr && known_host->address == connection.address() &&
           known_host->process_started_at == entry.process_started_at;
}

ServerPool::PooledConnection* ServerPool::acquire_connection(HostId host,
                                                             IdleAgeLimits::Repetition repetition,
                                                             Outcome& failure) {
    const HostTable::Host* const known_host = hosts_.find_host(host);
    if (known_host == nullptr || !hosts_.may_send_to(host, reactor_.clock().now())) {
        failure = Outcome::ConnectFailed;
        return nullptr;
    }
    if (PooledConnection* const idle = take_idle_connection(host, repetition)) return idle;
    return open_connection(host, *known_host, failure);
}

// Most recently used first, so that the others reach their idle timeout.
ServerPool::PooledConnection* ServerPool::take_idle_connection(HostId host,
                                                               IdleAgeLimits::Repetition repetition) {
    const auto host_connections = hosts_connections_.find(host);
    if (host_connections == hosts_connections_.end()) return nullptr;
    const TimePoint now = reactor_.clock().now();
    // Dangles once the host's last connection is dropped.
    std::vector<ServerConnection*>& idle = host_connections->second.idle_connections;
    for (std::size_t index = idle.size(); index-- > 0;) {
        ServerConnection* const connection = idle[index];
        PooledConnection& entry = connections_.at(connection);
        const Duration idle_age = now - entry.state_since;
        if (idle_age < kIdleInputCheckDelay) continue;
        // The pool's own timeout may be exceeded until the next sweep; one stated by the server must be
        // kept exactly.
        const Duration max_idle_age = entry.idle_timeout.duration;
        const bool is_stale = max_idle_age < limits_.idle_timeout && idle_age > max_idle_age;
        const auto may_carry = [&](IdleAgeLimits::Repetition request_repetition) {
            return idle_age_limits_.may_carry(idle_age, request_repetition,
                                              entry.idle_timeout.stated_by_server, now);
        };
        if (is_stale || !connection->is_reusable() || !is_current(*connection, entry) ||
            !may_carry(IdleAgeLimits::Repetition::Allowed)) {
            drop_connection(*connection);
            continue;
        }
        if (!may_carry(repetition)) continue;    // a repeatable request may still use it
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
        budget_.idle_connections_.erase(entry.idle_position);
        entry.reused_after = idle_age;
        ++counters_.server_connections_reused;
        return &entry;
    }
    return nullptr;
}

ServerPool::PooledConnection* ServerPool::open_connection(HostId host, const HostTable::Host& known_host,
                                                          Outcome& failure) {
    if (budget_.open_connections_ >= budget_.max_connections_ && !budget_.idle_connections_.empty()) {
        const auto [pool, longest_idle] = budget_.idle_connections_.front();
        pool->drop_connection(*longest_idle);
    }
    const auto host_connections = hosts_connections_.find(host);
    const std::size_t host_open_connections =
        host_connections == hosts_connections_.end() ? 0 : host_connections->second.open_connections;
    // This limit is the gateway's own and says nothing about the server.
    if (budget_.open_connections_ >= budget_.max_connections_ ||
        (limits_.max_per_host > 0 && host_open_connections >= limits_.max_per_host)) {
        failure = Outcome::NotSent;
        return nullptr;
    }
    ++budget_.open_connections_;
    ++hosts_connections_[host].open_connections;
    ++counters_.server_connections_dialled;
    ++counters_.open_server_connections;
    ServerConnectionOwner& owner = *this;
    auto connection =
        std::make_unique<ServerConnection>(reactor_, owner, protocol_, host, known_host.address);
    ServerConnection* const key = connection.get();
    PooledConnection& entry = connections_[key];
    entry.connection = std::move(connection);
    entry.process_started_at = known_host.process_started_at;
    return &entry;
}

void ServerPool::send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration time_left) {
    Outcome failure{};
    const auto repetition =
        request.is_repeatable ? IdleAgeLimits::Repetition::Allowed : IdleAgeLimits::Repetition::Forbidden;
    PooledConnection* const entry = acquire_connection(host, repetition, failure);
    if (entry == nullptr) return report_outcome(attempt, host, failure, {}, {}, {});
    ServerConnection* const connection = entry->connection.get();
    entry->attempt = attempt;
    entry->state_since = reactor_.clock().now();
    connections_by_attempt_[attempt_key(attempt)] = connection;
    connection->start_exchange(protocol_.write_request(request, host, time_left), false, request.request_id,
                               request.upload);
    if (const auto found = connections_.find(connection);
        found != connections_.end() && connection->is_connecting()) {
        found->second.timeout_timer = reactor_.schedule_after(limits_.dial_timeout, [this, connection] {
            if (connection->is_connecting()) on_exchange_ended(*connection, Outcome::ConnectFailed, false);
        });
    }
}

void ServerPool::cancel_attempt(AttemptId attempt) {
    const auto found = connections_by_attempt_.find(attempt_key(attempt));
    if (found != connections_by_attempt_.end())
        drop_connection(
            *found->second);    // closing the connection tells the server that the attempt was cancelled
}

bool ServerPool::has_started(AttemptId attempt) const {
    const auto found = connections_by_attempt_.find(attempt_key(attempt));
    return found == connections_by_attempt_.end() || !found->second->is_connecting();
}

void ServerPool::check_health(HostId host) {
    Outcome failure{};
    PooledConnection* const entry = acquire_connection(host, IdleAgeLimits::Repetition::Allowed, failure);
    if (entry == nullptr) return report_outcome(std::nullopt, host, failure, {}, {}, {});
    ServerConnection* const connection = entry->connection.get();
    entry->state_since = reactor_.clock().now();
    entry->timeout_timer = reactor_.schedule_after(limits_.dial_timeout, [this, connection] {
        const Outcome outcome = connection->is_connecting() ? Outcome::ConnectFailed : Outcome::Timeout;
        on_exchange_ended(*connection, outcome, false);
    });
    connection->start_exchange(protocol_.write_health_check(host, connection->address()), true);
}

// False also once the connect timeout has passed: in a process that was suspended, the timer runs late and
// the host table is as old as the connection attempt.
bool ServerPool::may_write_request(ServerConnection& connection) {
    const TimePoint now = reactor_.clock().now();
    const auto it = connections_.find(&connection);
    return it != connections_.end() && now - it->second.state_since <= limits_.dial_timeout &&
           hosts_.may_send_to(connection.host(), now);
}

void ServerPool::on_request_written(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end() || !it->second.attempt) return;
    ++counters_.attempts_written;
    engine_.on_request_written(*it->second.attempt);
}

void ServerPool::on_upload_started(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.attempt) engine_.on_upload_started(*it->second.attempt);
}

void ServerPool::on_response_head(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.attempt) engine_.on_response_started(*it->second.attempt);
}

// The only place where an exchange ends, unless it is cancelled by cancel_attempt.
void ServerPool::on_exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) return;
    PooledConnection& entry = found->second;
    record_idle_age_evidence(connection, entry, outcome);
    const bool is_malformed = connection.is_malformed();
    LoadReport load;
    Payload response;
    double units = kUnitsUnreported;
    if (is_malformed) {
        ++counters_.malformed_answers;
        if (log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::ServerMalformedAnswer, {log_field("server", connection.address())});
    } else if (connection.has_complete_response()) {
        load = protocol_.load_report_of(connection.parser(), connection.input());
        const bool needs_body =
            outcome == Outcome::Ok || (outcome == Outcome::Error && engine_.forwards_error_responses());
        if (needs_body && entry.attempt)
            response = protocol_.answer_of(connection.parser(), connection.input(), true);
        if (outcome == Outcome::Ok && entry.attempt)
            units = protocol_.settled_units_of(connection.parser(), connection.input());
    } else if (outcome == Outcome::ConnectFailed) {
        ++counters_.server_dials_failed;
    }
    const std::optional<AttemptId> attempt = entry.attempt;
    const HostId host = connection.host();
    const TimePoint now = reactor_.clock().now();
    const Duration duration = now - entry.state_since;
    const std::optional<IdleTimeout> idle_timeout = reusable ? idle_timeout_of(connection) : std::nullopt;
    if (idle_timeout && is_current(connection, entry)) keep_idle(connection, entry, *idle_timeout);
    else drop_connection(connection);
    report_outcome(attempt, host, outcome, duration, std::move(load), std::move(response), units);
}

void ServerPool::record_idle_age_evidence(const ServerConnection& connection, const PooledConnection& entry,
                                          Outcome outcome) {
    const TimePoint now = reactor_.clock().now();
    if (connection.has_complete_response()) {
        if (entry.reused_after) idle_age_limits_.record_reuse(*entry.reused_after, now);
        else if (!entry.was_idle) idle_age_limits_.record_new_connection(connection.host(), now);
        return;
    }
    const bool was_reset = outcome == Outcome::Reset || outcome == Outcome::ConnectFailed;
    if (was_reset && entry.reused_after && !connection.is_malformed())
        idle_age_limits_.record_reset(connection.host(), *entry.reused_after, now);
}

// Called when the attempt has ended, or when its response starts to be streamed.
void ServerPool::detach_attempt(PooledConnection& entry) {
    if (entry.attempt) connections_by_attempt_.erase(attempt_key(*entry.attempt));
    entry.attempt.reset();
    reactor_.cancel_timer(entry.timeout_timer);
}

// Keeps the connection for the next exchange.
void ServerPool::keep_idle(ServerConnection& connection, PooledConnection& entry,
                           const IdleTimeout& idle_timeout) {
    connection.mark_idle();
    detach_attempt(entry);
    entry.state_since = reactor_.clock().now();
    entry.idle_timeout = idle_timeout;
    entry.was_idle = true;
    entry.reused_after.reset();
    hosts_connections_[connection.host()].idle_connections.push_back(&connection);
    entry.idle_position =
        budget_.idle_connections_.insert(budget_.idle_connections_.end(), {this, &connection});
    if (sweep_timer_ == 0)
        sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_expired_connections(); });
}

// Must be called while the response is still in the buffer.
std::optional<ServerPool::IdleTimeout> ServerPool::idle_timeout_of(const ServerConnection& connection) const {
    const auto server_timeout = protocol_.server_idle_timeout(connection.parser(), connection.input());
    if (!server_timeout) return IdleTimeout{limits_.idle_timeout, false};
    if (*server_timeout <= Duration(0)) return std::nullopt;
    const Duration own_timeout(
        static_cast<std::int64_t>(kServerIdleTimeoutFraction * static_cast<double>(server_timeout->count())));
    return IdleTimeout{std::min(limits_.idle_timeout, own_timeout), true};
}

// Reports the attempt to the engine as successful, since no retry is possible once a part of the response was
// forwarded.
void ServerPool::on_streamed_response(ServerConnection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) return;
    PooledConnection& entry = found->second;
    if (!entry.attempt)
        return drop_connection(connection);    // a health check's response must not be that long
    const AttemptId attempt = *entry.attempt;
    const Duration duration = reactor_.clock().now() - entry.state_since;
    auto response_stream = std::make_shared<ResponseStream>(*this, connection);
    entry.response_stream = response_stream.get();
    detach_attempt(entry);
    ++counters_.streamed_answers;
    Payload response = protocol_.answer_of(connection.parser(), connection.input(), false);
    response.body_stream = std::move(response_stream);
    report_outcome(attempt, connection.host(), Outcome::Ok, duration,
                   protocol_.load_report_of(connection.parser(), connection.input()), std::move(response),
                   protocol_.settled_units_of(connection.parser(), connection.input()));
}

void ServerPool::on_response_body(ServerConnection& connection, std::string_view bytes) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.response_stream != nullptr)
        it->second.response_stream->sink()->on_body_chunk(bytes);
}

void ServerPool::on_response_body_end(ServerConnection& connection, bool complete, bool reusable) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    PooledConnection& entry = it->second;
    ResponseStream* const response_stream = std::exchange(entry.response_stream, nullptr);
    const std::optional<IdleTimeout> idle_timeout = reusable ? idle_timeout_of(connection) : std::nullopt;
    if (idle_timeout && is_current(connection, entry)) keep_idle(connection, entry, *idle_timeout);
    else drop_connection(connection);
    if (!complete) ++counters_.broken_streamed_answers;
    if (response_stream == nullptr) return;
    response_stream->detach();
    response_stream->sink()->on_body_end(complete);
}

void ServerPool::report_outcome(const std::optional<AttemptId>& attempt, HostId host, Outcome outcome,
                                Duration duration, LoadReport&& load, Payload&& response, double units) {
    if (attempt) engine_.on_attempt_ended(*attempt, outcome, std::move(load), std::move(response), units);
    else engine_.on_health_check_ended(host, outcome, duration, std::move(load));
}

void ServerPool::on_idle_connection_lost(ServerConnection& connection) { drop_connection(connection); }

// The only place where a connection is released, whatever its state.
void ServerPool::drop_connection(ServerConnection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) return;
    PooledConnection& entry = found->second;
    detach_attempt(entry);
    HostConnections& host_connections = hosts_connections_.at(connection.host());
    --host_connections.open_connections;
    --budget_.open_connections_;
    if (std::erase(host_connections.idle_connections, &connection) > 0)
        budget_.idle_connections_.erase(entry.idle_position);
    // Keeps no entry for hosts without connections, since entries of removed servers would accumulate.
    if (host_connections.open_connections == 0) hosts_connections_.erase(connection.host());
    connection.close();
    --counters_.open_server_connections;
    reactor_.destroy_later(std::move(entry.connection));
    connections_.erase(found);
}

void ServerPool::on_host_list_changed() {
    std::vector<ServerConnection*> stale;
    for (const auto& [host, host_connections] : hosts_connections_) {
        for (ServerConnection* connection : host_connections.idle_connections) {
            if (!is_current(*connection, connections_.at(connection))) stale.push_back(connection);
        }
    }
    for (ServerConnection* connection : stale) drop_connection(*connection);
}

void ServerPool::close_expired_connections() {
    std::vector<ServerConnection*> expired;
    bool any_idle = false;
    const TimePoint now = reactor_.clock().now();
    for (const auto& [host, host_connections] : hosts_connections_) {
        for (ServerConnection* connection : host_connections.idle_connections) {
            const PooledConnection& entry = connections_.at(connection);
            if (now - entry.state_since > entry.idle_timeout.duration) expired.push_back(connection);
            else any_idle = true;
        }
    }
    for (ServerConnection* connection : expired) drop_connection(*connection);
    sweep_timer_ =
        any_idle ? reactor_.schedule_after(kSweepInterval, [this] { close_expired_connections(); }) : 0;
}

}    // namespace shaletray
