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

constexpr double kMostSeconds = 1e9;

BadSettings bad(std::string_view field, std::string_view why) {
    return {std::string(field) + ": " + std::string(why)};
}

// std::from_chars takes a sign, and "inf" for a fraction: neither is in order here.
template <class T>
leaf::result<T> number(std::string_view field, std::string_view text, T least, T most) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || text[0] < '0' || text[0] > '9' || error != std::errc{} ||
        end != text.data() + text.size())
        return leaf::new_error(bad(field, "not a number: " + std::string(text)));
    if (value < least || value > most)
        return leaf::new_error(bad(field, "out of range: " + std::string(text)));
    return value;
}

leaf::result<bool> yes_or_no(std::string_view field, std::string_view text) {
    if (text == "true") return true;
    if (text == "false") return false;
    return leaf::new_error(bad(field, "neither true nor false: " + std::string(text)));
}

leaf::result<std::string> ip(std::string_view field, std::string_view text) {
    in_addr address{};
    std::string copy(text);
    if (inet_pton(AF_INET, copy.c_str(), &address) != 1)
        return leaf::new_error(bad(field, "not an IPv4 address: " + copy));
    return copy;
}

leaf::result<std::string> address(std::string_view field, std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return leaf::new_error(bad(field, "not an address with its port: " + std::string(text)));
    BOOST_LEAF_CHECK(ip(field, text.substr(0, colon)));
    BOOST_LEAF_CHECK((number<std::uint16_t>(field, text.substr(colon + 1), 1, 65535)));
    return std::string(text);
}

std::vector<std::string_view> items(std::string_view list) {
    std::vector<std::string_view> out;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (item.starts_with(' ')) item.remove_prefix(1);
        while (item.ends_with(' ')) item.remove_suffix(1);
        if (!item.empty()) out.push_back(item);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return out;
}

// One line. What no name below matches is left alone.
// NOLINTNEXTLINE(readability-function-size): to be split or made a table
leaf::result<void> take(NodeSettings& s, const std::string& field, const std::string& text) {
    const auto time = [&](Duration& to) -> leaf::result<void> {
        const auto value = read_time(text);
        if (!value) return leaf::new_error(bad(field, "not a time like 1500ms or 2.5s: " + text));
        to = *value;
        return {};
    };
    const auto fraction = [&](double& to, double least, double most) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(to, number<double>(field, text, least, most));
        return {};
    };
    const auto whole = [&]<class T>(T& to, T most) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(to, number<T>(field, text, 0, most));
        return {};
    };
    const auto flag = [&](bool& to) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(to, yes_or_no(field, text));
        return {};
    };
    const auto place = [&](std::string& to) -> leaf::result<void> {
        to.clear();
        if (text.empty()) return {};    // not served
        BOOST_LEAF_ASSIGN(to, address(field, text));
        return {};
    };
    const auto word = [&](std::string& to) -> leaf::result<void> {
        to = text;
        return {};
    };

    constexpr std::string_view kZones = "zones.", kBounds = "bounds.";
    constexpr double kMost = 1e12;
    constexpr std::size_t kMostCount = std::numeric_limits<std::uint32_t>::max();
    if (field.starts_with(kZones)) {
        s.zones[field.substr(kZones.size())] = text;
        return {};
    }
    if (field.starts_with(kBounds)) {
        Bounds& b = s.bounds;
        const std::string_view name = std::string_view(field).substr(kBounds.size());
        const std::pair<std::string_view, Duration*> times[] = {{"seed_lag", &b.seed_lag},
                                                                {"address_reuse", &b.address_reuse},
                                                                {"contact", &b.contact},
                                                                {"ack", &b.ack},
                                                                {"catch_up", &b.catch_up},
                                                                {"drain", &b.drain},
                                                                {"grace", &b.grace},
                                                                {"loss_slack", &b.loss_slack},
                                                                {"config_apply", &b.config_apply},
                                                                {"revert_slack", &b.revert_slack},
                                                                {"max_stretch", &b.max_stretch},
                                                                {"revoke", &b.revoke},
                                                                {"retry_window", &b.retry_window},
                                                                {"quota_window", &b.quota_window},
                                                                {"recovery", &b.recovery}};
        for (const auto& [known, to] : times)
            if (name == known) return time(*to);
        const std::pair<std::string_view, double*> figures[] = {{"retry_budget_ratio", &b.retry_budget_ratio},
                                                                {"retry_slack", &b.retry_slack},
                                                                {"quota_overshoot", &b.quota_overshoot},
                                                                {"quota_slack", &b.quota_slack}};
        for (const auto& [known, to] : figures)
            if (name == known) return fraction(*to, 0.0, kMost);
        if (name == "revocation_global") return flag(b.revocation_global);
        return {};
    }
    if (field == "node_name") return word(s.node_name);
    if (field == "role") return word(s.role);
    if (field == "zone") return word(s.zone);
    if (field == "region") return word(s.region);
    if (field == "data_directory") return word(s.data_directory);
    if (field == "ip") {
        BOOST_LEAF_ASSIGN(s.ip, ip(field, text));
        return {};
    }
    if (field == "bind_addresses.frontend") return place(s.frontend);
    if (field == "bind_addresses.readiness") return place(s.readiness);
    if (field == "bind_addresses.control") return place(s.control);
    if (field == "internal_port_range") {
        const auto ends = items(text);
        if (ends.size() != 2) return leaf::new_error(bad(field, "not two ports: " + text));
        BOOST_LEAF_ASSIGN(s.first_port, number<std::uint16_t>(field, ends[0], 1, 65535));
        BOOST_LEAF_ASSIGN(s.last_port, number<std::uint16_t>(field, ends[1], 1, 65535));
        if (s.last_port <= s.first_port) return leaf::new_error(bad(field, "fewer than two ports: " + text));
        return {};
    }
    if (field == "seed_nodes") {
        s.seeds.clear();
        for (const std::string_view item : items(text)) {
            BOOST_LEAF_AUTO(seed, address(field, item));
            s.seeds.push_back(std::move(seed));
        }
        return {};
    }
    if (field == "bootstrap") return flag(s.bootstrap);
    if (field == "quorum_member") return flag(s.quorum_member);
    if (field == "limits.cpu_share") return fraction(s.cpu_share, 0.0, kMost);
    if (field == "limits.memory_mb") return fraction(s.memory_mb, 1.0, kMost);
    if (field == "limits.max_open_files") return whole(s.max_open_files, kMostCount);
    if (field == "limits.disk_mb") return whole(s.disk_mb, kMostCount);
    if (field == "heartbeat") return time(s.heartbeat);
    constexpr int kMostLost = 1'000'000;
    if (field == "fault_tolerance.machines") return whole(s.lost_machines, kMostLost);
    if (field == "fault_tolerance.zones") return whole(s.lost_zones, kMostLost);
    if (field == "fault_tolerance.regions") return whole(s.lost_regions, kMostLost);
    return {};
}

}    // namespace

