// Where requests go from the clients' connections: to the quota of their tenant, then to the engine of the
// service that the chart sends them to. One engine a service, each with the decision module of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "cluster/quota/quota_balancer.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/server_pool.h"
#include "gateway/http_mapping/request_mapper.h"
#include "gateway/http_mapping/upstream_hosts.h"

namespace shaletray::gateway {

struct DispatcherSettings {
    std::uint64_t seed = 0;
    std::size_t max_server_connections = 512;    // connections to all servers together
    int zone = 0;
    double retry_ratio = 0.2, retry_slack = 0.0;    // over all pilots together,
    Duration retry_window = std::chrono::seconds(10);
    std::size_t max_queued = 2000;    // requests that wait for units
};

class RequestDispatcher final : public RequestHandler {
public:
    // `tide_due`: the tide has something to say before its next tick.
    RequestDispatcher(DispatcherSettings settings, Reactor& reactor, Timers& timers, Counters& counters,
                      http_mapping::UpstreamHosts& hosts, quota::QuotaBalancer& balancer,
                      std::function<void()> on_quota_due);
    ~RequestDispatcher() override;

    std::uint64_t submit(DownstreamConnection& client, IncomingRequest&& incoming) override;
    void cancel(std::uint64_t ticket) override;

    // What is to be done from now on; requests under way go on by the chart that they came under.
    void set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> configuration_index);
    // These services' lists of servers differ.
    void on_servers_changed(const std::set<std::string>& services);
    // Pilots that share the repeat budget and the servers.
    void set_gateway_count(std::uint32_t count);
    // In the place of the one before, with nothing in it.
    void set_quota_balancer(quota::QuotaBalancer& balancer);
    // Units came in for these tenants.
    void on_units_available(const std::vector<std::string>& tenants);
    // Every request that is still owed an answer gets one.
    void abandon_all();

    std::size_t pending_count() const { return pending_.size(); }
    struct Statistics {
        std::uint64_t granted = 0, queued = 0, rejected_quota = 0, rejected_capacity = 0, served = 0,
                      failed = 0;
    };
    const Statistics& statistics() const { return statistics_; }

private:
    class PendingRequest;
    struct ServicePipeline;    // one service
    void forward_request(PendingRequest& pending);
    void remove_from_queue(PendingRequest& pending);
    bool retry_admission(PendingRequest& pending);
    void reject_over_quota(PendingRequest& pending, Duration retry_after);
    void retire_request(PendingRequest& pending);
    ServicePipeline& pipeline_for(const std::string& service);
    void configure_pipeline(ServicePipeline& pipeline);
    const http_mapping::RouteMatch& route_match_of(const PendingRequest& pending) const;
    Duration random_retry_delay();

    DispatcherSettings settings_;
    Reactor& reactor_;
    Timers& timers_;
    Counters& counters_;
    http_mapping::UpstreamHosts& hosts_;
    quota::QuotaBalancer* balancer_;
    std::function<void()> on_quota_due_;
    http_mapping::UpstreamCodec codec_;
    ConnectionBudget connection_budget_;
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    std::unordered_map<std::string, std::vector<const configuration::Route*>>
        routes_by_service_;                                         // of table_, by service
    std::unordered_map<std::string, std::string> health_checks_;    // by service
    std::unordered_map<std::string, std::unique_ptr<ServicePipeline>> pipelines_;
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>> pending_;
    std::unordered_map<std::string, std::deque<std::uint64_t>> queued_;    // for units, by tenant
    std::size_t queued_count_ = 0;
    std::uint64_t last_ticket_ = 0;
    std::uint32_t gateway_count_ = 1;
    std::mt19937_64 random_;
    Statistics statistics_;
};

}    // namespace shaletray::gateway
