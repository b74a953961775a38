// The controller process, which stores the configuration and the registry of servers. Connects its components
// on one event loop and drives them: messages, timers, startup and shutdown.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/net/api_server.h"
#include "base/net/reactor.h"
#include "base/runtime/settings_file.h"
#include "cluster/consensus/state_store.h"
#include "cluster/membership/membership.h"
#include "cluster/transport/connection_manager.h"
#include "controller/call_redirection.h"
#include "controller/command_executor.h"
#include "controller/configuration_loader.h"
#include "controller/consensus_driver.h"
#include "controller/ownership_coordinator.h"
#include "controller/update_distributor.h"
#include "controller/voter_manager.h"

namespace shaletray::controller {

// Everything runs on the thread that calls run().
class Controller {
public:
    // Throws Poco::Exception if it cannot listen on an address.
    Controller(const runtime::NodeSettings& settings, std::unique_ptr<consensus::StateStore> store);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Runs the event loop until shutdown is complete. `on_turn` runs once in each turn of the loop, at least
    // ten times a second, and may call the methods below.
    void run(std::function<void()> on_turn);
    // Starts the shutdown; run() returns when it is complete.
    void stop();
    // Applies the seed addresses; all other settings need a restart.
    void reload_settings(const runtime::NodeSettings& settings);
    // Counters as "name=value" pairs, for the log.
    std::string counters_text() const;
    // Metrics in the Prometheus text format, for GET /metrics at the metrics port.
    std::string metrics_text() const;

private:
    membership::Settings membership_settings() const;
    consensus::Settings register_settings() const;
    void start_servers();
    void on_message(const transport::Message& message);
    void apply_actions(const membership::Actions& actions);
    void on_entry_committed();
    void on_configuration(configuration::Configuration parsed);
    OwnershipCoordinator::Settings ownership_settings() const;
    void update_peers();
    void tick();
    void tick_membership(TimePoint now);
    void schedule_tick(TimePoint deadline);
    bool is_stopping() const { return stopping_since_ != TimePoint{}; }
    void check_shutdown();

    runtime::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;    // internal address
    std::uint64_t incarnation_;
    std::uint64_t random_seed_;
    std::uint64_t disk_id_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};
    transport::ConnectionManager connections_;
    membership::Membership membership_;
    ConsensusDriver consensus_;
    UpdateDistributor distributor_;
    OwnershipCoordinator ownership_;
    ConfigurationLoader loader_;
    VoterManager voter_manager_;
    CallRedirection call_redirection_;
    CommandExecutor commands_;
    std::unique_ptr<ApiServer> control_server_, readiness_server_, metrics_server_;
    Timers::Id tick_timer_ = 0;
    TimePoint next_tick_at_ = TimePoint::max();    // when tick_timer_ fires
    Duration longest_tick_delay_{};                // by which a tick came late, since the start
    TimePoint next_voter_check_{};
    TimePoint stopping_since_{};    // zero: not stopping
};

}    // namespace shaletray::controller