leaf::result<Duration> read_time(std::string_view text) {
    const bool ms = text.ends_with("ms");
    if (!ms && !text.ends_with("s")) return leaf::new_error(bad("time", "no unit: " + std::string(text)));
    const std::string_view figure = text.substr(0, text.size() - (ms ? 2 : 1));
    if (figure.find_first_not_of("0123456789.") != std::string_view::npos)
        return leaf::new_error(bad("time", "not a number: " + std::string(text)));
    BOOST_LEAF_AUTO(value, number<double>("time", figure, 0.0, kMostSeconds * (ms ? 1e3 : 1.0)));
    return Duration(static_cast<std::int64_t>(std::llround(value * (ms ? 1e3 : 1e6))));
}

leaf::result<NodeSettings> read_settings(std::string_view text) {
    NodeSettings s;
    options::parsed_options lines(nullptr);
    try {
        std::istringstream in{std::string(text)};
        lines = options::parse_config_file(in, options::options_description(), true);
    } catch (const options::error& error) {
        return leaf::new_error(BadSettings{error.what()});
    }
    for (const options::option& line : lines.options) {
        BOOST_LEAF_CHECK(take(s, line.string_key, line.value.empty() ? std::string() : line.value.front()));
    }
    if (s.ip.empty()) return leaf::new_error(bad("ip", "missing"));
    if (s.first_port == 0) return leaf::new_error(bad("internal_port_range", "missing"));
    return s;
}

std::string lighthouse_address(const std::string& ip, const NodeSettings& settings) {
    return ip + ":" + std::to_string(settings.first_port);
}

std::vector<std::string> lighthouse_seeds(const NodeSettings& settings) {
    std::vector<std::string> seeds;
    for (const std::string& seed : settings.seeds) seeds.push_back(lighthouse_address(ip_of(seed), settings));
    return seeds;
}
std::string pilot_address(const std::string& ip, const NodeSettings& settings) {
    return ip + ":" + std::to_string(settings.first_port + 1);
}

std::string ip_of(const std::string& address) { return address.substr(0, address.find(':')); }

}    // namespace shaletray::runtime
