// A controller: the process that keeps the configuration and the registry of servers. Puts its parts together
// on one event loop and drives them: messages, time, start and shutdown.
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
#include "controller/command_executor.h"
#include "controller/configuration_loader.h"
#include "controller/consensus_driver.h"
#include "controller/ownership_coordinator.h"
#include "controller/update_distributor.h"
#include "controller/voter_manager.h"

namespace shaletray::controller {

// All of it runs on the thread that calls run().
class Controller {
public:
    // Throws Poco::Exception where an address cannot be used.
    Controller(const runtime::NodeSettings& settings, std::unique_ptr<consensus::StateStore> store);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Until shutdown is complete. `on_turn` runs once in each turn of the event loop, at least ten times a
    // second; it may call the methods below.
    void run(std::function<void()> on_turn);
    // Starts the shutdown, which ends run() a little later.
    void stop();
    // Takes over the seeds; all other settings need a restart.
    void reload_settings(const runtime::NodeSettings& settings);
    // "name=value" pairs, for the log.
    std::string counters_text() const;
    // The same in the Prometheus text format, for GET /metrics at the metrics port.
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
    std::string address_;    // the internal one
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
    CommandExecutor commands_;
    std::unique_ptr<ApiServer> call_server_, readiness_server_, metrics_server_;
    Timers::Id tick_timer_ = 0;
    TimePoint next_tick_at_ = TimePoint::max();    // of tick_timer_
    TimePoint next_voter_check_{};
    TimePoint stopping_since_{};    // zero: not stopping
};

}    // namespace shaletray::controller
