// One engine and connection pool for each service, configured from the routes and services.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/configuration/configuration_index.h"
#include "cluster/configuration/sharded_services.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/server_pool.h"
#include "gateway/http_mapping/upstream_codec.h"
#include "gateway/http_mapping/upstream_hosts.h"

namespace shaletray::gateway {

struct PipelineSettings {
    std::size_t max_server_connections = 512;    // to all servers together
    int zone = 0;
    // Retry budget of all gateways together: a ratio of the requests, plus a number of retries in each
    // window.
    double retry_ratio = 0.2;
    double retry_slack = 0.0;
    Duration retry_window = std::chrono::seconds(10);
};

// Returns the engine's settings for the requests of a route.
decision::ClassSettings class_settings_of(const configuration::Route& route);

// The engine and the connection pool that process the requests of one service.
struct ServicePipeline {
    ServicePipeline(std::string name, const decision::Settings& engine_settings, std::uint64_t seed,
                    Reactor& reactor, Timers& timers, Counters& counters, http_mapping::UpstreamHosts& hosts,
                    http_mapping::UpstreamCodec& codec, ConnectionBudget& connection_budget);

    // Gateways exchange no messages about individual services.
    struct NullPeerMessenger : PeerMessenger {
        void send_to_peer(PeerId, const std::vector<std::uint8_t>&) override {}
    } peer_messenger;
    // Endpoint lists are pushed by ServicePipelines.
    struct NullHostListSource : HostListSource {
        void subscribe() override {}
    } host_lists;
    std::string service;
    decision::Settings settings;
    Engine engine;
    ServerPool pool;
    std::unordered_map<std::string, int> class_by_route;    // the engine's class index by route name
};

// Creates a pipeline at the first request or route of a service, and keeps it. Runs on the reactor's thread.
// Objects passed by reference must outlive it.
class ServicePipelines {
public:
    ServicePipelines(const PipelineSettings& settings, Reactor& reactor, Timers& timers, Counters& counters,
                     http_mapping::UpstreamHosts& hosts, std::mt19937_64& random);

    ServicePipeline& pipeline_for(const std::string& service);
    void set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> configuration_index);
    // Whether the service's shard keys are divided among its servers.
    bool is_sharded(const std::string& service) const { return sharded_services_.contains(service); }
    // To be called when the endpoint lists of these services have changed.
    void on_servers_changed(const std::set<std::string>& services);
    // Sets the number of gateways that share the retry budget and the servers.
    void set_gateway_count(std::uint32_t count);
    void abandon_all_requests();
    // Responses with status 421 so far, by reason.
    struct MisdirectionCounts {
        std::uint64_t other_instance = 0, key_not_held = 0;
    };
    const std::map<std::string, MisdirectionCounts>& misdirections_by_service() const {
        return misdirections_by_service_;
    }

private:
    void count_misdirection(HostId host, http_mapping::MisdirectionReason reason);
    std::optional<http_mapping::UpstreamCodec::Target> target_of(HostId host) const;
    decision::Settings initial_engine_settings() const;
    void set_classes(ServicePipeline& pipeline) const;
    void configure(ServicePipeline& pipeline);

    PipelineSettings settings_;
    Reactor& reactor_;
    Timers& timers_;
    Counters& counters_;
    http_mapping::UpstreamHosts& hosts_;
    std::mt19937_64& random_;
    http_mapping::UpstreamCodec codec_;
    ConnectionBudget connection_budget_;
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    // Routes by service; owned by configuration_index_.
    std::unordered_map<std::string, std::vector<const configuration::Route*>> routes_by_service_;
    std::unordered_map<std::string, std::string> health_checks_;    // paths by service
    configuration::ServiceNames sharded_services_;
    std::unordered_map<std::string, std::unique_ptr<ServicePipeline>> pipelines_;
    std::map<std::string, MisdirectionCounts> misdirections_by_service_;
    std::uint32_t gateway_count_ = 1;
};

}    // namespace shaletray::gateway
