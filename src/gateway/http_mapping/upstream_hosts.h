// The servers of all services as the decision module sees them: numbers, states and capacities, from the
// endpoints that the controllers announce. Pure.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/registry/service_registry.h"
#include "data_plane/proxy/host_table.h"

namespace shaletray::http_mapping {

using decision::HostId;

// Not thread-safe. Pointers returned are valid until the next update().
class UpstreamHosts final : public HostTable {
public:
    struct Settings {
        std::vector<std::string> zones;    // a zone's number is its index here
        // How long a connection that was being opened may still be used after its server began to drain.
        Duration drain_start_grace{0};
    };
    explicit UpstreamHosts(Settings settings) : settings_(std::move(settings)) {}

    // Takes over the current endpoints. Returns the services whose lists have changed since the last call.
    std::set<std::string> update(const std::map<std::string, registry::Server>& servers, TimePoint now);
    // All servers of a service that may be used, or are draining.
    decision::HostList host_list(const std::string& service) const;
    // Servers of a service to which new requests go.
    std::size_t healthy_count(const std::string& service) const;
    // Requests that one of its servers processes at once, on average; 0 where it has no servers.
    double mean_capacity(const std::string& service) const;

    const Host* find_host(HostId host) const override;
    bool may_send_to(HostId host, TimePoint now) const override;
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
        TimePoint unhealthy_since{};    // since when it is not healthy
    };
    HostId number_for(const std::string& id);
    decision::HostEntry entry_of(HostId number, const registry::Server& server, bool loss_plausible,
                                 TimePoint now) const;
    bool update_host(const std::string& id, const registry::Server& server, bool loss_plausible,
                     TimePoint now);
    void remove_unregistered(const std::map<std::string, registry::Server>& servers, TimePoint now,
                             std::set<std::string>& changed);

    Settings settings_;
    std::unordered_map<HostId, HostRecord> hosts_;
    std::unordered_map<std::string, HostId> numbers_;
    std::map<std::string, std::set<HostId>> by_service_;
};

}    // namespace shaletray::http_mapping
