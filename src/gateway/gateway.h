// A gateway process: client listener, engines, membership, quotas and the subscription to the controllers.
#pragma once

#include <functional>
#include <memory>

#include "base/net/api_server.h"
#include "base/runtime/settings_file.h"
#include "cluster/membership/membership.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/transport/connection_manager.h"
#include "data_plane/proxy/client_listener.h"
#include "gateway/control_plane_client.h"
#include "gateway/http_mapping/request_mapper.h"
#include "gateway/http_mapping/upstream_hosts.h"
#include "gateway/quota_lease.h"
#include "gateway/request_dispatcher.h"

namespace shaletray::gateway {

// Owns and connects all components, which run on one reactor in the thread that calls run().
class Gateway {
public:
    // Throws Poco::Exception where an address cannot be used.
    explicit Gateway(runtime::NodeSettings settings);
    ~Gateway();
    // Runs until stop() has finished. `on_turn` is called in each iteration of the reactor, at least ten
    // times a second.
    void run(std::function<void()> on_turn);
    // Starts a graceful shutdown: finishes the accepted requests, then ends run(). Returns immediately.
    void stop();
    // Applies new seed addresses; all other settings need a restart.
    void apply_settings(const runtime::NodeSettings& settings);
    // All counters as "name=value" pairs, for the log.
    std::string counters_text() const;
    // All metrics in the Prometheus text format, served at the readiness and the metrics address.
    std::string metrics_text() const;

private:
    bool ready() const;
    void on_message(transport::Message&& message);
    void tick();
    void schedule_tick();
    void start_quota_balancer();
    void set_quotas();
    void check_incarnation();
    void update_quota_peers();
    void check_shutdown();
    void apply_actions(const membership::Actions& actions);
    void apply_actions(const quota::Actions& actions);
    void apply_actions(const ControlPlaneClient::Actions& actions);
    void apply_configuration();
    void update_hosts(const std::vector<std::string>& changed_servers);
    void update_controllers();

    runtime::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t incarnation_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<membership::Membership> membership_;
    std::unique_ptr<quota::QuotaBalancer> quota_balancer_;
    http_mapping::UpstreamHosts hosts_;
    QuotaLease quota_lease_;
    http_mapping::RequestMapper request_mapper_;
    std::unique_ptr<ControlPlaneClient> control_plane_client_;
    std::unique_ptr<transport::ConnectionManager> connections_;
    std::unique_ptr<RequestDispatcher> dispatcher_;
    std::unique_ptr<ClientListener> listener_;
    std::unique_ptr<ApiServer> readiness_server_, metrics_server_;
    Timers::Id tick_timer_ = 0;
    TimePoint next_peer_update_{};
    TimePoint next_tick_at_{};      // when tick_timer_ expires
    TimePoint stopping_since_{};    // zero: not stopping
    bool was_ready_ = false, had_lease_ = false;
    std::size_t known_gateway_count_ = 0;    // at the last update of the quota peers
};

}    // namespace shaletray::gateway
