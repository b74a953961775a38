// One pilot put together: clients, engines, members, quotas and the watch of the lighthouses on one loop.
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

class Pilot {
public:
    // Throws Poco::Exception where an address cannot be used.
    explicit Pilot(runtime::NodeSettings settings);
    ~Pilot();
    // Until stopped. `look` runs once a turn, and at least ten times a second.
    void run(std::function<void()> look);
    // Finishes what was taken, then ends run().
    void stop();
    // Takes over the seeds; all else takes a restart.
    void settings_changed(const runtime::NodeSettings& settings);
    std::string counters_text() const;

private:
    bool ready() const;
    void heard(transport::Letter&& letter);
    void tick();
    void tick_soon();
    void begin_tide();
    void set_quotas();
    void look_after_life();
    void look_after_peers();
    void look_after_stop();
    void carry(const membership::Actions& actions);
    void carry(const quota::Actions& actions);
    void carry(const Lookout::Actions& actions);
    void lighthouses_changed();

    runtime::NodeSettings settings_;
    SystemClock clock_;
    std::string address_;
    std::uint64_t life_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::unique_ptr<membership::Convoy> convoy_;
    std::unique_ptr<quota::Tide> tide_;
    http_mapping::Fleet fleet_;
    QuotaLease lease_;
    http_mapping::Passage passage_;
    std::unique_ptr<Lookout> lookout_;
    std::unique_ptr<transport::Mailer> mailer_;
    std::unique_ptr<Desk> desk_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<CallServer> readiness_;
    Timers::Id tick_timer_ = 0;
    TimePoint next_peers_{}, next_fleet_{};
    TimePoint stopping_since_{};
    bool was_ready_ = false, was_leased_ = false;
};

}    // namespace shaletray::gateway
