// The platform before the gateways, and the clients that it passes on: connections that are kept or opened
// anew, tries with ids of their own, promises that are heeded.
#pragma once

#include <deque>
#include <list>
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

// Asks every gateway each second whether it is ready, and chooses one for each new connection.
class GatewaySelector {
public:
    struct GatewayEndpoint {
        std::string zone, frontend_address, readiness_address;
    };
    GatewaySelector(HttpCalls& calls, std::vector<GatewayEndpoint> endpoints);
    ~GatewaySelector();
    void add_gateway(GatewayEndpoint endpoint) { gateways_.push_back({std::move(endpoint)}); }
    void remove_gateway(const std::string& frontend);    // it is not chosen or asked any more
    // Below 0: there is none. Another one than `not_this`, where there is one. `draw` in 0 to 1.
    int choose_gateway(const std::string& zone, int excluded, double random_value) const;
    const GatewayEndpoint& endpoint_at(int number) const {
        return gateways_[static_cast<std::size_t>(number)].endpoint;
    }
    bool all_ready() const;
    bool is_ready(int number) const {
        return gateways_[static_cast<std::size_t>(number)].missed_polls < kMaxMissedPolls;
    }

private:
    static constexpr int kMaxMissedPolls = 2;
    struct GatewayRecord {
        GatewayEndpoint endpoint;
        int missed_polls = kMaxMissedPolls;    // out until it says that it is ready
        bool is_removed = false;
    };
    void poll_readiness();
    std::vector<int> ready_gateways(const std::string& zone) const;

    HttpCalls& calls_;
    std::deque<GatewayRecord> gateways_;    // polls hold on to theirs
    Timers::Id poll_timer_ = 0;
};

struct RoutePlan {
    std::string name, host, prefix, service;
    bool is_repeatable = true, is_public = false;    // open: needs no key
    double rate = 10.0;                              // a second
    Duration service_time{0}, latency_target{0}, deadline{0}, attempt_timeout{0};
    int priority = 1, max_attempts = 2;
    std::size_t body_size = 0;    // bytes that its requests carry
};
struct TenantPlan {
    std::string name, key;
    double weight = 1.0, rate = 0.0, burst = 0.0;    // rate 0: no limit
    int priority = 1;
};

struct ClientStatistics {
    struct RouteCounters {
        std::uint64_t due = 0, served = 0, within_target = 0, rejected = 0, failed = 0, attempts = 0;
        std::vector<float> latency_ms;    // of what was served, from when it was due
    };
    std::vector<RouteCounters> by_route;
    struct SecondCounters {
        std::uint64_t due = 0, served = 0, rejected = 0, failed = 0;
    };
    std::vector<SecondCounters> by_second;    // by when they were due
    std::uint64_t connections_opened = 0;
    RouteCounters totals() const;
};
// 0 where there is none.
double latency_quantile(std::vector<float> latencies, double quantile);

class Clients {
public:
    struct Settings {
        std::vector<RoutePlan> routes;
        std::vector<TenantPlan> tenants;
        std::vector<std::string> zones;
        double new_connection_fraction = 0.2;    // the share of requests that come on one of their own
        std::uint64_t seed = 1;
    };
    Clients(Reactor& reactor, Board& board, const GatewaySelector& front, Settings settings);
    ~Clients();
    void start_load(double load_factor = 1.0);    // as many requests
    void stop_load();                             // no more are due; those under way go on
    std::size_t open_requests() const { return pending_requests_.size(); }
    const ClientStatistics& statistics() const { return statistics_; }
    void reset_statistics();

private:
    class Connection;
    struct PendingRequest {
        std::size_t route = 0, tenant = 0;
        std::string zone, target, body, id;
        TimePoint due_at{}, deadline{};
        std::size_t second_index = 0;
        int attempts = 0, gateway_index = -1;
        bool was_rejected = false;    // by the last try
        Connection* connection = nullptr;
        Timers::Id retry_timer = 0, deadline_timer = 0;
    };
    void on_request_due(std::size_t route);
    void send_attempt(PendingRequest& request, bool new_connection);
    Connection* find_idle_connection(const std::string& zone);
    Connection* open_connection(PendingRequest& request);
    void write_request(PendingRequest& request, Connection& connection);
    void on_answer(Connection& connection);
    void on_disconnected(Connection& connection);
    void retry_later(PendingRequest& request, Duration delay, bool may_retry);
    void finish_request(PendingRequest& request, bool was_served);
    void remove_connection(Connection& connection);
    std::string make_request_id();

    Reactor& reactor_;
    Board& board_;
    const GatewaySelector& front_;
    Settings settings_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Connection>> connections_;    // the last used at the end
    std::list<std::unique_ptr<PendingRequest>> pending_requests_;
    std::vector<Timers::Id> arrival_timers_;
    double load_factor_ = 1.0;
    TimePoint started_at_{};
    std::uint64_t last_request_number_ = 0;
    ClientStatistics statistics_;
};

}    // namespace shaletray::testbed
