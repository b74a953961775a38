#include "gateway/http_mapping/upstream_hosts.h"

#include <xxhash.h>

#include <algorithm>

namespace shaletray::http_mapping {
namespace {

using namespace std::chrono_literals;

constexpr double kRampSize = 0.5;      // of a server that has just started
constexpr double kMostLost = 0.5;      // of a service's servers: beyond it, silence is not the servers' fault
constexpr Duration kKeepGone = 60s;    // what is still under way there may come back

}    // namespace

// The same number at all pilots and in all lives, unless two ids hash alike here.
HostId Fleet::number_for(const std::string& id) {
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

int Fleet::zone_number(const std::string& zone) const {
    const auto it = std::find(settings_.zones.begin(), settings_.zones.end(), zone);
    return static_cast<int>(it - settings_.zones.begin());    // unknown ones share the number behind the last
}

std::set<std::string> Fleet::take(const std::map<std::string, registry::Server>& servers, TimePoint now) {
    std::set<std::string> changed;
    struct Tally {
        std::size_t serving = 0, lost = 0;
    };
    std::map<std::string, Tally> tallies;
    for (const auto& [id, s] : servers) {
        if (s.state == registry::State::InService) ++tallies[s.service].serving;
        if (s.state == registry::State::Lost) ++tallies[s.service].lost;
    }
    for (const auto& [id, s] : servers) {
        const HostId number = number_for(id);
        const auto [it, is_new] = hosts_.try_emplace(number);
        Known& known = it->second;
        decision::HostEntry entry;
        entry.host = number;
        entry.zone = zone_number(s.zone);
        const bool ramps = s.ramp_left > Duration(0) && s.at + s.ramp_left > now;
        entry.rating = std::max(1, s.capacity) * (ramps ? kRampSize : 1.0);
        const Tally& tally = tallies[s.service];
        const bool believed =
            static_cast<double>(tally.lost) <= kMostLost * static_cast<double>(tally.lost + tally.serving);
        switch (s.state) {
            case registry::State::InService: entry.state = decision::HostState::Healthy; break;
            case registry::State::Draining: entry.state = decision::HostState::Draining; break;
            case registry::State::Gone: entry.state = decision::HostState::Gone; break;
            case registry::State::Lost:
                entry.state = believed ? decision::HostState::Gone : decision::HostState::Healthy;
                break;
        }
        const bool same = !is_new && known.entry.state == entry.state && known.entry.rating == entry.rating &&
                          known.host.address == s.address && known.entry.zone == entry.zone;
        if (same) continue;
        if (entry.state == decision::HostState::Healthy) known.left = TimePoint{};
        else if (known.left == TimePoint{}) known.left = now;
        known.id = id;
        known.service = s.service;
        known.host.address = s.address;
        known.entry = entry;
        by_service_[s.service].insert(number);
        changed.insert(s.service);
    }
    for (auto it = hosts_.begin(); it != hosts_.end();) {
        Known& known = it->second;
        const bool listed = servers.contains(known.id);
        if (!listed && known.entry.state != decision::HostState::Gone) {
            known.entry.state = decision::HostState::Gone;
            known.left = now;
            changed.insert(known.service);
        }
        if (!listed && now - known.left > kKeepGone) {
            by_service_[known.service].erase(it->first);
            numbers_.erase(known.id);
            it = hosts_.erase(it);
        } else {
            ++it;
        }
    }
    return changed;
}

decision::HostList Fleet::list(const std::string& service) const {
    decision::HostList list;
    if (const auto it = by_service_.find(service); it != by_service_.end()) {
        for (const HostId host : it->second) {
            const decision::HostEntry& entry = hosts_.at(host).entry;
            if (entry.state != decision::HostState::Gone) list.hosts.push_back(entry);
        }
    }
    return list;
}

std::size_t Fleet::in_service(const std::string& service) const {
    const decision::HostList all = list(service);
    return static_cast<std::size_t>(std::count_if(all.hosts.begin(), all.hosts.end(), [](const auto& h) {
        return h.state == decision::HostState::Healthy;
    }));
}

double Fleet::mean_capacity(const std::string& service) const {
    const decision::HostList all = list(service);
    double sum = 0.0;
    for (const decision::HostEntry& host : all.hosts) sum += host.rating;
    return all.hosts.empty() ? 0.0 : sum / static_cast<double>(all.hosts.size());
}

const Hosts::Host* Fleet::find(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() || it->second.entry.state == decision::HostState::Gone ? nullptr
                                                                                     : &it->second.host;
}

bool Fleet::may_begin(HostId host, TimePoint now) const {
    const auto it = hosts_.find(host);
    if (it == hosts_.end() || it->second.entry.state == decision::HostState::Gone) return false;
    const Known& known = it->second;
    return known.entry.state == decision::HostState::Healthy || now - known.left <= settings_.late_start;
}

const std::string* Fleet::id_of(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second.id;
}

const std::string* Fleet::service_of(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second.service;
}

}    // namespace shaletray::http_mapping
