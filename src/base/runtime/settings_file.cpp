#include "base/runtime/settings_file.h"

#include <arpa/inet.h>

#include <boost/leaf/error.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>

namespace shaletray::runtime {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr double kMaxSeconds = 1e9;

SettingsError field_error(std::string_view field, std::string_view reason) {
    return {std::string(field) + ": " + std::string(reason)};
}

// std::from_chars takes a sign, and "inf" for a fraction: neither is in order here.
template <class T>
leaf::result<T> parse_number(std::string_view field, std::string_view text, T min_value, T max_value) {
    T value{};
    const auto [parsed_end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || text[0] < '0' || text[0] > '9' || error != std::errc{} ||
        parsed_end != text.data() + text.size())
        return leaf::new_error(field_error(field, "not a number: " + std::string(text)));
    if (value < min_value || value > max_value)
        return leaf::new_error(field_error(field, "out of range: " + std::string(text)));
    return value;
}

leaf::result<bool> parse_bool(std::string_view field, std::string_view text) {
    if (text == "true") return true;
    if (text == "false") return false;
    return leaf::new_error(field_error(field, "neither true nor false: " + std::string(text)));
}

leaf::result<std::string> parse_ip(std::string_view field, std::string_view text) {
    in_addr address{};
    std::string copy(text);
    if (inet_pton(AF_INET, copy.c_str(), &address) != 1)
        return leaf::new_error(field_error(field, "not an IPv4 address: " + copy));
    return copy;
}

leaf::result<std::string> parse_address(std::string_view field, std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return leaf::new_error(field_error(field, "not an address with its port: " + std::string(text)));
    BOOST_LEAF_CHECK(parse_ip(field, text.substr(0, colon)));
    BOOST_LEAF_CHECK((parse_number<std::uint16_t>(field, text.substr(colon + 1), 1, 65535)));
    return std::string(text);
}

std::vector<std::string_view> split_list(std::string_view list) {
    std::vector<std::string_view> result;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (item.starts_with(' ')) item.remove_prefix(1);
        while (item.ends_with(' ')) item.remove_suffix(1);
        if (!item.empty()) result.push_back(item);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return result;
}

// One line. What no name below matches is left alone.
leaf::result<void> apply_setting(NodeSettings& settings, const std::string& field, const std::string& text) {
    const auto set_duration = [&](Duration& target) -> leaf::result<void> {
        const auto value = parse_duration(text);
        if (!value) return leaf::new_error(field_error(field, "not a time like 1500ms or 2.5s: " + text));
        target = *value;
        return {};
    };
    const auto set_number = [&](double& target, double min_value, double max_value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(target, parse_number<double>(field, text, min_value, max_value));
        return {};
    };
    const auto set_integer = [&]<class T>(T& target, T max_value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(target, parse_number<T>(field, text, 0, max_value));
        return {};
    };
    const auto set_flag = [&](bool& target) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(target, parse_bool(field, text));
        return {};
    };
    const auto set_address = [&](std::string& target) -> leaf::result<void> {
        target.clear();
        if (text.empty()) return {};    // not served
        BOOST_LEAF_ASSIGN(target, parse_address(field, text));
        return {};
    };
    const auto set_text = [&](std::string& target) -> leaf::result<void> {
        target = text;
        return {};
    };

