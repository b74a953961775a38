// Sends attempts and health checks to servers over pooled HTTP connections, and owns these connections while
// they are connecting, busy or idle. Only for the reactor's thread.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/common/log.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/host_table.h"
#include "data_plane/proxy/idle_age_limits.h"
#include "data_plane/proxy/server_connection.h"

namespace shaletray {

class ServerPool;

// Limits the number of connections of all pools that share it. It must outlive them.
class ConnectionBudget {
public:
    explicit ConnectionBudget(std::size_t max_connections) : max_connections_(max_connections) {}
    // Applies to new connections; open ones stay.
    void set_limit(std::size_t max_connections) { max_connections_ = max_connections; }
    std::size_t open_connections() const { return open_connections_; }
    std::size_t idle_connections() const { return idle_connections_.size(); }

private:
    friend ServerPool;
    std::size_t max_connections_, open_connections_ = 0;
    std::list<std::pair<ServerPool*, ServerConnection*>> idle_connections_;    // longest idle first
};

// The connections of one engine, whose attempt ids are unique only within it. All references must outlive it.
class ServerPool : public AttemptSender, private ServerConnectionOwner {
public:
    // Timeouts, and the limit of connections per server.
    struct Limits {
        Duration dial_timeout{0};    // to establish a connection
        Duration idle_timeout{0};    // an idle connection is closed after this
        // Maximum connections to one server; 0: no limit. Attempts beyond it end with Outcome::NotSent, as do
        // those beyond the budget.
        std::size_t max_per_host = 0;
    };
    ServerPool(Engine& engine, const HostTable& hosts, const UpstreamProtocol& protocol,
               ConnectionBudget& budget, Counters& counters, Reactor& reactor, Limits limits);
    ~ServerPool() override;
    ServerPool(const ServerPool&) = delete;
    ServerPool& operator=(const ServerPool&) = delete;

    void send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration time_left) override;
    void cancel_attempt(AttemptId attempt) override;
    void check_health(HostId host) override;
    bool has_started(AttemptId attempt) const override;
    // Applies to later exchanges.
    void set_limits(const Limits& limits) { limits_ = limits; }
    // Closes idle connections to servers that were removed or changed their address.
    void on_host_list_changed();

private:
    class ResponseStream;
    // How long a connection may be idle.
    struct IdleTimeout {
        Duration duration{0};
        bool stated_by_server = false;
    };
    struct PooledConnection {
        std::unique_ptr<ServerConnection> connection;
        std::optional<AttemptId> attempt;             // none: a health check, or idle
        TimePoint state_since{};                      // since when it has been busy or idle
        TimePoint process_started_at{};               // the server process's start when it was connected
        Timers::Id timeout_timer = 0;                 // of connecting, or of a whole health check
        ResponseStream* response_stream = nullptr;    // of a streamed response; owned by its receiver
        IdleTimeout idle_timeout;                     // while idle
        std::optional<Duration> reused_after;         // how long it was idle before this exchange
        bool was_idle = false;                        // before any exchange
        // Position in the budget's list, while idle.
        std::list<std::pair<ServerPool*, ServerConnection*>>::iterator idle_position;
    };
    struct HostConnections {
        std::vector<ServerConnection*> idle_connections;    // most recently used last
        std::size_t open_connections = 0;                   // idle ones included
    };
    static std::uint64_t attempt_key(AttemptId attempt) {
        return static_cast<std::uint64_t>(attempt.request) << 32 |
               static_cast<std::uint32_t>(attempt.attempt_number);
    }

    bool may_write_request(ServerConnection& connection) override;
    void on_request_written(ServerConnection& connection) override;
    void on_upload_started(ServerConnection& connection) override;
    void on_response_head(ServerConnection& connection) override;
    void on_exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) override;
    void on_idle_connection_lost(ServerConnection& connection) override;
    void on_streamed_response(ServerConnection& connection) override;
    void on_response_body(ServerConnection& connection, std::string_view bytes) override;
    void on_response_body_end(ServerConnection& connection, bool complete, bool reusable) override;
    void keep_idle(ServerConnection& connection, PooledConnection& entry, const IdleTimeout& idle_timeout);
    // None if the connection must not be reused.
    std::optional<IdleTimeout> idle_timeout_of(const ServerConnection& connection) const;
    void detach_attempt(PooledConnection& entry);

    // Whether the connection leads to the server process that the host table lists now.
    bool is_current(const ServerConnection& connection, const PooledConnection& entry) const;
    // Returns an idle or new connection to the host, or null with the reason in `failure`.
    PooledConnection* acquire_connection(HostId host, IdleAgeLimits::Repetition repetition, Outcome& failure);
    // Returns the most recently used one that may carry the request; drops those that can carry no request.
    PooledConnection* take_idle_connection(HostId host, IdleAgeLimits::Repetition repetition);
    PooledConnection* open_connection(HostId host, const HostTable::Host& known_host, Outcome& failure);
    // Updates idle_age_limits_ with the result of an exchange.
    void record_idle_age_evidence(const ServerConnection& connection, const PooledConnection& entry,
                                  Outcome outcome);
    void report_outcome(const std::optional<AttemptId>& attempt, HostId host, Outcome outcome,
                        Duration duration, LoadReport&& load, Payload&& response,
                        double units = kUnitsUnreported);
    void drop_connection(ServerConnection& connection);
    void close_expired_connections();

    Engine& engine_;
    const HostTable& hosts_;
    const UpstreamProtocol& protocol_;
    ConnectionBudget& budget_;
    Counters& counters_;
    Reactor& reactor_;
    Limits limits_;
    IdleAgeLimits idle_age_limits_;
    std::unordered_map<ServerConnection*, PooledConnection> connections_;
    std::unordered_map<std::uint64_t, ServerConnection*> connections_by_attempt_;
    std::unordered_map<HostId, HostConnections> hosts_connections_;
    Timers::Id sweep_timer_ = 0;    // set while any connection is idle
    LogRateLimiter log_limiter_;
};

}    // namespace shaletray
