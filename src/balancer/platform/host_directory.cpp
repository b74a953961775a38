#include "balancer/platform/host_directory.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray {
namespace {

using Json = nlohmann::json;
using decision::HostId;
using decision::HostState;
using decision::ListKind;

int index_of(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    // A name that the settings lack gets an index that matches none of them.
    return it == names.end() ? static_cast<int>(names.size()) : static_cast<int>(it - names.begin());
}

bool parse_member(const Json& json, const LocationNames& locations, HostMember& member) {
    if (!json.is_object()) return false;
    const auto text = [&](const char* name, std::string& value) {
        const auto it = json.find(name);
        if (it == json.end() || !it->is_string()) return false;
        value = it->get<std::string>();
        return !value.empty();
    };
    std::string phase, zone, kind;
    if (!text("id", member.id) || !text("phase", phase)) return false;
    if (phase == "in_service") member.entry.state = HostState::Healthy;
    else if (phase == "terminating") member.entry.state = HostState::Draining;
    else if (phase == "terminated") member.entry.state = HostState::Gone;
    else return false;
    if (!text("host_port", member.address) && member.entry.state != HostState::Gone) return false;
    if (!member.address.empty() && !is_numeric_address(member.address)) return false;
    if (text("locality", zone)) member.entry.zone = index_of(locations.zones, zone);
    if (text("flavor", kind)) member.entry.kind = index_of(locations.kinds, kind);
    const auto number = [&](const char* name, double fallback) {
        const auto it = json.find(name);
        return it != json.end() && it->is_number() ? it->get<double>() : fallback;
    };
    member.entry.cell = static_cast<int>(std::clamp(number("cell", 0), 0.0, 1e9));
    member.entry.rating = number("size", 1.0);
    // 0 means an unknown start long ago, and stays 0.
    const double since = std::clamp(number("up_since_ms", 0), 0.0, 9e12);
    member.entry.born = TimePoint(Duration(static_cast<std::int64_t>(since) * 1000));
    return true;
}

// FNV-1a: the result is the same on all gateways and after each restart.
std::uint32_t hash_text(std::string_view text) {
    std::uint32_t hash = 2166136261U;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    return hash;
}

}    // namespace

// Host names are rejected: resolving them would block the whole gateway.
bool is_numeric_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return false;
    std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
    unsigned number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc{} || end != port.data() + port.size() || number < 1 || number > 65535)
        return false;
    const bool is_ipv6 = host.starts_with('[') && host.ends_with(']');
    if (is_ipv6) host = host.substr(1, host.size() - 2);
    in6_addr parsed{};
    return inet_pton(is_ipv6 ? AF_INET6 : AF_INET, std::string(host).c_str(), &parsed) == 1;
}

bool parse_member_list(std::string_view text, const LocationNames& locations, HostMemberList& list,
                       std::string& error) {
    const Json json = Json::parse(text, nullptr, false);
    const auto members = json.is_object() ? json.find("members") : json.end();
    const auto revision = json.is_object() ? json.find("revision") : json.end();
    const auto complete = json.is_object() ? json.find("complete") : json.end();
    if (json.is_discarded() || !json.is_object()) error = "not a JSON object";
    else if (members == json.end() || !members->is_array()) error = "members: missing or not a list";
    else if (revision == json.end() || !revision->is_number_integer())
        error = "revision: missing or not a number";
    else if (complete == json.end() || !complete->is_boolean())
        error = "complete: missing or not true or false";
    else error.clear();
    if (!error.empty()) return false;
    list = {};
    list.revision = revision->get<std::int64_t>();
    list.complete = complete->get<bool>();
    for (const Json& item : *members) {
        HostMember member;
        if (parse_member(item, locations, member)) list.members.push_back(std::move(member));
        else ++list.skipped;
    }
    // Host ids are assigned in this order, so that gateways agree however their lists are sorted.
    std::sort(list.members.begin(), list.members.end(),
              [](const HostMember& a, const HostMember& b) { return a.id < b.id; });
    return true;
}