    constexpr std::string_view kZonePrefix = "zones.", kBoundPrefix = "bounds.";
    constexpr double kMaxNumber = 1e12;
    constexpr std::size_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
    if (field.starts_with(kZonePrefix)) {
        settings.region_by_zone[field.substr(kZonePrefix.size())] = text;
        return {};
    }
    if (field.starts_with(kBoundPrefix)) {
        Bounds& bounds = settings.bounds;
        const std::string_view name = std::string_view(field).substr(kBoundPrefix.size());
        const std::pair<std::string_view, Duration*> durations[] = {{"seed_lag", &bounds.seed_lag},
                                                                    {"address_reuse", &bounds.address_reuse},
                                                                    {"contact", &bounds.contact},
                                                                    {"ack", &bounds.ack},
                                                                    {"catch_up", &bounds.catch_up},
                                                                    {"drain", &bounds.drain},
                                                                    {"grace", &bounds.grace},
                                                                    {"loss_slack", &bounds.loss_slack},
                                                                    {"config_apply", &bounds.config_apply},
                                                                    {"revert_slack", &bounds.revert_slack},
                                                                    {"max_stretch", &bounds.max_stretch},
                                                                    {"revoke", &bounds.revoke},
                                                                    {"retry_window", &bounds.retry_window},
                                                                    {"quota_window", &bounds.quota_window},
                                                                    {"recovery", &bounds.recovery}};
        for (const auto& [known_name, target] : durations)
            if (name == known_name) return set_duration(*target);
        const std::pair<std::string_view, double*> numbers[] = {
            {"retry_budget_ratio", &bounds.retry_budget_ratio},
            {"retry_slack", &bounds.retry_slack},
            {"quota_overshoot", &bounds.quota_overshoot},
            {"quota_slack", &bounds.quota_slack}};
        for (const auto& [known_name, target] : numbers)
            if (name == known_name) return set_number(*target, 0.0, kMaxNumber);
        if (name == "revocation_global") return set_flag(bounds.revocation_global);
        return {};
    }
    if (field == "node_name") return set_text(settings.node_name);
    if (field == "role") return set_text(settings.role);
    if (field == "zone") return set_text(settings.zone);
    if (field == "region") return set_text(settings.region);
    if (field == "data_directory") return set_text(settings.data_directory);
    if (field == "ip") {
        BOOST_LEAF_ASSIGN(settings.ip, parse_ip(field, text));
        return {};
    }
    if (field == "bind_addresses.frontend") return set_address(settings.frontend_address);
    if (field == "bind_addresses.readiness") return set_address(settings.readiness_address);
    if (field == "bind_addresses.control") return set_address(settings.control_address);
    if (field == "internal_port_range") {
        const auto ports = split_list(text);
        if (ports.size() != 2) return leaf::new_error(field_error(field, "not two ports: " + text));
        BOOST_LEAF_ASSIGN(settings.first_port, parse_number<std::uint16_t>(field, ports[0], 1, 65535));
        BOOST_LEAF_ASSIGN(settings.last_port, parse_number<std::uint16_t>(field, ports[1], 1, 65535));
        if (settings.last_port <= settings.first_port)
            return leaf::new_error(field_error(field, "fewer than two ports: " + text));
        return {};
    }
    if (field == "seed_nodes") {
        settings.seed_addresses.clear();
        for (const std::string_view item : split_list(text)) {
            BOOST_LEAF_AUTO(seed, parse_address(field, item));
            settings.seed_addresses.push_back(std::move(seed));
        }
        return {};
    }
    if (field == "bootstrap") return set_flag(settings.bootstrap);
    if (field == "quorum_member") return set_flag(settings.quorum_member);
    if (field == "limits.cpu_share") return set_number(settings.cpu_share, 0.0, kMaxNumber);
    if (field == "limits.memory_mb") return set_number(settings.memory_mb, 1.0, kMaxNumber);
    if (field == "limits.max_open_files") return set_integer(settings.max_open_files, kMaxCount);
    if (field == "limits.disk_mb") return set_integer(settings.disk_mb, kMaxCount);
    if (field == "heartbeat") return set_duration(settings.heartbeat);
    constexpr int kMaxTolerated = 1'000'000;
    if (field == "fault_tolerance.machines") return set_integer(settings.tolerated_machines, kMaxTolerated);
    if (field == "fault_tolerance.zones") return set_integer(settings.tolerated_zones, kMaxTolerated);
    if (field == "fault_tolerance.regions") return set_integer(settings.tolerated_regions, kMaxTolerated);
    return {};
}

}    // namespace

leaf::result<Duration> parse_duration(std::string_view text) {
    const bool in_milliseconds = text.ends_with("ms");
    if (!in_milliseconds && !text.ends_with("s"))
        return leaf::new_error(field_error("time", "no unit: " + std::string(text)));
    const std::string_view digits = text.substr(0, text.size() - (in_milliseconds ? 2 : 1));
    if (digits.find_first_not_of("0123456789.") != std::string_view::npos)
        return leaf::new_error(field_error("time", "not a number: " + std::string(text)));
    BOOST_LEAF_AUTO(value,
                    parse_number<double>("time", digits, 0.0, kMaxSeconds * (in_milliseconds ? 1e3 : 1.0)));
    return Duration(static_cast<std::int64_t>(std::llround(value * (in_milliseconds ? 1e3 : 1e6))));
}

leaf::result<NodeSettings> parse_node_settings(std::string_view text) {
    NodeSettings settings;
    options::parsed_options lines(nullptr);
    try {
        std::istringstream stream{std::string(text)};
        lines = options::parse_config_file(stream, options::options_description(), true);
    } catch (const options::error& error) {
        return leaf::new_error(SettingsError{error.what()});
    }
    for (const options::option& line : lines.options) {
        BOOST_LEAF_CHECK(apply_setting(settings, line.string_key,
                                       line.value.empty() ? std::string() : line.value.front()));
    }
    if (settings.ip.empty()) return leaf::new_error(field_error("ip", "missing"));
    if (settings.first_port == 0) return leaf::new_error(field_error("internal_port_range", "missing"));
    return settings;
}

std::string controller_address(const std::string& ip, const NodeSettings& settings) {
    return ip + ":" + std::to_string(settings.first_port);
}

std::vector<std::string> controller_seeds(const NodeSettings& settings) {
    std::vector<std::string> seeds;
    for (const std::string& seed : settings.seed_addresses)
        seeds.push_back(controller_address(ip_of(seed), settings));
    return seeds;
}
std::string gateway_address(const std::string& ip, const NodeSettings& settings) {
    return ip + ":" + std::to_string(settings.first_port + 1);
}

std::string ip_of(const std::string& address) { return address.substr(0, address.find(':')); }

}    // namespace shaletray::runtime
