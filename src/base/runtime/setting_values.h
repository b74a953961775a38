// Parsing of single values of the settings file.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

// The error of one field: its name and what is wrong with it.
SettingsError field_error(std::string_view field, std::string_view reason);

// A number from `min_value` to `max_value`, without a sign. Errors: SettingsError.
template <class T>
boost::leaf::result<T> parse_number(std::string_view field, std::string_view text, T min_value, T max_value) {
    T value{};
    const char* const end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    // std::from_chars accepts a minus sign, and "inf" or "nan" for floating-point types.
    const bool has_digit_first = !text.empty() && text[0] >= '0' && text[0] <= '9';
    if (!has_digit_first || error != std::errc{} || parsed_end != end)
        return boost::leaf::new_error(field_error(field, "not a number: " + std::string(text)));
    if (value < min_value || value > max_value)
        return boost::leaf::new_error(field_error(field, "out of range: " + std::string(text)));
    return value;
}

// "true" or "false". Errors: SettingsError.
boost::leaf::result<bool> parse_bool(std::string_view field, std::string_view text);
// An IPv4 address, without and with a port. The text is returned unchanged. Errors: SettingsError.
boost::leaf::result<std::string> parse_ip(std::string_view field, std::string_view text);
boost::leaf::result<std::string> parse_address(std::string_view field, std::string_view text);
// The items between commas, without spaces around them and without empty ones. Refers to `list`.
std::vector<std::string_view> split_list(std::string_view list);

}    // namespace shaletray::runtime
