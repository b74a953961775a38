#include "gateway/http_mapping/upstream_hosts.h"

#include <xxhash.h>

#include <algorithm>

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr double kSlowStartFactor = 0.5;    // applied to the capacity of a server in slow start
// Fraction of a service's servers. If the heartbeats of more servers stop, a network fault is more likely
// than a failure of the servers.
constexpr double kMaxExpiredFraction = 0.5;
constexpr Duration kRemovedHostRetention = 60s;    // responses from a removed server may still arrive

}    // namespace

// Returns the host number of an instance id. All gateways and incarnations use the same number, except where
// the hashes of two ids collide.
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

std::set<std::string> UpstreamHosts::update(const Servers& servers, TimePoint now) {
    std::vector<std::string> ids;
    for (const auto& [id, server] : servers) ids.push_back(id);
    for (const auto& [number, record] : hosts_)
        if (!servers.contains(record.id)) ids.push_back(record.id);
    std::set<std::string> changed = update_changed(servers, ids, now);
    changed.merge(advance(now));
    return changed;
}

std::set<std::string> UpstreamHosts::update_changed(const Servers& servers,
                                                    const std::vector<std::string>& ids, TimePoint now) {
    std::set<std::string> changed;
    std::set<std::string> affected;    // services whose counts by state may have changed
    for (const std::string& id : ids) {
        if (const std::string* const former = service_of_id(id)) affected.insert(*former);
        const auto server = servers.find(id);
        if (server == servers.end()) {
            remove_server(id, now, changed);
            continue;
        }
        affected.insert(server->second.service);
        apply_server(id, server->second, now, changed);
    }
    update_loss_plausibility(affected, now, changed);
    return changed;
}

// Null where the server is unknown.
const std::string* UpstreamHosts::service_of_id(const std::string& id) const {
    const auto number = numbers_.find(id);
    return number == numbers_.end() ? nullptr : service_of(number->second);
}

void UpstreamHosts::apply_server(const std::string& id, const registry::Server& server, TimePoint now,
                                 std::set<std::string>& changed) {
    const HostId number = number_for(id);
    const auto [it, is_new] = hosts_.try_emplace(number);
    HostRecord& record = it->second;
    const int zone = zone_number(server.zone);
    const bool moved = !is_new && (record.service != server.service ||
                                   record.host.address != server.address || record.entry.zone != zone);
    remove_from_service(number, record);
    if (!is_new && record.service != server.service) changed.insert(record.service);
    record.id = id;
    record.service = server.service;
    record.host.address = server.address;
    record.entry.zone = zone;
    record.state = server.state;
    record.registered = true;
    record.capacity = server.capacity;
    record.slow_start_until = server.last_called_at + server.slow_start_left;
    add_to_service(number, record);
    if (record.slow_start_until > now) slow_start_ends_.emplace(record.slow_start_until, number);
    if (refresh_entry(number, record, now) || is_new || moved) changed.insert(record.service);
}

void UpstreamHosts::remove_server(const std::string& id, TimePoint now, std::set<std::string>& changed) {
    const auto number = numbers_.find(id);
    if (number == numbers_.end()) return;
    HostRecord& record = hosts_.at(number->second);
    if (!record.registered) return;
    remove_from_service(number->second, record);
    record.registered = false;
    add_to_service(number->second, record);
    if (refresh_entry(number->second, record, now)) changed.insert(record.service);
    removals_.emplace(std::max(now, record.unhealthy_since) + kRemovedHostRetention, number->second);
}

void UpstreamHosts::remove_from_service(HostId number, const HostRecord& record) {
    const auto it = services_.find(record.service);
    if (it == services_.end() || it->second.all.erase(number) == 0) return;
    it->second.expired.erase(number);
    if (record.registered && record.state == registry::State::InService) --it->second.serving;
}

void UpstreamHosts::add_to_service(HostId number, const HostRecord& record) {
    ServiceHosts& service = services_[record.service];
    service.all.insert(number);
    if (!record.registered) return;
    if (record.state == registry::State::InService) ++service.serving;
    if (record.state == registry::State::Expired) service.expired.insert(number);
}

