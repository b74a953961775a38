// The stand-alone gateway: owns and connects all its parts, and runs the reactor. Everything happens on the
// thread that calls run(), apart from the threads that sync files.
#pragma once

#include <memory>
#include <string>

#include "balancer/control_socket/control_server.h"
#include "balancer/handover/handover_server.h"
#include "balancer/handover/handover_state.h"
#include "balancer/operations/router.h"
#include "balancer/platform/discovery_watch.h"
#include "balancer/platform/messages.h"
#include "balancer/platform/peer_socket.h"
#include "balancer/service/plan_table_file.h"
#include "balancer/settings/operator_settings.h"
#include "balancer/shared_counter/shared_counter_client.h"
#include "balancer/usage_log/persistent_counters.h"
#include "balancer/usage_log/segment.h"
#include "base/net/line_protocol_server.h"
#include "base/net/reactor.h"
#include "data_plane/engine/engine.h"
#include "data_plane/plans/change_replicator.h"
#include "data_plane/proxy/client_listener.h"
#include "data_plane/proxy/server_pool.h"

namespace shaletray {

// Writes admitted requests to the usage log.
class UsageLogRecorder : public UsageRecorder {
public:
    // Throws like usage_log::UsageRecorder.
    UsageLogRecorder(const settings::UsageSettings& settings, int gateway_index, TimePoint now);
    void record_admission(const AdmittedRequest& admission) override;
    const usage_log::WriterStatistics& statistics() const { return recorder_.statistics(); }

private:
    usage_log::UsageRecorder recorder_;
    LogRateLimiter log_limiter_{std::chrono::minutes(1)};
};

// One gateway from construction, which opens its sockets and takes over a predecessor's state, to the end of
// run().
class GatewayService : private operations::AdminOperations {
public:
    // Throws decision::BadSettings, or Poco::Exception if an address cannot be used.
    explicit GatewayService(GatewayConfig config, settings::OperatorSettings settings = {});
    ~GatewayService() override;

    // Serves until stopped. `on_iteration` runs once per event loop iteration, and at least ten times a
    // second.
    void run(std::function<void()> on_iteration);
    // Graceful shutdown: accepted requests are answered, then run() returns.
    void request_stop();
    // Applies what may change at runtime: discovery's address, the classes and the limits of requests. False
    // if nothing differs. Throws ConfigError or decision::BadSettings, and changes nothing, if the file is
    // incomplete or invalid.
    bool apply_reload(const GatewayConfig& changed);
    // Applies the plans of the operator's file if this gateway owns the plan table; its other settings need a
    // restart. Returns the number of changes.
    std::size_t apply_reload(const settings::OperatorSettings& changed);
    void record_reload_accepted() { ++counters_.configurations_loaded; }
    void record_reload_failed() { ++counters_.reloads_failed; }

    std::string client_address() const { return client_listener_->address(); }
    std::string admin_address() const { return admin_server_ ? admin_server_->address() : std::string(); }
    std::string peer_address() const { return peer_socket_->address(); }
    const Counters& counters() const { return counters_; }
    // All counters as text, including those of the shared counter if there is one.
    std::string counters_text() const;
    const shared_counter::SharedCounterClient* shared_counter_client() const { return shared_counter_.get(); }

private:
    bool is_list_received() const;
    // The admin API.
    bool is_ready() const override;
    std::string metrics_text() const override;
    bool eject_server(const std::string& server) override;
    bool reinstate_server(const std::string& server) override;
    void set_draining(bool is_draining) override;
    void import_state(const std::string& text);
    void release_listeners();
    void resume_service();
    std::string export_state();
    bool apply_plan_terms(const GatewayConfig& changed);
    // Passes a change of the server list to the engine. False if there is none.
    bool forward_host_list(std::optional<decision::HostList>&& change);
    void start_shutdown();
    void check_shutdown();
    void start_plans(const settings::PlansSettings& settings);
    void commit_change(const plans::PlanChange& change);
    std::size_t commit_configured_plans(const settings::PlansSettings& settings);
    void apply_due_changes();

    GatewayConfig config_;
    SystemClock clock_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    HostDirectory hosts_;
    std::unique_ptr<limits::QuotaStateTable> quota_state_table_;
    std::unique_ptr<PlanTableFile> plan_table_file_;
    std::unique_ptr<plans::PlanService> plan_service_;
    std::unique_ptr<plans::ChangeReplicator> change_replicator_;
    std::unique_ptr<usage_log::PersistentCounters> persistent_counters_;
    std::unique_ptr<UsageLogRecorder> usage_log_recorder_;
    Engine engine_;
    EngineRequestHandler request_handler_{engine_};
    PlatformRequestMapping request_mapping_{config_};
    PlatformUpstreamProtocol upstream_protocol_;
    std::unique_ptr<ConnectionBudget> connection_budget_;
    std::unique_ptr<ServerPool> server_pool_;
    std::unique_ptr<PeerSocket> peer_socket_;
    std::unique_ptr<ClientListener> client_listener_;
    std::unique_ptr<DiscoveryWatch> discovery_watch_;
    std::unique_ptr<shared_counter::SharedCounterClient> shared_counter_;
    std::unique_ptr<control_socket::ControlServer> control_server_;
    std::unique_ptr<LineProtocolServer> admin_server_;
    std::unique_ptr<handover::HandoverServer> handover_server_;
    bool is_owner_ = false;
    Timers::Id changes_timer_ = 0;
    LogRateLimiter log_limiter_{std::chrono::minutes(1)};
    bool list_received_ = false;
    TimePoint started_at_ = clock_.now();
    TimePoint stopping_since_{};
    bool stop_logged_ = false;    // by request_stop, not only by a handover
};

}    // namespace shaletray
