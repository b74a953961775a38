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
    explicit ConnectionBudget(std::size_t most) : most_(most) {}
    void limit(std::size_t most) { most_ = most; }    // for what is dialled from now on
    std::size_t open() const { return open_; }
    std::size_t idle() const { return idle_.size(); }

private:
    friend ServerPool;
    std::size_t most_, open_ = 0;
    std::list<std::pair<ServerPool*, ServerConnection*>> idle_;    // the longest idle first
};

// One engine's. Numbers of attempts mean nothing beside it.
class ServerPool : public Backend, private ServerConnectionOwner {
public:
    struct Limits {
        Duration dial{0};
        Duration idle{0};    // a connection kept for reuse is closed after this
        // Most connections to one server; 0: no limit. What comes beyond that is NotSent, as beyond the
        // budget.
        std::size_t per_host = 0;
    };
    ServerPool(Engine& engine, const Hosts& hosts, const Dialect& dialect, ConnectionBudget& budget,
               Counters& counters, Reactor& reactor, Limits limits);
    ~ServerPool() override;
    ServerPool(const ServerPool&) = delete;
    ServerPool& operator=(const ServerPool&) = delete;

    void send(AttemptId attempt, HostId host, const Payload& request, Duration left) override;
    void cancel(AttemptId attempt) override;
    void probe(HostId host) override;
    bool began(AttemptId attempt) const override;
    void limit(const Limits& limits) { limits_ = limits; }    // for what follows
    // Drops what is kept for servers that have gone or moved.
    void list_changed();

private:
    class Flow;
    struct Entry {
        std::unique_ptr<ServerConnection> connection;
        std::optional<AttemptId> attempt;    // none: a probe, or kept for reuse
        TimePoint since{};                   // busy or idle
        TimePoint born{};                    // the start of the server's process when it was dialled
        Timers::Id limit = 0;
        Flow* flow = nullptr;    // of a long answer; it belongs to who takes the pieces
        Duration keep{0};        // how long it may be idle
        std::list<std::pair<ServerPool*, ServerConnection*>>::iterator place;    // in the budget, while idle
    };
    struct Place {                              // of one server
        std::vector<ServerConnection*> idle;    // the last used at the end
        std::size_t open = 0;                   // all of its connections
    };
    static std::uint64_t key(AttemptId attempt) {
        return static_cast<std::uint64_t>(attempt.request) << 32 | static_cast<std::uint32_t>(attempt.number);
    }

    bool may_begin(ServerConnection& connection) override;
    void request_written(ServerConnection& connection) override;
    void upload_began(ServerConnection& connection) override;
    void answer_began(ServerConnection& connection) override;
    void exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) override;
    void idle_broken(ServerConnection& connection) override;
    void answer_flows(ServerConnection& connection) override;
    void body_came(ServerConnection& connection, std::string_view bytes) override;
    void body_ended(ServerConnection& connection, bool whole, bool reusable) override;
    void keep(ServerConnection& connection, Entry& entry, Duration most);
    // None: it is not to be kept.
    std::optional<Duration> most_idle(const ServerConnection& connection) const;
    void forget_attempt(Entry& entry);

    // Whether it still leads to the process that the list has there now.
    bool current(const ServerConnection& connection, const Entry& entry) const;
    // A connection to the host, kept or new; none, and why, where there can be none.
    Entry* acquire(HostId host, Outcome& why_not);
    void report(const std::optional<AttemptId>& attempt, HostId host, Outcome outcome, Duration took,
                LoadReport&& load, Payload&& answer, double units = kUnitsUntold);
    void drop(ServerConnection& connection);
    void sweep();

    Engine& engine_;
    const Hosts& hosts_;
    const Dialect& dialect_;
    ConnectionBudget& budget_;
    Counters& counters_;
    Reactor& reactor_;
    Limits limits_;
    std::unordered_map<ServerConnection*, Entry> connections_;
    std::unordered_map<std::uint64_t, ServerConnection*> attempts_;
    std::unordered_map<HostId, Place> places_;
    Timers::Id sweep_timer_ = 0;    // while any are idle
    LogGate gate_;
};

}    // namespace shaletray
