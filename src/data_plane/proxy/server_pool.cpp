#include "data_plane/proxy/server_pool.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepEvery = 1s;
// What a server sends beyond its answer comes right after it. On a connection used again sooner, that would
// be read as the next request's answer.
constexpr Duration kSettle = 200us;
constexpr double kIdleShare = 0.6;    // of the time after which a server says that it closes a connection

}    // namespace

// A long answer on its way. It outlives neither its connection's use nor who takes it: each tells the other.
class ServerPool::Flow : public BodyFlow {
public:
    Flow(ServerPool& pool, ServerConnection& connection)
        : pool_(pool), connection_(&connection), length_(connection.parser().length()) {}
    ~Flow() override {
        if (connection_ == nullptr) return;
        pool_.connections_.at(connection_).flow = nullptr;
        pool_.drop(*connection_);    // its server sees that nobody wants the rest
    }
    Flow(const Flow&) = delete;
    Flow& operator=(const Flow&) = delete;

    void begin(BodySink& sink) override {
        sink_ = &sink;
        go_on(true);
    }
    void go_on(bool wanted) override {
        if (connection_ != nullptr) connection_->flow_on(wanted);
    }
    std::optional<std::uint64_t> length() const override { return length_; }
    BodySink* sink() const { return sink_; }
    void detach() { connection_ = nullptr; }

private:
    ServerPool& pool_;
    ServerConnection* connection_;
    std::optional<std::uint64_t> length_;
    BodySink* sink_ = nullptr;
};

ServerPool::ServerPool(Engine& engine, const Hosts& hosts, const Dialect& dialect, ConnectionBudget& budget,
                       Counters& counters, Reactor& reactor, Limits limits)
    : engine_(engine),
      hosts_(hosts),
      dialect_(dialect),
      budget_(budget),
      counters_(counters),
      reactor_(reactor),
      limits_(limits) {}

ServerPool::~ServerPool() {
    reactor_.cancel(sweep_timer_);
    for (auto& [connection, entry] : connections_) {
        reactor_.cancel(entry.limit);
        if (entry.flow != nullptr) entry.flow->detach();
    }
    for (auto& [host, place] : places_) {
        for (ServerConnection* const idle : place.idle) budget_.idle_.erase(connections_.at(idle).place);
    }
    budget_.open_ -= connections_.size();
    connections_.clear();
    reactor_.reap();
}

// An address may pass on to another server, and a server's process may be another one after a restart.
bool ServerPool::current(const ServerConnection& connection, const Entry& entry) const {
    const Hosts::Host* const known = hosts_.find(connection.host());
    return known != nullptr && known->address == connection.address() && known->born == entry.born;
}

ServerPool::Entry* ServerPool::acquire(HostId host, Outcome& why_not) {
    const Hosts::Host* const known = hosts_.find(host);
    if (known == nullptr || !hosts_.may_begin(host, reactor_.clock().now())) {
        why_not = Outcome::ConnectFailed;
        return nullptr;
    }
    // The most recently used first: the others may then grow old and be closed.
    const TimePoint now = reactor_.clock().now();
    if (const auto place = places_.find(host); place != places_.end()) {
        std::vector<ServerConnection*>& idle = place->second.idle;    // gone with the last that is dropped
        for (std::size_t at = idle.size(); at-- > 0;) {
            ServerConnection* const connection = idle[at];
            Entry& entry = connections_.at(connection);
            if (entry.since > now - kSettle) continue;
            // Past the limits' own time one is closed at the next sweep; what its server told is kept to the
            // dot.
            const bool old = entry.keep < limits_.idle && now - entry.since > entry.keep;
            if (!old && connection->fit() && current(*connection, entry)) {
                idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
                budget_.idle_.erase(entry.place);
                ++counters_.servers_reused;
                return &entry;
            }
            drop(*connection);
        }
    }
    if (budget_.open_ >= budget_.most_ && !budget_.idle_.empty()) {
        const auto [pool, longest] = budget_.idle_.front();
        pool->drop(*longest);
    }
    const auto place = places_.find(host);
    const std::size_t there = place == places_.end() ? 0 : place->second.open;
    // Our own want of descriptors, or places, which says nothing of the server.
    if (budget_.open_ >= budget_.most_ || (limits_.per_host > 0 && there >= limits_.per_host)) {
        why_not = Outcome::NotSent;
        return nullptr;
    }
    ++budget_.open_;
    ++places_[host].open;
    ++counters_.servers_dialled;
    ++counters_.servers_open;
    ServerConnectionOwner& owner = *this;
    auto connection = std::make_unique<ServerConnection>(reactor_, owner, dialect_, host, known->address);
    ServerConnection* const at = connection.get();
    Entry& entry = connections_[at];
    entry.connection = std::move(connection);
    entry.born = known->born;
    return &entry;
}

