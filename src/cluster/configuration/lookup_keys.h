// The keys by which routes and tenants are looked up, and their hashes. Validation of a new configuration and
// its index use the same ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shaletray::configuration {

// A hash whose value can be read after every character, for the prefixes of a path: FNV-1a, and a final mix
// of its bits, since an index uses only the lower half.
class RunningHash {
public:
    void append(char c) { state_ = (state_ ^ static_cast<unsigned char>(c)) * kFnvPrime; }
    std::uint64_t value() const {
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 32)) * kFirstMultiplier;
        mixed = (mixed ^ (mixed >> 29)) * kSecondMultiplier;
        return mixed ^ (mixed >> 32);
    }

private:
    static constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325, kFnvPrime = 0x100000001b3;
    // Odd constants with irregular bits, from the splitmix64 generator.
    static constexpr std::uint64_t kFirstMultiplier = 0x9e3779b97f4a7c15;
    static constexpr std::uint64_t kSecondMultiplier = 0xbf58476d1ce4e5b9;

    std::uint64_t state_ = kFnvOffsetBasis;
};

// A host, as in a Host header, without its port.
inline std::string_view host_without_port(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    // Colons inside the brackets of an IPv6 address start no port.
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) return host;
    return host.substr(0, colon);
}

// ASCII only.
inline char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Whether two hosts are the same without regard to case.
inline bool hosts_equal(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) return false;
    for (std::size_t i = 0; i < a.size(); ++i)
        if (to_lower(a[i]) != to_lower(b[i])) return false;
    return true;
}

// The state of a route's hash after its host (without port); the path's characters are appended to it.
inline RunningHash begin_route_hash(std::string_view host) {
    RunningHash hash;
    for (const char c : host) hash.append(to_lower(c));
    hash.append('\0');
    return hash;
}

// The hash of a route's key: host (without port) and path prefix.
inline std::uint64_t route_hash(std::string_view host, std::string_view prefix) {
    RunningHash hash = begin_route_hash(host);
    for (const char c : prefix) hash.append(c);
    return hash.value();
}

// The hash of an API key.
std::uint64_t api_key_hash(std::string_view key);

}    // namespace shaletray::configuration
