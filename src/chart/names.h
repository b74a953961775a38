// What rows are looked up by, the same for the checks of a new chart and for its table.
#pragma once

#include <cstdint>
#include <string_view>

#include "chart/finder.h"

namespace shaletray::chart {

// A host without its port.
inline std::string_view bare_host(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    // Colons inside the brackets of an IPv6 address start no port.
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) return host;
    return host.substr(0, colon);
}
inline char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
inline bool same_host(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) return false;
    for (std::size_t i = 0; i < a.size(); ++i)
        if (lower(a[i]) != lower(b[i])) return false;
    return true;
}
// Of a bare host; a path's characters are taken after it.
inline RunningHash begin_route_hash(std::string_view host) {
    RunningHash hash;
    for (const char c : host) hash.take(lower(c));
    hash.take('\0');
    return hash;
}
inline std::uint64_t route_hash(std::string_view host, std::string_view prefix) {
    RunningHash hash = begin_route_hash(host);
    for (const char c : prefix) hash.take(c);
    return hash.value();
}
std::uint64_t key_hash(std::string_view key);

}    // namespace shaletray::chart
