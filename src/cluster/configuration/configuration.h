// The gateway's configuration as the operator states it: routes, services, tenants and limits. Plain values;
// times are Durations (microseconds). What parse_configuration and apply_update return has been validated,
// and no other part of the program checks it again.
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

// Whether a request of a route may be sent again after it may have been processed.
enum class RouteKind { Idempotent, NonIdempotent };

// A service that requests of a route go to, and its part of them.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 0;
    bool operator==(const WeightedService&) const = default;
};

// Requests to a hostname and a path prefix, and the way they are served.
struct Route {
    std::string name, hostname, path_prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{0};           // above 0; ten minutes where the operator states none
    Duration target_latency{0};    // 0: not stated
    int priority = 0;              // 0 is the highest
    // One where the operator names a single service. No weight is 0, and their sum is below 2^32.
    std::vector<WeightedService> targets;
    int max_attempts = 1;    // servers that one request may be sent to, at least 1
    bool is_public = false;
    bool operator==(const Route&) const = default;
};

// A group of interchangeable servers.
struct Service {
    std::string name, health_check;
    int max_connections = 0;    // of one server, from all callers together; 0: not stated
    bool is_sharded = false;    // each request has a shard key, and only the server that holds it runs it
    bool operator==(const Service&) const = default;
};

// A caller that is known by its API keys.
struct Tenant {
    std::string name;
    ApiKeyList api_keys;
    std::optional<int> priority;             // overrides the route's
    double rate_per_s = 0.0, burst = 0.0;    // rate 0: no limit
    bool operator==(const Tenant&) const = default;
};

// Bounds of requests on the gateway's public connections.
struct Limits {
    std::size_t max_header_bytes = 16384, max_body_bytes = 64 * 1024 * 1024;
    Duration header_timeout = std::chrono::seconds(3), idle_timeout = std::chrono::seconds(15);
    bool operator==(const Limits&) const = default;
};

// A complete configuration. Copies share their entries and are cheap.
struct Configuration {
    std::uint64_t version = 0;    // 0: no configuration was ever accepted
    EntryList<Route> routes;
    EntryList<Service> services;
    std::optional<EntryList<Tenant>> tenants;    // none: requests need no API key
    Limits limits;
    bool operator==(const Configuration&) const = default;
};

// The configuration's tenants; an empty list where requests need no API key.
inline const EntryList<Tenant>& tenants_or_empty(const Configuration& config) {
    static const EntryList<Tenant> kNoTenants;
    return config.tenants ? *config.tenants : kNoTenants;
}

}    // namespace shaletray::configuration
