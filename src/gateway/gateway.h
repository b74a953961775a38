// One gateway process: clients, engines, membership, quotas and the subscription to the controllers.
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

// Owns all parts and connects them. Everything runs on the thread that calls run(), on one reactor.
class Gateway {
public:
    // Throws Poco::Exception where an address cannot be used.
    explicit Gateway(runtime::NodeSettings settings);
    ~Gateway();
    // Runs until it is stopped. `on_turn` is called once in each turn of the reactor, at least ten times a
    // second.
    void run(std::function<void()> on_turn);
    // Finishes the requests that were accepted, then ends run().
    void stop();
    // Takes over the seed addresses; all other settings need a restart.
    void apply_settings(const runtime::NodeSettings& settings);
    // All counters as "name=value" pairs, for the log.
    std::string counters_text() const;
    // All metrics, for GET /metrics at the readiness address and at the metrics port.
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
    TimePoint next_tick_at_{};      // of tick_timer_
    TimePoint stopping_since_{};    // zero: not ordered to stop
    bool was_ready_ = false, had_lease_ = false;
    std::size_t known_gateway_count_ = 0;    // at the last update of the peers
};

}    // namespace shaletray::gateway
