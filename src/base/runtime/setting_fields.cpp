#include "base/runtime/setting_fields.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/runtime/setting_values.h"

namespace shaletray::runtime {

namespace leaf = boost::leaf;

namespace {

// Far beyond any sensible value, so that sums and products of settings stay finite.
constexpr double kMaxNumber = 1e12;
constexpr std::size_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr int kMaxTolerated = 1'000'000;

constexpr std::string_view kZonePrefix = "zones.";

// Sets one field from its text. Errors: SettingsError.
using Setter = std::function<leaf::result<void>(NodeSettings& settings, const std::string& field,
                                                const std::string& text)>;

// ---- types of fields ----

leaf::result<void> set_duration(Duration& target, const std::string& field, const std::string& text) {
    const auto value = parse_duration(text);
    if (!value) return leaf::new_error(field_error(field, "not a time like 1500ms or 2.5s: " + text));
    target = *value;
    return {};
}

Setter text(std::string NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string&, const std::string& value) {
        settings.*member = value;
        return leaf::result<void>();
    };
}

// An address to listen on; empty where it is not served.
Setter address(std::string NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        (settings.*member).clear();
        if (value.empty()) return {};
        BOOST_LEAF_ASSIGN(settings.*member, parse_address(field, value));
        return {};
    };
}

Setter flag(bool NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.*member, parse_bool(field, value));
        return {};
    };
}

Setter duration(Duration NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field, const std::string& value) {
        return set_duration(settings.*member, field, value);
    };
}

template <class T>
Setter number(T NodeSettings::*member, T min_value, T max_value) {
    return [member, min_value, max_value](NodeSettings& settings, const std::string& field,
                                          const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.*member, parse_number<T>(field, value, min_value, max_value));
        return {};
    };
}

Setter bound(Duration Bounds::*member) {
    return [member](NodeSettings& settings, const std::string& field, const std::string& value) {
        return set_duration(settings.bounds.*member, field, value);
    };
}

Setter bound(double Bounds::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.bounds.*member, parse_number<double>(field, value, 0.0, kMaxNumber));
        return {};
    };
}

Setter bound(bool Bounds::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.bounds.*member, parse_bool(field, value));
        return {};
    };
}

leaf::result<void> set_ip(NodeSettings& settings, const std::string& field, const std::string& value) {
    BOOST_LEAF_ASSIGN(settings.ip, parse_ip(field, value));
    return {};
}

leaf::result<void> set_port_range(NodeSettings& settings, const std::string& field,
                                  const std::string& value) {
    const auto ports = split_list(value);
    if (ports.size() != 2) return leaf::new_error(field_error(field, "not two ports: " + value));
    BOOST_LEAF_ASSIGN(settings.first_port, parse_number<std::uint16_t>(field, ports[0], 1, 65535));
    BOOST_LEAF_ASSIGN(settings.last_port, parse_number<std::uint16_t>(field, ports[1], 1, 65535));
    if (settings.last_port <= settings.first_port)
        return leaf::new_error(field_error(field, "fewer than two ports: " + value));
    return {};
}

leaf::result<void> set_seeds(NodeSettings& settings, const std::string& field, const std::string& value) {
    settings.seed_addresses.clear();
    for (const std::string_view item : split_list(value)) {
        BOOST_LEAF_AUTO(seed, parse_address(field, item));
        settings.seed_addresses.push_back(std::move(seed));
    }
    return {};
}

// ---- names of fields ----

const std::unordered_map<std::string_view, Setter>& setters() {
    using Node = NodeSettings;
    static const std::unordered_map<std::string_view, Setter> kSetters = {
        {"node_name", text(&Node::node_name)},
        {"role", text(&Node::role)},
        {"zone", text(&Node::zone)},
        {"region", text(&Node::region)},
        {"data_directory", text(&Node::data_directory)},
        {"ip", set_ip},
        {"bind_addresses.frontend", address(&Node::frontend_address)},
        {"bind_addresses.readiness", address(&Node::readiness_address)},
        {"bind_addresses.control", address(&Node::control_address)},
        {"internal_port_range", set_port_range},
        {"seed_nodes", set_seeds},
        {"bootstrap", flag(&Node::bootstrap)},
        {"quorum_member", flag(&Node::quorum_member)},
        {"limits.cpu_share", number(&Node::cpu_share, 0.0, kMaxNumber)},
        {"limits.memory_mb", number(&Node::memory_mb, 1.0, kMaxNumber)},
        {"limits.max_open_files", number(&Node::max_open_files, std::size_t{0}, kMaxCount)},
        {"limits.disk_mb", number(&Node::disk_mb, std::size_t{0}, kMaxCount)},
        {"heartbeat", duration(&Node::heartbeat)},
        {"fault_tolerance.machines", number(&Node::tolerated_machines, 0, kMaxTolerated)},
        {"fault_tolerance.zones", number(&Node::tolerated_zones, 0, kMaxTolerated)},
        {"fault_tolerance.regions", number(&Node::tolerated_regions, 0, kMaxTolerated)},
        {"bounds.seed_lag", bound(&Bounds::seed_lag)},
        {"bounds.address_reuse", bound(&Bounds::address_reuse)},
        {"bounds.contact", bound(&Bounds::contact)},
        {"bounds.ack", bound(&Bounds::ack)},
        {"bounds.catch_up", bound(&Bounds::catch_up)},
        {"bounds.drain", bound(&Bounds::drain)},
        {"bounds.grace", bound(&Bounds::grace)},
        {"bounds.loss_slack", bound(&Bounds::loss_slack)},
        {"bounds.config_apply", bound(&Bounds::config_apply)},
        {"bounds.revert_slack", bound(&Bounds::revert_slack)},
        {"bounds.max_stretch", bound(&Bounds::max_stretch)},
        {"bounds.revoke", bound(&Bounds::revoke)},
        {"bounds.retry_window", bound(&Bounds::retry_window)},
        {"bounds.quota_window", bound(&Bounds::quota_window)},
        {"bounds.recovery", bound(&Bounds::recovery)},
        {"bounds.max_hold", bound(&Bounds::max_hold)},
        {"bounds.retry_budget_ratio", bound(&Bounds::retry_budget_ratio)},
        {"bounds.retry_slack", bound(&Bounds::retry_slack)},
        {"bounds.quota_overshoot", bound(&Bounds::quota_overshoot)},
        {"bounds.quota_slack", bound(&Bounds::quota_slack)},
        {"bounds.revocation_global", bound(&Bounds::revocation_global)},
    };
    return kSetters;
}

}    // namespace

leaf::result<void> apply_setting(NodeSettings& settings, const std::string& field, const std::string& text) {
    if (field.starts_with(kZonePrefix)) {
        settings.region_by_zone[field.substr(kZonePrefix.size())] = text;
        return {};
    }
    const auto known = setters().find(field);
    if (known == setters().end()) return {};
    return known->second(settings, field, text);
}

}    // namespace shaletray::runtime
