#include "base/runtime/settings_file.h"

#include <boost/leaf/error.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <cmath>
#include <sstream>

#include "base/runtime/setting_fields.h"
#include "base/runtime/setting_values.h"

namespace shaletray::runtime {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

constexpr double kMaxSeconds = 1e9;    // about thirty years; sums of a few durations do not overflow

}    // namespace

leaf::result<Duration> parse_duration(std::string_view text) {
    const bool in_milliseconds = text.ends_with("ms");
    if (!in_milliseconds && !text.ends_with("s"))
        return leaf::new_error(field_error("time", "neither ends with ms nor with s: " + std::string(text)));
    const std::string_view unit = in_milliseconds ? "ms" : "s";
    const std::string_view digits = text.substr(0, text.size() - unit.size());
    if (digits.find_first_not_of("0123456789.") != std::string_view::npos)
        return leaf::new_error(field_error("time", "not a number: " + std::string(text)));
    const double units_per_second = in_milliseconds ? 1e3 : 1.0;
    const double microseconds_per_unit = in_milliseconds ? 1e3 : 1e6;
    BOOST_LEAF_AUTO(value, parse_number<double>("time", digits, 0.0, kMaxSeconds * units_per_second));
    return Duration(static_cast<std::int64_t>(std::llround(value * microseconds_per_unit)));
}

leaf::result<NodeSettings> parse_node_settings(std::string_view text) {
    NodeSettings settings;
    options::parsed_options lines(nullptr);
    try {
        std::istringstream stream{std::string(text)};
        constexpr bool kAllowUnknown = true;
        lines = options::parse_config_file(stream, options::options_description(), kAllowUnknown);
    } catch (const options::error& error) {
        return leaf::new_error(SettingsError{error.what()});
    }
    for (const options::option& line : lines.options) {
        const std::string field_value = line.value.empty() ? std::string() : line.value.front();
        BOOST_LEAF_CHECK(apply_setting(settings, line.string_key, field_value));
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
