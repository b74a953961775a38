// One lighthouse put together: the agreed register, the muster of servers, members, the calls of servers and
// the operator, and what pilots are told, on one loop.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/net/api_server.h"
#include "base/net/waker.h"
#include "base/runtime/settings_file.h"
#include "cluster/consensus/replicated_register.h"
#include "cluster/consensus/state_store.h"
#include "cluster/membership/membership.h"
#include "cluster/registry/service_registry.h"
#include "cluster/transport/connection_manager.h"
#include "controller/api/control_command.h"
#include "controller/configuration_publisher.h"
#include "controller/configuration_validator.h"
#include "controller/quorum_tracker.h"
#include "controller/registry_forwarder.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller {

class Controller {
public:
    // Throws Poco::Exception where an address cannot be used.
    Controller(runtime::NodeSettings settings, std::unique_ptr<consensus::StateStore> store);
    ~Controller();
    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> on_turn);
    void stop();
    // Takes over the seeds; all else takes a restart.
    void reload_settings(const runtime::NodeSettings& settings);
    std::string counters_text() const;

private:
    void on_message(transport::Message&& message);
    void handle_call(const ApiCall& call, std::shared_ptr<ApiCaller> caller);
    void run_commands();
    void run(control_api::HeartbeatCommand& heartbeat,
             control_api::CommandQueue::PendingCommand& pending_command);
    void run(control_api::Deregister& deregistration,
             control_api::CommandQueue::PendingCommand& pending_command);
    void run(control_api::ReplaceConfiguration& replace,
             control_api::CommandQueue::PendingCommand& pending_command);
    void run(control_api::ReadConfiguration& read,
             control_api::CommandQueue::PendingCommand& pending_command);
    void propose(std::string text, std::uint64_t version,
                 std::function<void(control_api::CommandQueue::Response)> answer);
    void apply_actions(const membership::Actions& actions);
    void apply_actions(consensus::Actions&& actions);
    void on_entry_committed();
    void parse_committed_entry();
    void install_configuration(configuration::Configuration new_configuration);
    void publish_registry_changes();
    void notify_gateways();
    void send(const std::vector<ConfigurationPublisher::OutgoingMessage>& messages);
    void send(const std::vector<RegistryForwarder::OutgoingMessage>& messages);
    void members_changed();
    void check_quorum();
    void reconcile_voters();
    void tick();
    void schedule_tick(TimePoint deadline);
    void check_shutdown();

    runtime::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t incarnation_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<consensus::StateStore> store_;
    std::unique_ptr<consensus::ReplicatedRegister> register_;
    std::unique_ptr<membership::Membership> membership_;
    registry::ServiceRegistry registry_;
    RegistryForwarder forwarder_;
    ConfigurationPublisher publisher_;
    VoterReconciler voter_reconciler_;
    QuorumTracker quorum_;
    ConfigurationValidator validator_;
    std::unique_ptr<transport::ConnectionManager> connections_;
    std::unique_ptr<Waker> stored_waker_;
    control_api::CommandQueue commands_;
    std::unique_ptr<ApiServer> call_server_, readiness_server_;
    std::map<consensus::RequestId, std::function<void(consensus::Outcome)>> pending_requests_;
    consensus::RequestId last_request_id_ = 0;
    std::uint64_t notified_sequence_ = 0;    // up to which change of our muster
    // Calls of servers that were run in this turn: acknowledged once all are told.
    std::vector<std::function<void(control_api::CommandQueue::Response)>> pending_acknowledgements_;
    // What was read here and not decided yet: a decree that follows need not be read again.
    struct ValidatedConfiguration {
        std::size_t length = 0, hash = 0;
        configuration::Configuration parsed;
    };
    std::deque<ValidatedConfiguration> validated_;
    std::uint64_t parsed_version_ = 0;    // the version that was read last, or is being read
    LogRateLimiter voters_gate_;          // it is proposed again while it does not settle
    Timers::Id tick_timer_ = 0, commands_timer_ = 0;
    TimePoint next_quorum_read_{}, next_registry_tick_{}, next_voter_check_{};
    bool has_vote_handover_ = false;    // its vote, before it ends
    TimePoint stopping_since_{}, next_tick_at_ = TimePoint::max();
    struct Statistics {
        std::uint64_t heartbeats = 0, deregistrations = 0, replacements = 0, reads = 0, rejected = 0,
                      conflicts = 0, indeterminate = 0;
    } statistics_;
};

}    // namespace shaletray::controller
