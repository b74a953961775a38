// Executes the calls of the control API: heartbeats and deregistrations of servers, and replacing and reading
// the configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/net/api_server.h"
#include "controller/api/command_queue.h"
#include "controller/configuration_loader.h"
#include "controller/consensus_driver.h"
#include "controller/departure_barrier.h"
#include "controller/ownership_coordinator.h"
#include "controller/update_distributor.h"

namespace shaletray::controller {

// For the reactor's thread only. Calls are queued and run in later turns, a limited number in each, so that
// messages from other processes are not delayed. Referenced constructor arguments must outlive it.
class CommandExecutor {
public:
    struct Statistics {
        std::uint64_t heartbeats = 0, deregistrations = 0, replacements = 0, reads = 0;
        std::uint64_t redirected = 0;                // to a controller that may vote
        std::uint64_t rejected = 0;                  // not a valid command, or the queue was full
        std::uint64_t conflicts = 0;                 // replacements whose version has another text
        std::uint64_t indeterminate = 0;             // replacements without a majority's response in time
        std::uint64_t departures_unconfirmed = 0;    // not acknowledged by a majority in time
        std::uint64_t malformed_hold_rows = 0;       // rows of held or released keys in heartbeats
    };
    // Returns the control address of the controller that serves a call of a caller in this zone (empty: not
    // known); none: this one.
    using RedirectTarget = std::function<std::optional<std::string>(std::string_view zone)>;
    // Servers are told to send their heartbeats to `heartbeat_target`, this controller's control address.
    CommandExecutor(Reactor& reactor, ConsensusDriver& consensus, ConfigurationLoader& loader,
                    UpdateDistributor& distributor, OwnershipCoordinator& ownership,
                    std::string heartbeat_target, RedirectTarget redirect_target);
    ~CommandExecutor();
    CommandExecutor(const CommandExecutor&) = delete;
    CommandExecutor& operator=(const CommandExecutor&) = delete;

    void handle_call(const ApiCall& call, std::shared_ptr<ApiCaller> caller);
    // Acknowledges the departures that a majority of the voters has recorded.
    void complete_departures();
    // The ownership table has changed: responses to planned departures may be due.
    void on_ownership_changed() { respond_to_planned_departures(); }
    // Call after the incarnation has risen: the registry's changes are then numbered anew, so that pending
    // departures can no longer be confirmed.
    void fail_pending_departures() { departures_.reset(); }
    // Call when this controller is about to stop: servers are no longer told to send their heartbeats to it.
    void clear_heartbeat_target() { heartbeat_target_.clear(); }
    const Statistics& statistics() const { return statistics_; }

private:
    using Respond = std::function<void(control_api::Response)>;

    void schedule_run();
    void run_commands();
    // A server's call that awaits its response.
    struct ServerCall {
        std::string service, id;
        Respond respond;
    };
    void acknowledge_server_calls();
    void acknowledge_server_call(const ServerCall& call);
    void acknowledge_departure(const ServerCall& call);
    void acknowledge_after_plan(const ServerCall& call);
    void respond_to_planned_departures();
    void expire_departures();
    void schedule_expiry();
    void execute(const control_api::HeartbeatCommand& command, control_api::PendingCommand& pending);
    void execute(const control_api::Deregister& command, control_api::PendingCommand& pending);
    void execute(control_api::ReplaceConfiguration& command, control_api::PendingCommand& pending);
    void execute(const control_api::ReadConfiguration& command, control_api::PendingCommand& pending);
    // A call to replace the configuration, on its way to its response.
    struct Replacement {
        Respond respond;
        Duration receive_time{};    // of the call, from its first bytes to its last
        Duration queue_time{};      // from then until it was executed
        TimePoint executed_at{};
        std::uint64_t version = 0;    // once the text is checked
    };
    void on_text_checked(ConfigurationLoader::CheckResult result, Replacement replacement);
    void propose(ConfigurationLoader::ValidText configuration, Replacement replacement);
    void on_proposal_done(const Replacement& replacement, consensus::Outcome outcome,
                          const consensus::ProposalTrace& trace);
    void on_read_done(consensus::Outcome outcome, const Respond& respond);

    Reactor& reactor_;
    ConsensusDriver& consensus_;
    ConfigurationLoader& loader_;
    UpdateDistributor& distributor_;
    OwnershipCoordinator& ownership_;
    std::string heartbeat_target_;
    RedirectTarget redirect_target_;
    control_api::CommandQueue commands_;
    Timers::Id run_timer_ = 0;
    // Calls of servers that were run in this turn; acknowledged once their changes have been published.
    std::vector<ServerCall> pending_acknowledgements_;
    DepartureBarrier departures_;
    // A departing server whose keys are being reassigned; the response revokes its keys.
    struct PlannedDeparture {
        ServerCall call;
        TimePoint deadline{};
    };
    std::vector<PlannedDeparture> planned_departures_;
    Timers::Id plan_timer_ = 0;
    Timers::Id expiry_timer_ = 0;
    Statistics statistics_;
};

}    // namespace shaletray::controller
