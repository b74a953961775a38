#include "base/runtime/setting_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdint>

namespace shaletray::runtime {

namespace leaf = boost::leaf;

SettingsError field_error(std::string_view field, std::string_view reason) {
    return {std::string(field) + ": " + std::string(reason)};
}

leaf::result<bool> parse_bool(std::string_view field, std::string_view text) {
    if (text == "true") return true;
    if (text == "false") return false;
    return leaf::new_error(field_error(field, "must be true or false: " + std::string(text)));
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
        return leaf::new_error(field_error(field, "not an IPv4 address with a port: " + std::string(text)));
    BOOST_LEAF_CHECK(parse_ip(field, text.substr(0, colon)));
    BOOST_LEAF_CHECK((parse_number<std::uint16_t>(field, text.substr(colon + 1), 1, 65535)));
    return std::string(text);
}

std::vector<std::string_view> split_list(std::string_view list) {
    std::vector<std::string_view> items;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (item.starts_with(' ')) item.remove_prefix(1);
        while (item.ends_with(' ')) item.remove_suffix(1);
        if (!item.empty()) items.push_back(item);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return items;
}

}    // namespace shaletray::runtime