// Two discovery ids with the same hash must not share a host id: the later one is rehashed until an id is
// free.
HostId HostDirectory::host_id_for(const std::string& id) {
    if (const auto it = host_ids_.find(id); it != host_ids_.end()) return it->second;
    HostId number{hash_text(id)};
    for (int salt = 1; hosts_.contains(number); ++salt)
        number = HostId{hash_text(id + "#" + std::to_string(salt))};
    host_ids_.emplace(id, number);
    return number;
}

decision::HostList HostDirectory::apply_list(const HostMemberList& list, ListKind kind, TimePoint now) {
    decision::HostList result;
    result.kind = kind;
    if (kind != ListKind::Delta) {
        for (auto& [number, host] : hosts_) {
            host.listed_entry.state = HostState::Gone;
            resolve_state(host, now);
        }
    }
    for (const HostMember& member : list.members) {
        const HostId number = host_id_for(member.id);
        Host& host = hosts_[number];
        host.id = member.id;
        if (!member.address.empty()) host.address = member.address;
        host.listed_entry = member.entry;
        host.listed_entry.host = number;
        host.process_started_at = member.entry.born;
        result.hosts.push_back(resolve_state(host, now));
    }
    std::erase_if(hosts_, [&](const auto& item) {
        if (item.second.state != HostState::Gone) return false;
        host_ids_.erase(item.second.id);
        return true;
    });
    return result;
}

decision::HostEntry HostDirectory::resolve_state(Host& host, TimePoint now) const {
    decision::HostEntry entry = host.listed_entry;
    if (entry.state == HostState::Healthy && ejected_since_.contains(host.id))
        entry.state = HostState::Draining;
    // Lists repeat that a server drains: its grace period starts with the first such list.
    if (entry.state == HostState::Healthy) host.unavailable_since = TimePoint{};
    else if (host.unavailable_since == TimePoint{}) host.unavailable_since = now;
    host.state = entry.state;
    return entry;
}

std::optional<decision::HostList> HostDirectory::eject_host(const std::string& id, TimePoint now) {
    const auto number = host_ids_.find(id);
    if (number == host_ids_.end() && !ejected_since_.contains(id)) return std::nullopt;
    ejected_since_.emplace(id, now);
    decision::HostList change{ListKind::Delta, {}};
    if (number != host_ids_.end()) change.hosts.push_back(resolve_state(hosts_.at(number->second), now));
    return change;
}

std::optional<decision::HostList> HostDirectory::reinstate_host(const std::string& id, TimePoint now) {
    const auto number = host_ids_.find(id);
    const auto ejection = ejected_since_.find(id);
    if (number == host_ids_.end() && ejection == ejected_since_.end()) return std::nullopt;
    decision::HostList change{ListKind::Delta, {}};
    if (ejection == ejected_since_.end()) return change;
    const TimePoint since = ejection->second;
    ejected_since_.erase(ejection);
    if (number == host_ids_.end()) return change;
    change.hosts.push_back(resolve_state(hosts_.at(number->second), now));
    if (change.hosts.back().born < since) change.hosts.back().born = now;
    return change;
}

std::vector<EjectedHost> HostDirectory::ejected_hosts() const {
    std::vector<EjectedHost> all;
    for (const auto& [id, since] : ejected_since_) all.push_back({id, since});
    return all;
}

void HostDirectory::restore_ejected(const std::vector<EjectedHost>& ejected) {
    for (const EjectedHost& host : ejected) ejected_since_.emplace(host.id, host.ejected_at);
}

std::size_t HostDirectory::listed_count() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto& item) {
        return item.second.listed_entry.state != HostState::Gone;
    }));
}

std::size_t HostDirectory::ejected_count() const {
    return static_cast<std::size_t>(
        std::count_if(ejected_since_.begin(), ejected_since_.end(),
                      [this](const auto& item) { return host_ids_.contains(item.first); }));
}

const HostDirectory::Host* HostDirectory::find_host(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second;
}

bool HostDirectory::may_send_to(HostId host, TimePoint now) const {
    const Host* const known = find_host(host);
    if (known == nullptr) return false;
    // Only half of the grace period, so that a delayed byte still arrives within it.
    return known->state == HostState::Healthy || now - known->unavailable_since < drain_grace_ / 2;
}

}    // namespace shaletray
