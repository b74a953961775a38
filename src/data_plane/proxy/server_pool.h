// Carries attempts and probes to servers, and owns the connections for that: busy, dialling or kept for
// reuse.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/common/log.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/host_table.h"
#include "data_plane/proxy/server_connection.h"

namespace shaletray {

class ServerPool;

// How many connections there may be in all the pools that share it. It outlives them.
class ConnectionBudget {
public:
    explicit ConnectionBudget(std::size_t max_connections) : max_connections_(max_connections) {}
    void set_limit(std::size_t max_connections) {
        max_connections_ = max_connections;
    }    // for what is dialled from now on
    std::size_t open_connections() const { return open_connections_; }
    std::size_t idle_connections() const { return idle_connections_.size(); }

private:
    friend ServerPool;
    std::size_t max_connections_, open_connections_ = 0;
    std::list<std::pair<ServerPool*, ServerConnection*>> idle_connections_;    // the longest idle first
};

// One engine's. Numbers of attempts mean nothing beside it.
class ServerPool : public AttemptSender, private ServerConnectionOwner {
public:
    struct Limits {
        Duration dial_timeout{0};
        Duration idle_timeout{0};    // a connection kept for reuse is closed after this
        // Most connections to one server; 0: no limit. What comes beyond that is NotSent, as beyond the
        // budget.
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
    void set_limits(const Limits& limits) { limits_ = limits; }    // for what follows
    // Drops what is kept for servers that have gone or moved.
    void on_host_list_changed();

private:
    class AnswerStream;
    struct PooledConnection {
        std::unique_ptr<ServerConnection> connection;
        std::optional<AttemptId> attempt;    // none: a probe, or kept for reuse
        TimePoint state_since{};             // busy or idle
        TimePoint process_started_at{};      // the start of the server's process when it was dialled
        Timers::Id dial_timer = 0;
        AnswerStream* answer_stream = nullptr;    // of a long answer; it belongs to who takes the pieces
        Duration idle_timeout{0};                 // how long it may be idle
        std::list<std::pair<ServerPool*, ServerConnection*>>::iterator
            idle_position;    // in the budget, while idle
    };
    struct HostConnections {                                // of one server
        std::vector<ServerConnection*> idle_connections;    // the last used at the end
        std::size_t open_connections = 0;                   // all of its connections
    };
    static std::uint64_t attempt_key(AttemptId attempt) {
        return static_cast<std::uint64_t>(attempt.request) << 32 |
               static_cast<std::uint32_t>(attempt.attempt_number);
    }

    bool may_begin(ServerConnection& connection) override;
    void on_request_written(ServerConnection& connection) override;
    void on_upload_started(ServerConnection& connection) override;
    void on_answer_started(ServerConnection& connection) override;
    void on_exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) override;
    void on_idle_connection_lost(ServerConnection& connection) override;
    void on_streamed_answer(ServerConnection& connection) override;
    void on_answer_body(ServerConnection& connection, std::string_view bytes) override;
    void on_answer_body_end(ServerConnection& connection, bool complete, bool reusable) override;
    void keep_idle(ServerConnection& connection, PooledConnection& entry, Duration max_idle);
    // None: it is not to be kept.
    std::optional<Duration> max_idle_time(const ServerConnection& connection) const;
    void forget_attempt(PooledConnection& entry);

    // Whether it still leads to the process that the list has there now.
    bool is_current(const ServerConnection& connection, const PooledConnection& entry) const;
    // A connection to the host, kept or new; none, and why, where there can be none.
    PooledConnection* acquire_connection(HostId host, Outcome& failure);
    void report_outcome(const std::optional<AttemptId>& attempt, HostId host, Outcome outcome,
                        Duration duration, LoadReport&& load, Payload&& answer,
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
    std::unordered_map<ServerConnection*, PooledConnection> connections_;
    std::unordered_map<std::uint64_t, ServerConnection*> connections_by_attempt_;
    std::unordered_map<HostId, HostConnections> hosts_connections_;
    Timers::Id sweep_timer_ = 0;    // while any are idle
    LogRateLimiter log_limiter_;
};

}    // namespace shaletray
