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

class Lighthouse {
public:
    // Throws Poco::Exception where an address cannot be used.
    Lighthouse(runtime::NodeSettings settings, std::unique_ptr<consensus::Store> store);
    ~Lighthouse();
    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> look);
    void stop();
    // Takes over the seeds; all else takes a restart.
    void settings_changed(const runtime::NodeSettings& settings);
    std::string counters_text() const;

private:
    void heard(transport::Letter&& letter);
    void take(const Call& call, std::shared_ptr<Caller> caller);
    void run_commands();
    void run(control_api::Beat& beat, control_api::Queue::Order& order);
    void run(control_api::Deregister& end, control_api::Queue::Order& order);
    void run(control_api::Replace& replace, control_api::Queue::Order& order);
    void run(control_api::Read& read, control_api::Queue::Order& order);
    void propose(std::string text, std::uint64_t version,
                 std::function<void(control_api::Queue::Answer)> answer);
    void carry(const membership::Actions& actions);
    void carry(consensus::Actions&& actions);
    void decree_changed();
    void read_decree();
    void take_chart(configuration::Chart chart);
    void muster_changed();
    void tell_pilots();
    void send(const std::vector<Gallery::Send>& sends);
    void send(const std::vector<Relay::Send>& sends);
    void members_changed();
    void look_after_quorum();
    void look_after_voters();
    void tick();
    void tick_at(TimePoint when);
    void look_after_stop();

    runtime::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t life_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<consensus::Store> store_;
    std::unique_ptr<consensus::Lamp> lamp_;
    std::unique_ptr<membership::Convoy> convoy_;
    registry::Muster muster_;
    Relay relay_;
    Gallery gallery_;
    Steward steward_;
    Quorum quorum_;
    Checker checker_;
    std::unique_ptr<transport::Mailer> mailer_;
    std::unique_ptr<Waker> stored_;
    control_api::Queue commands_;
    std::unique_ptr<CallServer> calls_, readiness_;
    std::map<consensus::Ticket, std::function<void(consensus::Answer)>> tickets_;
    consensus::Ticket last_ticket_ = 0;
    std::uint64_t told_pilots_ = 0;    // up to which change of our muster
    // Calls of servers that were run in this turn: acknowledged once all are told.
    std::vector<std::function<void(control_api::Queue::Answer)>> acknowledged_;
    // What was read here and not decided yet: a decree that follows need not be read again.
    struct Checked {
        std::size_t length = 0, hash = 0;
        configuration::Chart chart;
    };
    std::deque<Checked> checked_;
    std::uint64_t decree_read_ = 0;    // the version that was read last, or is being read
    LogGate voters_gate_;              // it is proposed again while it does not settle
    Timers::Id tick_timer_ = 0, commands_timer_ = 0;
    TimePoint next_confirm_{}, next_muster_{}, next_voters_{};
    bool hands_on_ = false;    // its vote, before it ends
    TimePoint stopping_since_{}, ticks_at_ = TimePoint::max();
    struct Counts {
        std::uint64_t beats = 0, ends = 0, replaces = 0, reads = 0, refused = 0, conflicts = 0, unsettled = 0;
    } counts_;
};

}    // namespace shaletray::controller
