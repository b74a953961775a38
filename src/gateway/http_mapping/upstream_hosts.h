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

class Fleet final : public Hosts {
public:
    struct Settings {
        std::vector<std::string> zones;    // a zone's place is its number
        Duration late_start{0};    // after a server drains, how long a connection that was coming up may
                                   // still be used for a first byte
    };
    explicit Fleet(Settings settings) : settings_(std::move(settings)) {}

    // Services whose lists differ since the last call, by the roster as it stands now.
    std::set<std::string> take(const std::map<std::string, registry::Server>& servers, TimePoint now);
    // The whole list of one service.
    decision::HostList list(const std::string& service) const;
    std::size_t in_service(const std::string& service) const;
    // Requests that one of its servers works on at once; 0 where there is none.
    double mean_capacity(const std::string& service) const;

    const Host* find(HostId host) const override;
    bool may_begin(HostId host, TimePoint now) const override;
    const std::string* id_of(HostId host) const;
    const std::string* service_of(HostId host) const;
    int zone_number(const std::string& zone) const;

private:
    struct Known {
        std::string id, service;
        Host host;
        decision::HostEntry entry;
        TimePoint left{};    // since when it is not healthy
    };
    HostId number_for(const std::string& id);

    Settings settings_;
    std::unordered_map<HostId, Known> hosts_;
    std::unordered_map<std::string, HostId> numbers_;
    std::map<std::string, std::set<HostId>> by_service_;
};

}    // namespace shaletray::http_mapping
