// Where requests go from the clients' connections: to the quota of their tenant, then to the engine of the
// service that the chart sends them to. One engine a service, each with the decision module of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "cluster/quota/quota_balancer.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/server_pool.h"
#include "gateway/http_mapping/request_mapper.h"
#include "gateway/http_mapping/upstream_hosts.h"

namespace shaletray::gateway {

struct DeskSettings {
    std::uint64_t seed = 0;
    std::size_t server_sockets = 512;    // connections to all servers together
    int zone = 0;
    double retry_ratio = 0.2, retry_slack = 0.0;    // over all pilots together,
    Duration retry_window = std::chrono::seconds(10);
    std::size_t most_waiting = 2000;    // requests that wait for units
};

class Desk final : public Intake {
public:
    // `tide_due`: the tide has something to say before its next tick.
    Desk(DeskSettings settings, Reactor& reactor, Timers& timers, Counters& counters,
         http_mapping::Fleet& fleet, quota::Tide& tide, std::function<void()> tide_due);
    ~Desk() override;

    std::uint64_t take(Front& front, Arrival&& arrival) override;
    void withdraw(std::uint64_t ticket) override;

    // What is to be done from now on; requests under way go on by the chart that they came under.
    void chart(std::shared_ptr<const configuration::Table> table);
    // These services' lists of servers differ.
    void servers_changed(const std::set<std::string>& services);
    // Pilots that share the repeat budget and the servers.
    void pilots(std::uint32_t count);
    // In the place of the one before, with nothing in it.
    void quotas_from(quota::Tide& tide);
    // Units came in for these tenants.
    void units_came(const std::vector<std::string>& tenants);
    // Every request that is still owed an answer gets one.
    void give_up_all();

    std::size_t open() const { return open_.size(); }
    struct Counts {
        std::uint64_t granted = 0, waited = 0, refused_quota = 0, refused_room = 0, served = 0, failed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    class Open;
    struct Line;    // one service
    void send_on(Open& open);
    void end_wait(Open& open);
    bool ask_again(Open& open);
    void refuse_quota(Open& open, Duration retry_after);
    void forget(Open& open);
    Line& line(const std::string& service);
    void set_up(Line& line);
    const http_mapping::Errand& errand_of(const Open& open) const;
    Duration come_back();

    DeskSettings settings_;
    Reactor& reactor_;
    Timers& timers_;
    Counters& counters_;
    http_mapping::Fleet& fleet_;
    quota::Tide* tide_;
    std::function<void()> tide_due_;
    http_mapping::Tongue tongue_;
    ConnectionBudget sockets_;
    std::shared_ptr<const configuration::Table> table_;
    std::unordered_map<std::string, std::vector<const configuration::Route*>>
        routes_to_;                                                 // of table_, by service
    std::unordered_map<std::string, std::string> health_checks_;    // by service
    std::unordered_map<std::string, std::unique_ptr<Line>> lines_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Open>> open_;
    std::unordered_map<std::string, std::deque<std::uint64_t>> waiting_;    // for units, by tenant
    std::size_t waiting_count_ = 0;
    std::uint64_t last_ = 0;
    std::uint32_t pilots_ = 1;
    std::mt19937_64 random_;
    Counts counts_;
};

}    // namespace shaletray::gateway
