// The servers of all services as the decision module sees them: numbers, states and sizes, from the roster
// that the lighthouses tell. Pure.
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

class UpstreamHosts final : public HostTable {
public:
    struct Settings {
        std::vector<std::string> zones;    // a zone's place is its number
        Duration drain_start_grace{0};     // after a server drains, how long a connection that was coming up
                                           // may still be used for a first byte
    };
    explicit UpstreamHosts(Settings settings) : settings_(std::move(settings)) {}

    // Services whose lists differ since the last call, by the roster as it stands now.
    std::set<std::string> update(const std::map<std::string, registry::Server>& servers, TimePoint now);
    // The whole list of one service.
    decision::HostList host_list(const std::string& service) const;
    std::size_t healthy_count(const std::string& service) const;
    // Requests that one of its servers works on at once; 0 where there is none.
    double mean_capacity(const std::string& service) const;

    const Host* find_host(HostId host) const override;
    bool may_send_to(HostId host, TimePoint now) const override;
    const std::string* id_of(HostId host) const;
    const std::string* service_of(HostId host) const;
    int zone_number(const std::string& zone) const;

private:
    struct HostRecord {
        std::string id, service;
        Host host;
        decision::HostEntry entry;
        TimePoint unhealthy_since{};    // since when it is not healthy
    };
    HostId number_for(const std::string& id);

    Settings settings_;
    std::unordered_map<HostId, HostRecord> hosts_;
    std::unordered_map<std::string, HostId> numbers_;
    std::map<std::string, std::set<HostId>> by_service_;
};

}    // namespace shaletray::http_mapping
