// The servers of all services as the decision module sees them: numbers, states and capacities, from the
// endpoints that the controllers announce. Work is done for what changed, never for all servers. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/registry/service_registry.h"
#include "data_plane/proxy/host_table.h"

namespace shaletray::http_mapping {

using decision::HostId;

// Not thread-safe. Pointers returned are valid until the next call that takes endpoints or the time.
class UpstreamHosts final : public HostTable {
public:
    struct Settings {
        std::vector<std::string> zones;    // a zone's number is its index here
        // How long a connection that was being opened may still be used after its server began to drain.
        Duration drain_start_grace{0};
    };
    explicit UpstreamHosts(Settings settings) : settings_(std::move(settings)) {}

    using Servers = std::map<std::string, registry::Server>;    // by instance id

    // Takes over all endpoints, also what depends on the time alone. Returns the services whose lists have
    // changed.
    std::set<std::string> update(const Servers& servers, TimePoint now);
    // Takes over the endpoints with these ids, which are erased where `servers` does not have them.
    std::set<std::string> update_changed(const Servers& servers, const std::vector<std::string>& ids,
                                         TimePoint now);
    // Takes over what depends on the time alone: the end of slow starts, and hosts that can be forgotten. To
    // be called at next_deadline() or later.
    std::set<std::string> advance(TimePoint now);
    // TimePoint::max(): nothing to do.
    TimePoint next_deadline() const;
    // All servers of a service that may be used, or are draining.
    decision::HostList host_list(const std::string& service) const;
    // Servers of a service to which new requests go.
    std::size_t healthy_count(const std::string& service) const;
    // Requests that one of its servers processes at once, on average; 0 where it has no servers.
    double mean_capacity(const std::string& service) const;

    const Host* find_host(HostId host) const override;
    bool may_send_to(HostId host, TimePoint now) const override;
    // The server with this id, if new requests may go to it.
    std::optional<HostId> serving_host(const std::string& id) const;
    // Null where the host is not known any more.
    const std::string* id_of(HostId host) const;
    const std::string* service_of(HostId host) const;
    // Unknown zones share the number after the last one.
    int zone_number(const std::string& zone) const;

private:
    struct HostRecord {
        std::string id, service;
        Host host;
        decision::HostEntry entry;
        registry::State state = registry::State::InService;    // as announced
        bool registered = false;
        int capacity = 1;
        TimePoint slow_start_until{};
        TimePoint unhealthy_since{};    // since when it is not healthy
    };
    // The servers of a service by the states that are announced.
    struct ServiceHosts {
        std::set<HostId> all;
        std::set<HostId> expired;
        std::size_t serving = 0;
        // Whether the expired ones are believed to have ended.
        bool loss_plausible = true;
    };
    HostId number_for(const std::string& id);
    const std::string* service_of_id(const std::string& id) const;
    void take_server(const std::string& id, const registry::Server& server, TimePoint now,
                     std::set<std::string>& changed);
    void remove_server(const std::string& id, TimePoint now, std::set<std::string>& changed);
    void leave_service(HostId number, const HostRecord& record);
    void join_service(HostId number, const HostRecord& record);
    void judge_losses(const std::set<std::string>& services, TimePoint now, std::set<std::string>& changed);
    decision::HostEntry entry_of(HostId number, const HostRecord& record, TimePoint now) const;
    bool refresh_entry(HostId number, HostRecord& record, TimePoint now);
    void forget_host(HostId number);

    // Hosts by the time at which something is due for them.
    using Schedule = std::multimap<TimePoint, HostId>;

    Settings settings_;
    std::unordered_map<HostId, HostRecord> hosts_;
    std::unordered_map<std::string, HostId> numbers_;
    std::map<std::string, ServiceHosts> services_;
    Schedule slow_start_ends_, removals_;
};

}    // namespace shaletray::http_mapping
