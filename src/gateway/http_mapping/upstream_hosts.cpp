#include "gateway/http_mapping/upstream_hosts.h"

#include <xxhash.h>

#include <algorithm>

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr double kSlowStartFactor = 0.5;    // of the capacity of a server that has just started
// Of a service's servers. Where heartbeats of more than these stop, it is their way that broke, not the
// servers.
constexpr double kMaxExpiredFraction = 0.5;
constexpr Duration kRemovedHostRetention = 60s;    // answers may still come from a removed server

// Servers of one service.
struct StateCount {
    std::size_t serving = 0;
    std::size_t expired = 0;
};

std::map<std::string, StateCount> count_states(const std::map<std::string, registry::Server>& servers) {
    std::map<std::string, StateCount> counts_by_service;
    for (const auto& [id, server] : servers) {
        StateCount& count = counts_by_service[server.service];
        if (server.state == registry::State::InService) ++count.serving;
        if (server.state == registry::State::Expired) ++count.expired;
    }
    return counts_by_service;
}

bool is_loss_plausible(const StateCount& count) {
    const auto known = static_cast<double>(count.expired + count.serving);
    return static_cast<double>(count.expired) <= kMaxExpiredFraction * known;
}

}    // namespace

// The same number at all gateways and in all incarnations, unless two ids have the same hash here.
HostId UpstreamHosts::number_for(const std::string& id) {
    if (const auto it = numbers_.find(id); it != numbers_.end()) return it->second;
    std::uint64_t hash = XXH64(id.data(), id.size(), 0);
    HostId number{static_cast<std::uint32_t>(hash)};
    while (hosts_.contains(number) || number == HostId{}) {
        hash = XXH64(&hash, sizeof hash, 1);
        number = HostId{static_cast<std::uint32_t>(hash)};
    }
    numbers_[id] = number;
    return number;
}

int UpstreamHosts::zone_number(const std::string& zone) const {
    const auto it = std::find(settings_.zones.begin(), settings_.zones.end(), zone);
    return static_cast<int>(it - settings_.zones.begin());
}

std::set<std::string> UpstreamHosts::update(const std::map<std::string, registry::Server>& servers,
                                            TimePoint now) {
    std::set<std::string> changed;
    const std::map<std::string, StateCount> counts_by_service = count_states(servers);
    for (const auto& [id, server] : servers) {
        const bool loss_plausible = is_loss_plausible(counts_by_service.at(server.service));
        if (update_host(id, server, loss_plausible, now)) changed.insert(server.service);
    }
    remove_unregistered(servers, now, changed);
    return changed;
}

decision::HostEntry UpstreamHosts::entry_of(HostId number, const registry::Server& server,
                                            bool loss_plausible, TimePoint now) const {
    decision::HostEntry entry;
    entry.host = number;
    entry.zone = zone_number(server.zone);
    const bool slow_starting =
        server.slow_start_left > Duration(0) && server.last_called_at + server.slow_start_left > now;
    entry.rating = std::max(1, server.capacity) * (slow_starting ? kSlowStartFactor : 1.0);
    switch (server.state) {
        case registry::State::InService: entry.state = decision::HostState::Healthy; break;
        case registry::State::Draining: entry.state = decision::HostState::Draining; break;
        case registry::State::Departed: entry.state = decision::HostState::Gone; break;
        case registry::State::Expired:
            entry.state = loss_plausible ? decision::HostState::Gone : decision::HostState::Healthy;
            break;
    }
    return entry;
}

// True where the decision module has to be told.
bool UpstreamHosts::update_host(const std::string& id, const registry::Server& server, bool loss_plausible,
                                TimePoint now) {
    const HostId number = number_for(id);
    const auto [it, is_new] = hosts_.try_emplace(number);
    HostRecord& record = it->second;
    const decision::HostEntry entry = entry_of(number, server, loss_plausible, now);
    const bool unchanged = !is_new && record.entry.state == entry.state &&
                           record.entry.rating == entry.rating && record.host.address == server.address &&
                           record.entry.zone == entry.zone;
    if (unchanged) return false;
    if (entry.state == decision::HostState::Healthy) record.unhealthy_since = TimePoint{};
    else if (record.unhealthy_since == TimePoint{}) record.unhealthy_since = now;
    record.id = id;
    record.service = server.service;
    record.host.address = server.address;
    record.entry = entry;
    by_service_[server.service].insert(number);
    return true;
}

void UpstreamHosts::remove_unregistered(const std::map<std::string, registry::Server>& servers, TimePoint now,
                                        std::set<std::string>& changed) {
    for (auto it = hosts_.begin(); it != hosts_.end();) {
        HostRecord& record = it->second;
        const bool registered = servers.contains(record.id);
        if (!registered && record.entry.state != decision::HostState::Gone) {
            record.entry.state = decision::HostState::Gone;
            record.unhealthy_since = now;
            changed.insert(record.service);
        }
        if (!registered && now - record.unhealthy_since > kRemovedHostRetention) {
            by_service_[record.service].erase(it->first);
            numbers_.erase(record.id);
            it = hosts_.erase(it);
        } else {
            ++it;
        }
    }
}

decision::HostList UpstreamHosts::host_list(const std::string& service) const {
    decision::HostList result;
    if (const auto it = by_service_.find(service); it != by_service_.end()) {
        for (const HostId host : it->second) {
            const decision::HostEntry& entry = hosts_.at(host).entry;
            if (entry.state != decision::HostState::Gone) result.hosts.push_back(entry);
        }
    }
    return result;
}

std::size_t UpstreamHosts::healthy_count(const std::string& service) const {
    const decision::HostList all = host_list(service);
    return static_cast<std::size_t>(std::count_if(all.hosts.begin(), all.hosts.end(), [](const auto& entry) {
        return entry.state == decision::HostState::Healthy;
    }));
}

double UpstreamHosts::mean_capacity(const std::string& service) const {
    const decision::HostList all = host_list(service);
    double sum = 0.0;
    for (const decision::HostEntry& host : all.hosts) sum += host.rating;
    return all.hosts.empty() ? 0.0 : sum / static_cast<double>(all.hosts.size());
}

const HostTable::Host* UpstreamHosts::find_host(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() || it->second.entry.state == decision::HostState::Gone ? nullptr
                                                                                     : &it->second.host;
}

bool UpstreamHosts::may_send_to(HostId host, TimePoint now) const {
    const auto it = hosts_.find(host);
    if (it == hosts_.end() || it->second.entry.state == decision::HostState::Gone) return false;
    const HostRecord& record = it->second;
    return record.entry.state == decision::HostState::Healthy ||
           now - record.unhealthy_since <= settings_.drain_start_grace;
}

const std::string* UpstreamHosts::id_of(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second.id;
}

const std::string* UpstreamHosts::service_of(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second.service;
}

}    // namespace shaletray::http_mapping