// Recomputes whether the expired servers of these services are treated as failed. Where that changes,
// refreshes all expired servers of the service.
void UpstreamHosts::update_loss_plausibility(const std::set<std::string>& services, TimePoint now,
                                             std::set<std::string>& changed) {
    for (const std::string& name : services) {
        ServiceHosts& service = services_[name];
        const auto expired = static_cast<double>(service.expired.size());
        const double total = expired + static_cast<double>(service.serving);
        const bool loss_plausible = expired <= kMaxExpiredFraction * total;
        if (loss_plausible == service.loss_plausible) continue;
        service.loss_plausible = loss_plausible;
        for (const HostId number : service.expired)
            if (refresh_entry(number, hosts_.at(number), now)) changed.insert(name);
    }
}

decision::HostEntry UpstreamHosts::entry_of(HostId number, const HostRecord& record, TimePoint now) const {
    decision::HostEntry entry;
    entry.host = number;
    entry.zone = record.entry.zone;
    const bool slow_starting = record.slow_start_until > now;
    entry.rating = std::max(1, record.capacity) * (slow_starting ? kSlowStartFactor : 1.0);
    entry.state = decision::HostState::Gone;
    if (!record.registered) return entry;
    switch (record.state) {
        case registry::State::InService: entry.state = decision::HostState::Healthy; break;
        case registry::State::Draining: entry.state = decision::HostState::Draining; break;
        case registry::State::Departed: break;
        case registry::State::Expired:
            if (!services_.at(record.service).loss_plausible) entry.state = decision::HostState::Healthy;
            break;
    }
    return entry;
}

// Returns true where the entry for the decision module changed.
bool UpstreamHosts::refresh_entry(HostId number, HostRecord& record, TimePoint now) {
    const decision::HostEntry entry = entry_of(number, record, now);
    const bool unchanged = record.entry.host == entry.host && record.entry.state == entry.state &&
                           record.entry.rating == entry.rating;
    record.entry = entry;
    if (entry.state == decision::HostState::Healthy) record.unhealthy_since = TimePoint{};
    else if (record.unhealthy_since == TimePoint{}) record.unhealthy_since = now;
    return !unchanged;
}

TimePoint UpstreamHosts::next_deadline() const {
    TimePoint deadline = TimePoint::max();
    if (!slow_start_ends_.empty()) deadline = slow_start_ends_.begin()->first;
    if (!removals_.empty()) deadline = std::min(deadline, removals_.begin()->first);
    return deadline;
}

std::set<std::string> UpstreamHosts::advance(TimePoint now) {
    std::set<std::string> changed;
    while (!slow_start_ends_.empty() && slow_start_ends_.begin()->first <= now) {
        const auto it = hosts_.find(slow_start_ends_.extract(slow_start_ends_.begin()).mapped());
        if (it != hosts_.end() && refresh_entry(it->first, it->second, now))
            changed.insert(it->second.service);
    }
    while (!removals_.empty() && removals_.begin()->first <= now)
        forget_host(removals_.extract(removals_.begin()).mapped());
    return changed;
}

// Forgets a removed server, unless it has been registered again since.
void UpstreamHosts::forget_host(HostId number) {
    const auto it = hosts_.find(number);
    if (it == hosts_.end() || it->second.registered) return;
    remove_from_service(number, it->second);
    numbers_.erase(it->second.id);
    hosts_.erase(it);
}

decision::HostList UpstreamHosts::host_list(const std::string& service) const {
    decision::HostList result;
    if (const auto it = services_.find(service); it != services_.end()) {
        for (const HostId host : it->second.all) {
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

std::optional<HostId> UpstreamHosts::serving_host(const std::string& id) const {
    const auto number = numbers_.find(id);
    if (number == numbers_.end()) return std::nullopt;
    const bool is_healthy = hosts_.at(number->second).entry.state == decision::HostState::Healthy;
    return is_healthy ? std::optional(number->second) : std::nullopt;
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
