// All parts of one gateway, wired together.
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

// Puts what was admitted into the journal, and the units that reservations gave beside it.
class UseLog : public UseKeeper {
public:
    // Throws what the journal throws where it cannot begin.
    UseLog(const settings::UsageSettings& settings, int gateway, TimePoint now);
    void admitted(const Admission& admission) override;
    const usage_log::WriterStats& stats() const { return recorder_.stats(); }

private:
    usage_log::Recorder recorder_;
    LogGate gate_{std::chrono::minutes(1)};
};

class Service : private operations::Operations {
public:
    // Throws BadSettings, or Poco::Exception where an address cannot be used.
    explicit Service(Config config, settings::OperatorSettings settings = {});
    ~Service() override;

    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> look);
    // Finishes what was taken, then ends run().
    void stop();
    // Takes over what may change in service: discovery's address, the classes and the limits of requests.
    // False where nothing differs. Throws BadConfig or BadSettings and changes nothing where the file is not
    // whole.
    bool reload(const Config& changed);
    // Takes over what the operator's file wants of plans, where this gateway keeps the book; everything else
    // in it takes a restart. How many changes were made.
    std::size_t reload(const settings::OperatorSettings& changed);
    void reload_taken() { ++counters_.loads; }
    void reload_failed() { ++counters_.reloads_failed; }

    std::string address() const { return listener_->address(); }
    std::string admin_address() const { return admin_ ? admin_->address() : std::string(); }
    std::string peer_address() const { return peers_->address(); }
    const Counters& counters() const { return counters_; }
    // All counters as they are printed, those of the shared counter too where one is used.
    std::string counters_text() const;
    const shared_counter::Client* shared_counter() const { return shared_counter_.get(); }

private:
    bool listed() const;
    // What operators ask over the second address.
    bool ready() const override;
    std::string figures() const override;
    bool take_out(const std::string& server) override;
    bool bring_back(const std::string& server) override;
    void drain(bool wanted) override;
    void take_over(const std::string& text);
    void release();
    void resume();
    std::string hand_over();
    bool take_terms(const Config& changed);
    bool tell(std::optional<decision::HostList>&& change);
    void begin_stop();
    void look_after_stop();
    void begin_plans(const settings::PlansSettings& settings);
    void make_change(const plans::Change& change);
    std::size_t make_wanted(const settings::PlansSettings& settings);
    void changes_due();

    Config config_;
    SystemClock clock_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    HostDirectory hosts_;
    std::unique_ptr<limits::Ledger> ledger_;
    std::unique_ptr<BookFile> book_file_;
    std::unique_ptr<plans::Desk> desk_;
    std::unique_ptr<plans::Spread> spread_;
    std::unique_ptr<usage_log::Tallies> tallies_;
    std::unique_ptr<UseLog> use_log_;
    Engine engine_;
    EngineIntake intake_{engine_};
    PlatformDoor door_{config_};
    PlatformDialect dialect_;
    std::unique_ptr<ConnectionBudget> budget_;
    std::unique_ptr<ServerPool> pool_;
    std::unique_ptr<PeerSocket> peers_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<DiscoveryWatch> watch_;
    std::unique_ptr<shared_counter::Client> shared_counter_;
    std::unique_ptr<control_socket::Server> control_;
    std::unique_ptr<TalkServer> admin_;
    std::unique_ptr<handover::Heir> heir_;
    bool keeper_ = false;
    Timers::Id changes_timer_ = 0;
    LogGate gate_{std::chrono::minutes(1)};
    bool listed_ = false;
    TimePoint started_ = clock_.now();
    TimePoint stopping_since_{};
    bool told_to_stop_ = false;    // and not only asked by a successor
};

}    // namespace shaletray
