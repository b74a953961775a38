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
constexpr int kMaxToleratedFailures = 1'000'000;

constexpr std::string_view kZonePrefix = "zones.";

// Sets one field from its text. Errors: SettingsError.
using Setter = std::function<leaf::result<void>(NodeSettings& settings, const std::string& field,
                                                const std::string& text)>;

// ---- setters by type of field ----

leaf::result<void> set_duration(Duration& target, const std::string& field, const std::string& text) {
    const auto value = parse_duration(text);
    if (!value) return leaf::new_error(field_error(field, "not a duration like 1500ms or 2.5s: " + text));
    target = *value;
    return {};
}

Setter text_field(std::string NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string&, const std::string& value) {
        settings.*member = value;
        return leaf::result<void>();
    };
}

// An address to listen on; empty if nothing is served there.
Setter address_field(std::string NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        (settings.*member).clear();
        if (value.empty()) return {};
        BOOST_LEAF_ASSIGN(settings.*member, parse_address(field, value));
        return {};
    };
}

Setter flag_field(bool NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.*member, parse_bool(field, value));
        return {};
    };
}

Setter duration_field(Duration NodeSettings::*member) {
    return [member](NodeSettings& settings, const std::string& field, const std::string& value) {
        return set_duration(settings.*member, field, value);
    };
}

template <class T>
Setter number_field(T NodeSettings::*member, T min_value, T max_value) {
    return [member, min_value, max_value](NodeSettings& settings, const std::string& field,
                                          const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.*member, parse_number<T>(field, value, min_value, max_value));
        return {};
    };
}

Setter bound_field(Duration Bounds::*member) {
    return [member](NodeSettings& settings, const std::string& field, const std::string& value) {
        return set_duration(settings.bounds.*member, field, value);
    };
}

Setter bound_field(double Bounds::*member) {
    return [member](NodeSettings& settings, const std::string& field,
                    const std::string& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(settings.bounds.*member, parse_number<double>(field, value, 0.0, kMaxNumber));
        return {};
    };
}

Setter bound_field(bool Bounds::*member) {
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
    if (ports.size() != 2)
        return leaf::new_error(field_error(field, "not a range of two ports FIRST,LAST: " + value));
    BOOST_LEAF_ASSIGN(settings.first_port, parse_number<std::uint16_t>(field, ports[0], 1, 65535));
    BOOST_LEAF_ASSIGN(settings.last_port, parse_number<std::uint16_t>(field, ports[1], 1, 65535));
    if (settings.last_port <= settings.first_port)
        return leaf::new_error(field_error(field, "the last port must be greater than the first: " + value));
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

// ---- setters by name of field ----

const std::unordered_map<std::string_view, Setter>& setters() {
    using Node = NodeSettings;
    static const std::unordered_map<std::string_view, Setter> kSetters = {
        {"node_name", text_field(&Node::node_name)},
        {"role", text_field(&Node::role)},
        {"zone", text_field(&Node::zone)},
        {"region", text_field(&Node::region)},
        {"data_directory", text_field(&Node::data_directory)},
        {"ip", set_ip},
        {"bind_addresses.frontend", address_field(&Node::frontend_address)},
        {"bind_addresses.readiness", address_field(&Node::readiness_address)},
        {"bind_addresses.control", address_field(&Node::control_address)},
        {"internal_port_range", set_port_range},
        {"seed_nodes", set_seeds},
        {"bootstrap", flag_field(&Node::bootstrap)},
        {"quorum_member", flag_field(&Node::quorum_member)},
        {"limits.cpu_share", number_field(&Node::cpu_share, 0.0, kMaxNumber)},
        {"limits.memory_mb", number_field(&Node::memory_mb, 1.0, kMaxNumber)},
        {"limits.max_open_files", number_field(&Node::max_open_files, std::size_t{0}, kMaxCount)},
        {"limits.disk_mb", number_field(&Node::disk_mb, std::size_t{0}, kMaxCount)},
        {"heartbeat", duration_field(&Node::heartbeat)},
        {"fault_tolerance.machines", number_field(&Node::tolerated_machines, 0, kMaxToleratedFailures)},
        {"fault_tolerance.zones", number_field(&Node::tolerated_zones, 0, kMaxToleratedFailures)},
        {"fault_tolerance.regions", number_field(&Node::tolerated_regions, 0, kMaxToleratedFailures)},
        {"bounds.seed_lag", bound_field(&Bounds::seed_lag)},
        {"bounds.address_reuse", bound_field(&Bounds::address_reuse)},
        {"bounds.contact", bound_field(&Bounds::contact)},
        {"bounds.ack", bound_field(&Bounds::ack)},
        {"bounds.catch_up", bound_field(&Bounds::catch_up)},
        {"bounds.drain", bound_field(&Bounds::drain)},
        {"bounds.grace", bound_field(&Bounds::grace)},
        {"bounds.loss_slack", bound_field(&Bounds::loss_slack)},
        {"bounds.config_apply", bound_field(&Bounds::config_apply)},
        {"bounds.revert_slack", bound_field(&Bounds::revert_slack)},
        {"bounds.max_stretch", bound_field(&Bounds::max_stretch)},
        {"bounds.revoke", bound_field(&Bounds::revoke)},
        {"bounds.retry_window", bound_field(&Bounds::retry_window)},
        {"bounds.quota_window", bound_field(&Bounds::quota_window)},
        {"bounds.recovery", bound_field(&Bounds::recovery)},
        {"bounds.max_hold", bound_field(&Bounds::max_hold)},
        {"bounds.retry_budget_ratio", bound_field(&Bounds::retry_budget_ratio)},
        {"bounds.retry_slack", bound_field(&Bounds::retry_slack)},
        {"bounds.quota_overshoot", bound_field(&Bounds::quota_overshoot)},
        {"bounds.quota_slack", bound_field(&Bounds::quota_slack)},
        {"bounds.revocation_global", bound_field(&Bounds::revocation_global)},
    };
    return kSetters;
}

}    // namespace

leaf::result<void> apply_setting(NodeSettings& settings, const std::string& field, const std::string& text) {
    if (field.starts_with(kZonePrefix)) {
        settings.region_by_zone[field.substr(kZonePrefix.size())] = text;
        return {};
    }
    const auto found = setters().find(field);
    if (found == setters().end()) return {};
    return found->second(settings, field, text);
}

}    // namespace shaletray::runtime