void ServerPool::send(AttemptId attempt, HostId host, const Payload& request, Duration left) {
    Outcome why_not{};
    Entry* const entry = acquire(host, why_not);
    if (entry == nullptr) return report(attempt, host, why_not, {}, {}, {});
    ServerConnection* const connection = entry->connection.get();
    entry->attempt = attempt;
    entry->since = reactor_.clock().now();
    attempts_[key(attempt)] = connection;
    connection->begin(dialect_.write_request(request, host, left), false, request.id, request.upload);
    if (const auto it = connections_.find(connection); it != connections_.end() && connection->dialling()) {
        it->second.limit = reactor_.after(limits_.dial, [this, connection] {
            if (connection->dialling()) exchange_ended(*connection, Outcome::ConnectFailed, false);
        });
    }
}

void ServerPool::cancel(AttemptId attempt) {
    const auto it = attempts_.find(key(attempt));
    if (it != attempts_.end()) drop(*it->second);    // its server sees the connection end, and so the attempt
}

bool ServerPool::began(AttemptId attempt) const {
    const auto it = attempts_.find(key(attempt));
    return it == attempts_.end() || !it->second->dialling();
}

void ServerPool::probe(HostId host) {
    Outcome why_not{};
    Entry* const entry = acquire(host, why_not);
    if (entry == nullptr) return report(std::nullopt, host, why_not, {}, {}, {});
    ServerConnection* const connection = entry->connection.get();
    entry->since = reactor_.clock().now();
    entry->limit = reactor_.after(limits_.dial, [this, connection] {
        const Outcome outcome = connection->dialling() ? Outcome::ConnectFailed : Outcome::Timeout;
        exchange_ended(*connection, outcome, false);
    });
    connection->begin(dialect_.write_probe(host, connection->address()), true);
}

// Nor where its time to come up is over, which this process may see late: it stood still, and what it
// believed of the server is as old.
bool ServerPool::may_begin(ServerConnection& connection) {
    const TimePoint now = reactor_.clock().now();
    const auto it = connections_.find(&connection);
    return it != connections_.end() && now - it->second.since <= limits_.dial &&
           hosts_.may_begin(connection.host(), now);
}

void ServerPool::request_written(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end() || !it->second.attempt) return;
    ++counters_.tries_written;
    engine_.attempt_written(*it->second.attempt);
}

void ServerPool::upload_began(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.attempt) engine_.attempt_uploads(*it->second.attempt);
}

void ServerPool::answer_began(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.attempt) engine_.attempt_began(*it->second.attempt);
}

// The one place where an exchange ends by itself; cancel() is the other end that there is.
void ServerPool::exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    Entry& entry = it->second;
    const bool spoilt = connection.spoilt();
    LoadReport load;
    Payload answer;
    double units = kUnitsUntold;
    if (spoilt) {
        ++counters_.bad_answers;
        if (gate_.open())
            log(LogLevel::Warning, Event::ServerSpoiltAnswer, {kv("server", connection.address())});
    } else if (connection.answered()) {
        load = dialect_.report_of(connection.parser(), connection.input());
        const bool wanted = outcome == Outcome::Ok || (outcome == Outcome::Error && engine_.keeps_failures());
        if (wanted && entry.attempt)
            answer = dialect_.answer_of(connection.parser(), connection.input(), true);
        if (outcome == Outcome::Ok && entry.attempt)
            units = dialect_.settled_units_of(connection.parser(), connection.input());
    } else if (outcome == Outcome::ConnectFailed) {
        ++counters_.servers_dial_failed;
    }
    const std::optional<AttemptId> attempt = entry.attempt;
    const HostId host = connection.host();
    const TimePoint now = reactor_.clock().now();
    const Duration took = now - entry.since;
    const std::optional<Duration> most = reusable ? most_idle(connection) : std::nullopt;
    if (most && current(connection, entry)) keep(connection, entry, *most);
    else drop(connection);
    report(attempt, host, outcome, took, std::move(load), std::move(answer), units);
}

// It has ended, or no decision is left on it.
void ServerPool::forget_attempt(Entry& entry) {
    if (entry.attempt) attempts_.erase(key(*entry.attempt));
    entry.attempt.reset();
    reactor_.cancel(entry.limit);
}

