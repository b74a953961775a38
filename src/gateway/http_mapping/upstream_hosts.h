// The servers of all services in the form that the decision module uses: numbers, states and capacities, from
// the endpoints that the controllers announce. Only changed servers are processed, never all of them. Does no
// I/O.
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

// Not thread-safe. Returned pointers are valid until the next call of update(), update_changed() or
// advance().
class UpstreamHosts final : public HostTable {
public:
    struct Settings {
        std::vector<std::string> zones;    // a zone's number is its index here
        // Time for which a connection that was being opened may still be used after its server began to
        // drain.
        Duration drain_start_grace{0};
    };
    explicit UpstreamHosts(Settings settings) : settings_(std::move(settings)) {}

    using Servers = std::map<std::string, registry::Server>;    // by instance id

    // Applies all endpoints, and changes that depend only on the time. Returns the services whose lists have
    // changed.
    std::set<std::string> update(const Servers& servers, TimePoint now);
    // Applies the endpoints with these ids; those missing in `servers` are erased.
    std::set<std::string> update_changed(const Servers& servers, const std::vector<std::string>& ids,
                                         TimePoint now);
    // Applies changes that depend only on the time: the end of slow starts, and the removal of retained
    // hosts. Must be called at next_deadline() or later.
    std::set<std::string> advance(TimePoint now);
    // Time at which advance() is due; TimePoint::max() if never.
    TimePoint next_deadline() const;
    // All servers of a service that are healthy or draining.
    decision::HostList host_list(const std::string& service) const;
    // Number of servers of a service that receive new requests.
    std::size_t healthy_count(const std::string& service) const;
    // Mean number of requests that a server of the service processes concurrently; 0 without servers.
    double mean_capacity(const std::string& service) const;

    const Host* find_host(HostId host) const override;
    bool may_send_to(HostId host, TimePoint now) const override;
    // The server with this id, if it may receive new requests.
    std::optional<HostId> serving_host(const std::string& id) const;
    // Null where the host is unknown.
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
        TimePoint unhealthy_since{};    // since when it is not healthy; zero: it is healthy
    };
    // The servers of a service by their announced states.
    struct ServiceHosts {
        std::set<HostId> all;
        std::set<HostId> expired;
        std::size_t serving = 0;
        // Whether the expired servers are treated as failed.
        bool loss_plausible = true;
    };
    HostId number_for(const std::string& id);
    const std::string* service_of_id(const std::string& id) const;
    void apply_server(const std::string& id, const registry::Server& server, TimePoint now,
                      std::set<std::string>& changed);
    void remove_server(const std::string& id, TimePoint now, std::set<std::string>& changed);
    void remove_from_service(HostId number, const HostRecord& record);
    void add_to_service(HostId number, const HostRecord& record);
    void update_loss_plausibility(const std::set<std::string>& services, TimePoint now,
                                  std::set<std::string>& changed);
    decision::HostEntry entry_of(HostId number, const HostRecord& record, TimePoint now) const;
    bool refresh_entry(HostId number, HostRecord& record, TimePoint now);
    void forget_host(HostId number);

    // Hosts by the time at which an action is due for them.
    using Schedule = std::multimap<TimePoint, HostId>;

    Settings settings_;
    std::unordered_map<HostId, HostRecord> hosts_;
    std::unordered_map<std::string, HostId> numbers_;
    std::map<std::string, ServiceHosts> services_;
    Schedule slow_start_ends_, removals_;
};

}    // namespace shaletray::http_mapping
