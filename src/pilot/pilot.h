// One pilot put together: clients, engines, members, quotas and the watch of the lighthouses on one loop.
#pragma once

#include <functional>
#include <memory>

#include "channel/fleet.h"
#include "channel/passage.h"
#include "convoy/convoy.h"
#include "net/call_server.h"
#include "net/listener.h"
#include "pilot/desk.h"
#include "pilot/lookout.h"
#include "pilot/quota_lease.h"
#include "signal/mailer.h"
#include "station/settings_file.h"
#include "tide/tide.h"

namespace shaletray::pilot {

class Pilot {
public:
    // Throws Poco::Exception where an address cannot be used.
    explicit Pilot(station::NodeSettings settings);
    ~Pilot();
    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> look);
    // Finishes what was taken, then ends run().
    void stop();
    // Takes over the seeds; all else takes a restart.
    void settings_changed(const station::NodeSettings& settings);
    std::string counters_text() const;

private:
    bool ready() const;
    void heard(signal::Letter&& letter);
    void tick();
    void tick_soon();
    void begin_tide();
    void set_quotas();
    void look_after_life();
    void look_after_peers();
    void look_after_stop();
    void carry(const convoy::Actions& actions);
    void carry(const tide::Actions& actions);
    void carry(const Lookout::Actions& actions);
    void lighthouses_changed();

    station::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t life_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<convoy::Convoy> convoy_;
    std::unique_ptr<tide::Tide> tide_;
    channel::Fleet fleet_;
    QuotaLease lease_;
    channel::Passage passage_;
    std::unique_ptr<Lookout> lookout_;
    std::unique_ptr<signal::Mailer> mailer_;
    std::unique_ptr<Desk> desk_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<CallServer> readiness_;
    Timers::Id tick_timer_ = 0;
    TimePoint next_peers_{}, next_fleet_{};
    TimePoint stopping_since_{};
    bool was_ready_ = false, was_leased_ = false;
};

}    // namespace shaletray::pilot