// For the next exchange.
void ServerPool::keep(ServerConnection& connection, Entry& entry, Duration most) {
    connection.release();
    forget_attempt(entry);
    entry.since = reactor_.clock().now();
    entry.keep = most;
    places_[connection.host()].idle.push_back(&connection);
    entry.place = budget_.idle_.insert(budget_.idle_.end(), {this, &connection});
    if (sweep_timer_ == 0) sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

// Before the answer's buffer is given back.
std::optional<Duration> ServerPool::most_idle(const ServerConnection& connection) const {
    const auto told = dialect_.idle_limit(connection.parser(), connection.input());
    if (!told) return limits_.idle;
    if (*told <= Duration(0)) return std::nullopt;
    const Duration ours(static_cast<std::int64_t>(kIdleShare * static_cast<double>(told->count())));
    return std::min(limits_.idle, ours);
}

// The attempt has ended well as far as anybody decides on it: nothing can be tried again once a part of the
// answer was passed on.
void ServerPool::answer_flows(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    Entry& entry = it->second;
    if (!entry.attempt) return drop(connection);    // no probe's answer is that long
    const AttemptId attempt = *entry.attempt;
    const Duration took = reactor_.clock().now() - entry.since;
    auto flow = std::make_shared<Flow>(*this, connection);
    entry.flow = flow.get();
    forget_attempt(entry);
    ++counters_.flows;
    Payload answer = dialect_.answer_of(connection.parser(), connection.input(), false);
    answer.flow = std::move(flow);
    report(attempt, connection.host(), Outcome::Ok, took,
           dialect_.report_of(connection.parser(), connection.input()), std::move(answer),
           dialect_.settled_units_of(connection.parser(), connection.input()));
}

void ServerPool::body_came(ServerConnection& connection, std::string_view bytes) {
    const auto it = connections_.find(&connection);
    if (it != connections_.end() && it->second.flow != nullptr) it->second.flow->sink()->on_body(bytes);
}

void ServerPool::body_ended(ServerConnection& connection, bool whole, bool reusable) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    Entry& entry = it->second;
    Flow* const flow = std::exchange(entry.flow, nullptr);
    const std::optional<Duration> most = reusable ? most_idle(connection) : std::nullopt;
    if (most && current(connection, entry)) keep(connection, entry, *most);
    else drop(connection);
    if (!whole) ++counters_.flows_broken;
    if (flow == nullptr) return;
    flow->detach();
    flow->sink()->on_body_end(whole);
}

void ServerPool::report(const std::optional<AttemptId>& attempt, HostId host, Outcome outcome, Duration took,
                        LoadReport&& load, Payload&& answer, double units) {
    if (attempt) engine_.attempt_ended(*attempt, outcome, std::move(load), std::move(answer), units);
    else engine_.probe_ended(host, outcome, took, std::move(load));
}

void ServerPool::idle_broken(ServerConnection& connection) { drop(connection); }

// The one place where a connection is given back, whatever it was doing.
void ServerPool::drop(ServerConnection& connection) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    Entry& entry = it->second;
    forget_attempt(entry);
    Place& place = places_.at(connection.host());
    --place.open;
    --budget_.open_;
    if (std::erase(place.idle, &connection) > 0) budget_.idle_.erase(entry.place);
    // Servers come and go all day: nothing may stay of those that went.
    if (place.open == 0) places_.erase(connection.host());
    connection.close();
    --counters_.servers_open;
    reactor_.retire(std::move(entry.connection));
    connections_.erase(it);
}

void ServerPool::list_changed() {
    std::vector<ServerConnection*> stale;
    for (const auto& [host, place] : places_) {
        for (ServerConnection* connection : place.idle) {
            if (!current(*connection, connections_.at(connection))) stale.push_back(connection);
        }
    }
    for (ServerConnection* connection : stale) drop(*connection);
}

void ServerPool::sweep() {
    std::vector<ServerConnection*> old;
    bool any = false;
    const TimePoint now = reactor_.clock().now();
    for (const auto& [host, place] : places_) {
        for (ServerConnection* connection : place.idle) {
            const Entry& entry = connections_.at(connection);
            if (now - entry.since > entry.keep) old.push_back(connection);
            else any = true;
        }
    }
    for (ServerConnection* connection : old) drop(*connection);
    sweep_timer_ = any ? reactor_.after(kSweepEvery, [this] { sweep(); }) : 0;
}

}    // namespace shaletray
