// The gateway's configuration: routes, services, tenants and limits, as plain values. Times are Durations
// (microseconds). parse_configuration and apply_update return validated configurations, which are not checked
// again elsewhere.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "cluster/configuration/api_key_list.h"
#include "cluster/configuration/entry_list.h"

namespace shaletray::configuration {

// Whether a request of a route may be retried after a server may already have processed it.
enum class RouteKind { Idempotent, NonIdempotent };

// A service that a route sends requests to. Its share of them is its weight over the sum of all weights.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 0;
    bool operator==(const WeightedService&) const = default;
};

// Matches requests by hostname and path prefix, and states how they are forwarded.
struct Route {
    std::string name, hostname, path_prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{0};           // above 0; ten minutes by default
    Duration target_latency{0};    // 0: not set
    int priority = 0;              // 0 is the highest
    // A single one where the route has no traffic split. No weight is 0, and their sum is below 2^32.
    std::vector<WeightedService> targets;
    int max_attempts = 1;    // attempts per request, each at another server; at least 1
    bool is_public = false;
    bool operator==(const Route&) const = default;
};

// A group of interchangeable servers.
struct Service {
    std::string name, health_check;
    int max_connections = 0;    // to one server, from all gateways together; 0: not set
    bool is_sharded = false;    // requests have shard keys and are processed only by the owner of the key
    bool operator==(const Service&) const = default;
};

// A client that is identified by its API keys.
struct Tenant {
    std::string name;
    ApiKeyList api_keys;
    std::optional<int> priority;             // overrides the route's
    double rate_per_s = 0.0, burst = 0.0;    // rate 0: no limit
    bool operator==(const Tenant&) const = default;
};

// Limits on requests on the gateway's public connections.
struct Limits {
    std::size_t max_header_bytes = 16384, max_body_bytes = 64 * 1024 * 1024;
    Duration header_timeout = std::chrono::seconds(3), idle_timeout = std::chrono::seconds(15);
    bool operator==(const Limits&) const = default;
};

// A complete configuration. Copies share their entries and are cheap.
struct Configuration {
    std::uint64_t version = 0;    // 0: no configuration has been accepted yet
    EntryList<Route> routes;
    EntryList<Service> services;
    std::optional<EntryList<Tenant>> tenants;    // unset: requests need no API key
    Limits limits;
    bool operator==(const Configuration&) const = default;
};

// Returns the configuration's tenants, or an empty list where requests need no API key.
inline const EntryList<Tenant>& tenants_or_empty(const Configuration& config) {
    static const EntryList<Tenant> kNoTenants;
    return config.tenants ? *config.tenants : kNoTenants;
}

}    // namespace shaletray::configuration
