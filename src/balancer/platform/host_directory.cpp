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

int place_of(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    // A name the settings do not hold is like no place of ours.
    return it == names.end() ? static_cast<int>(names.size()) : static_cast<int>(it - names.begin());
}

bool parse_member(const Json& json, const PlaceNames& places, Member& member) {
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
    if (text("locality", zone)) member.entry.zone = place_of(places.zones, zone);
    if (text("flavor", kind)) member.entry.kind = place_of(places.kinds, kind);
    const auto number = [&](const char* name, double fallback) {
        const auto it = json.find(name);
        return it != json.end() && it->is_number() ? it->get<double>() : fallback;
    };
    member.entry.cell = static_cast<int>(std::clamp(number("cell", 0), 0.0, 1e9));
    member.entry.rating = number("size", 1.0);
    // 0 means long ago, and stays 0.
    const double since = std::clamp(number("up_since_ms", 0), 0.0, 9e12);
    member.entry.born = TimePoint(Duration(static_cast<std::int64_t>(since) * 1000));
    return true;
}

// FNV-1a: the same number at every gateway and after every start.
std::uint32_t hashed(std::string_view text) {
    std::uint32_t hash = 2166136261U;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    return hash;
}

}    // namespace

// A name would have to be looked up, and the whole gateway would wait for that.
bool is_numeric_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return false;
    std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
    unsigned number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc{} || end != port.data() + port.size() || number < 1 || number > 65535)
        return false;
    const bool six = host.starts_with('[') && host.ends_with(']');
    if (six) host = host.substr(1, host.size() - 2);
    in6_addr parsed{};
    return inet_pton(six ? AF_INET6 : AF_INET, std::string(host).c_str(), &parsed) == 1;
}

bool parse_member_list(std::string_view text, const PlaceNames& places, MemberList& list,
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
        Member member;
        if (parse_member(item, places, member)) list.members.push_back(std::move(member));
        else ++list.skipped;
    }
    // Numbers are given in this order, so that gateways agree however their lists are sorted.
    std::sort(list.members.begin(), list.members.end(),
              [](const Member& a, const Member& b) { return a.id < b.id; });
    return true;
}

// Two ids with the same hash must not become one server: the later one's is hashed again until it is free.
HostId HostDirectory::number_for(const std::string& id) {
    if (const auto it = numbers_.find(id); it != numbers_.end()) return it->second;
    HostId number{hashed(id)};
    for (int salt = 1; hosts_.contains(number); ++salt)
        number = HostId{hashed(id + "#" + std::to_string(salt))};
    numbers_.emplace(id, number);
    return number;
}

decision::HostList HostDirectory::apply(const MemberList& list, ListKind kind, TimePoint now) {
    decision::HostList result;
    result.kind = kind;
    if (kind != ListKind::Delta) {
        for (auto& [number, host] : hosts_) {
            host.listed.state = HostState::Gone;
            settle(host, now);
        }
    }
    for (const Member& member : list.members) {
        const HostId number = number_for(member.id);
        Host& host = hosts_[number];
        host.id = member.id;
        if (!member.address.empty()) host.address = member.address;
        host.listed = member.entry;
        host.listed.host = number;
        host.born = member.entry.born;
        result.hosts.push_back(settle(host, now));
    }
    std::erase_if(hosts_, [&](const auto& item) {
        if (item.second.state != HostState::Gone) return false;
        numbers_.erase(item.second.id);
        return true;
    });
    return result;
}

decision::HostEntry HostDirectory::settle(Host& host, TimePoint now) const {
    decision::HostEntry entry = host.listed;
    if (entry.state == HostState::Healthy && out_.contains(host.id)) entry.state = HostState::Draining;
    // A list repeats that a server drains: its grace runs from when that was told first.
    if (entry.state == HostState::Healthy) host.left = TimePoint{};
    else if (host.left == TimePoint{}) host.left = now;
    host.state = entry.state;
    return entry;
}

std::optional<decision::HostList> HostDirectory::take_out(const std::string& id, TimePoint now) {
    const auto number = numbers_.find(id);
    if (number == numbers_.end() && !out_.contains(id)) return std::nullopt;
    out_.emplace(id, now);
    decision::HostList told{ListKind::Delta, {}};
    if (number != numbers_.end()) told.hosts.push_back(settle(hosts_.at(number->second), now));
    return told;
}

std::optional<decision::HostList> HostDirectory::bring_back(const std::string& id, TimePoint now) {
    const auto number = numbers_.find(id);
    const auto out = out_.find(id);
    if (number == numbers_.end() && out == out_.end()) return std::nullopt;
    decision::HostList told{ListKind::Delta, {}};
    if (out == out_.end()) return told;
    const TimePoint since = out->second;
    out_.erase(out);
    if (number == numbers_.end()) return told;
    told.hosts.push_back(settle(hosts_.at(number->second), now));
    if (told.hosts.back().born < since) told.hosts.back().born = now;
    return told;
}

std::vector<TakenOut> HostDirectory::out() const {
    std::vector<TakenOut> all;
    for (const auto& [id, since] : out_) all.push_back({id, since});
    return all;
}

void HostDirectory::restore(const std::vector<TakenOut>& out) {
    for (const TakenOut& o : out) out_.emplace(o.id, o.since);
}

std::size_t HostDirectory::listed() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto& item) {
        return item.second.listed.state != HostState::Gone;
    }));
}

std::size_t HostDirectory::taken_out() const {
    return static_cast<std::size_t>(std::count_if(
        out_.begin(), out_.end(), [this](const auto& item) { return numbers_.contains(item.first); }));
}

const HostDirectory::Host* HostDirectory::find(HostId host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second;
}

bool HostDirectory::may_begin(HostId host, TimePoint now) const {
    const Host* const known = find(host);
    if (known == nullptr) return false;
    // Half of the grace, so that a byte that leaves late is still in time.
    return known->state == HostState::Healthy || now - known->left < drain_grace_ / 2;
}

}    // namespace shaletray
