// Lookup keys of routes and tenants, and their hashes. Shared by the validation of a new configuration and by
// its index, so that both agree on which keys are equal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shaletray::configuration {

// An incremental hash whose value can be read after every character, for the prefixes of a path. FNV-1a with
// a final mixing step, since the hash index uses only the lower half of the bits.
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

// Returns the host of a Host header without its port.
inline std::string_view host_without_port(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    // A colon inside the brackets of an IPv6 address does not start a port.
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) return host;
    return host.substr(0, colon);
}

// Converts ASCII letters only.
inline char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Compares two hosts without regard to case.
inline bool hosts_equal(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) return false;
    for (std::size_t i = 0; i < a.size(); ++i)
        if (to_lower(a[i]) != to_lower(b[i])) return false;
    return true;
}

// Returns the state of a route's hash after its host (without port), to which the path is appended.
inline RunningHash begin_route_hash(std::string_view host) {
    RunningHash hash;
    for (const char c : host) hash.append(to_lower(c));
    hash.append('\0');
    return hash;
}

// Returns the hash of a route's key: host (without port) and path prefix.
inline std::uint64_t route_hash(std::string_view host, std::string_view prefix) {
    RunningHash hash = begin_route_hash(host);
    for (const char c : prefix) hash.append(c);
    return hash.value();
}

// Returns the hash of an API key.
std::uint64_t api_key_hash(std::string_view key);

}    // namespace shaletray::configuration
