// One lighthouse put together: the agreed register, the muster of servers, members, the calls of servers and
// the operator, and what pilots are told, on one loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "convoy/convoy.h"
#include "helm/command.h"
#include "lamp/lamp.h"
#include "lamp/store.h"
#include "lighthouse/gallery.h"
#include "lighthouse/steward.h"
#include "muster/muster.h"
#include "net/call_server.h"
#include "net/waker.h"
#include "signal/mailer.h"
#include "station/settings_file.h"

namespace shaletray::lighthouse {

class Lighthouse {
public:
    // Throws Poco::Exception where an address cannot be used.
    Lighthouse(station::NodeSettings settings, std::unique_ptr<lamp::Store> store);
    ~Lighthouse();
    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> look);
    void stop();
    // Takes over the seeds; all else takes a restart.
    void settings_changed(const station::NodeSettings& settings);
    std::string counters_text() const;

private:
    void heard(signal::Letter&& letter);
    void take(const Call& call, std::shared_ptr<Caller> caller);
    void run_commands();
    void run(helm::Beat& beat, const helm::Queue::Order& order);
    void run(helm::Deregister& end, const helm::Queue::Order& order);
    void run(helm::Replace& replace, const helm::Queue::Order& order);
    void run(helm::Read& read, const helm::Queue::Order& order);
    void carry(const convoy::Actions& actions);
    void carry(lamp::Actions&& actions);
    void decree_changed();
    void muster_changed();
    void tell_pilots();
    void members_changed();
    bool confirmed() const;
    void look_after_life();
    void look_after_crew();
    void tick();
    void tick_at(TimePoint when);
    void look_after_stop();

    station::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t life_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<lamp::Store> store_;
    std::unique_ptr<lamp::Lamp> lamp_;
    std::unique_ptr<convoy::Convoy> convoy_;
    muster::Muster muster_;
    Gallery gallery_;
    Steward steward_;
    std::unique_ptr<signal::Mailer> mailer_;
    std::unique_ptr<Waker> stored_;
    helm::Queue commands_;
    std::unique_ptr<CallServer> calls_, readiness_;
    std::map<lamp::Ticket, std::function<void(lamp::Answer)>> tickets_;
    lamp::Ticket last_ticket_ = 0;
    std::map<std::string, std::uint64_t> told_;    // other lighthouses: up to which change of our muster
    std::uint64_t told_pilots_ = 0;                // likewise, the pilots
    Timers::Id tick_timer_ = 0, commands_timer_ = 0;
    TimePoint next_confirm_{}, next_muster_{}, next_whole_{}, next_crew_{};
    TimePoint stopping_since_{}, ticks_at_ = TimePoint::max();
    struct Counts {
        std::uint64_t beats = 0, ends = 0, replaces = 0, reads = 0, refused = 0, unsettled = 0;
    } counts_;
};

}    // namespace shaletray::lighthouse
