// The load balancer in front of the gateways, and simulated clients: they use idle or new connections, give
// each attempt its own id, and retry only as the responses allow. Everything runs on the reactor's thread.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/stream.h"
#include "system/http_calls.h"
#include "system/scoreboard.h"

namespace shaletray::testbed {

// Polls the readiness of every gateway once a second, and chooses one for each new connection.
class GatewaySelector {
public:
    // The addresses of one gateway.
    struct GatewayEndpoint {
        std::string zone, frontend_address, readiness_address;
    };
    GatewaySelector(HttpCalls& calls, std::vector<GatewayEndpoint> endpoints);
    ~GatewaySelector();
    void add_gateway(GatewayEndpoint endpoint) { gateways_.push_back({std::move(endpoint)}); }
    void remove_gateway(const std::string& frontend);    // it is no longer chosen or polled
    // Returns the number of a gateway, or a negative value if there is none; avoids `excluded` if there is
    // another. `random_value` is uniform in 0 to 1.
    int choose_gateway(const std::string& zone, int excluded, double random_value) const;
    const GatewayEndpoint& endpoint_at(int number) const {
        return gateways_[static_cast<std::size_t>(number)].endpoint;
    }
    // Whether all gateways that were not removed are ready.
    bool all_ready() const;
    bool is_ready(int number) const {
        return gateways_[static_cast<std::size_t>(number)].missed_polls < kMaxMissedPolls;
    }

private:
    static constexpr int kMaxMissedPolls = 2;
    struct GatewayRecord {
        GatewayEndpoint endpoint;
        int missed_polls = kMaxMissedPolls;    // not ready before its first positive reply
        bool is_removed = false;
    };
    void poll_readiness();
    std::vector<int> ready_gateways(const std::string& zone) const;

    HttpCalls& calls_;
    std::deque<GatewayRecord> gateways_;    // a deque, since polls hold references to entries
    Timers::Id poll_timer_ = 0;
};

// A route and the requests that clients send to it.
struct RoutePlan {
    std::string name, host, prefix, service;
    bool is_repeatable = true, is_public = false;    // idempotent; public: needs no API key
    double rate = 10.0;                              // requests per second
    Duration service_time{0}, latency_target{0}, deadline{0}, attempt_timeout{0};
    int priority = 1, max_attempts = 2;
    std::size_t body_size = 0;        // of its requests, in bytes
    std::size_t max_body_size = 0;    // 0: all have body_size; otherwise from body_size to this
};
// A tenant with its share of the load and its quota.
struct TenantPlan {
    std::string name, key;
    double weight = 1.0, rate = 0.0, burst = 0.0;    // rate 0: no limit
    int priority = 1;
};

// One client with its own connection, which it uses until the gateway's process ends.
struct CallerPlan {
    std::size_t tenant = 0;    // index of its tenant
    std::string zone;
    double gateway_draw = 0.0;    // from 0 to 1: selects its gateway, like the load balancer's hash
};

// Results of all clients since the last reset.
struct ClientStatistics {
    // Requests of one route; attempts count each send.
    struct RouteCounters {
        std::uint64_t due = 0, served = 0, within_target = 0, rejected = 0, failed = 0, attempts = 0;
        std::vector<float> latency_ms;    // of served requests, from their due time
    };
    std::vector<RouteCounters> by_route;
    // Results of one caller's requests; `rejected`: its last attempt got 429 or 503.
    struct CallerCounters {
        std::uint64_t due = 0, served = 0, rejected = 0, failed = 0;
        int gateway = -1;    // of its last attempt
    };
    std::vector<CallerCounters> by_caller;
    std::map<int, std::uint64_t> attempts_by_status;    // 0: no answer
    struct SecondCounters {
        std::uint64_t due = 0, served = 0, rejected = 0, failed = 0;
    };
    std::vector<SecondCounters> by_second;    // by the second in which the requests were due
    std::uint64_t connections_opened = 0;
    RouteCounters totals() const;
};
// The quantile (0 to 1) of latencies; 0 if there are none.
double latency_quantile(std::vector<float> latencies, double quantile);

// Open-loop load generator: requests are due at random times, independent of earlier ones.
class Clients {
public:
    // What the clients send, and how.
    struct Settings {
        std::vector<RoutePlan> routes;
        std::vector<TenantPlan> tenants;
        std::vector<std::string> zones;
        // Empty: any request may use any idle connection in its zone.
        std::vector<CallerPlan> callers = {};
        double new_connection_fraction = 0.2;    // share of the requests that open a connection
        std::uint64_t seed = 1;
    };
    Clients(Reactor& reactor, Scoreboard& scoreboard, const GatewaySelector& gateway_selector,
            Settings settings);
    ~Clients();
    void start_load(double load_factor = 1.0);    // multiplies all routes' rates
    void stop_load();                             // no more are due; pending ones go on
    std::size_t open_requests() const { return pending_requests_.size(); }
    const ClientStatistics& statistics() const { return statistics_; }
    void reset_statistics();

private:
    class Connection;
    struct PendingRequest {
        std::size_t route = 0, tenant = 0, caller = 0;
        std::string zone, target, body, id;
        TimePoint due_at{}, deadline{};
        std::size_t second_index = 0;
        int attempts = 0, gateway_index = -1;
        bool was_rejected = false;    // by the last attempt
        Connection* connection = nullptr;
        Timers::Id retry_timer = 0, deadline_timer = 0;
    };
    void on_request_due(std::size_t route);
    void send_attempt(PendingRequest& request, bool new_connection);
    void draw_sender(PendingRequest& request);
    std::string draw_body(const RoutePlan& route);
    Connection* find_idle_connection(const PendingRequest& request);
    Connection* open_connection(PendingRequest& request);
    void write_request(PendingRequest& request, Connection& connection);
    void on_response(Connection& connection);
    void on_disconnected(Connection& connection);
    void retry_later(PendingRequest& request, Duration delay, bool may_retry);
    void finish_request(PendingRequest& request, bool was_served);
    void remove_connection(Connection& connection);
    std::string make_request_id();

    Reactor& reactor_;
    Scoreboard& scoreboard_;
    const GatewaySelector& gateway_selector_;
    Settings settings_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Connection>> connections_;    // most recently used last
    std::list<std::unique_ptr<PendingRequest>> pending_requests_;
    std::vector<Timers::Id> arrival_timers_;
    std::discrete_distribution<std::size_t> tenant_distribution_;
    std::vector<std::vector<std::size_t>> callers_by_tenant_;
    double load_factor_ = 1.0;
    TimePoint started_at_{};
    std::uint64_t last_request_number_ = 0;
    ClientStatistics statistics_;
};

}    // namespace shaletray::testbed
