#include "cluster/configuration/configuration_index.h"

#include <algorithm>
#include <utility>

#include "cluster/configuration/entry_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {

// Computed once per configuration and shared by copies of its ConfigurationIndex.
struct ConfigurationIndex::Indexes {
    EntryIndex<Route> routes;
    EntryIndex<Tenant> tenants_by_key;
    std::size_t max_prefix_length = 0;
    bool has_prefix_without_slash = false;    // at least one prefix has no trailing slash

    explicit Indexes(const Configuration& config)
        : routes(config.routes), tenants_by_key(tenants_or_empty(config)) {
        measure_prefixes(config);
    }
    Indexes(const Configuration& config, const Indexes& previous, const Configuration& previous_config)
        : routes(config.routes, previous.routes, previous_config.routes),
          tenants_by_key(tenants_or_empty(config), previous.tenants_by_key,
                         tenants_or_empty(previous_config)) {
        measure_prefixes(config);
    }

    void measure_prefixes(const Configuration& config) {
        for (const Route& route : config.routes) {
            max_prefix_length = std::max(max_prefix_length, route.path_prefix.size());
            if (!route.path_prefix.ends_with('/')) has_prefix_without_slash = true;
        }
    }
};

ConfigurationIndex::ConfigurationIndex(Configuration new_config)
    : config_(std::move(new_config)), indexes_(std::make_shared<Indexes>(config_)) {}
ConfigurationIndex::ConfigurationIndex(Configuration new_config, const ConfigurationIndex& previous)
    : config_(std::move(new_config)),
      indexes_(std::make_shared<Indexes>(config_, *previous.indexes_, previous.config_)) {}

const Route* ConfigurationIndex::find_route(std::string_view host, std::string_view path) const {
    host = host_without_port(host);
    path = path.substr(0, path.find('?'));
    const Route* best = nullptr;
    RunningHash hash = begin_route_hash(host);
    const auto try_prefix = [&](std::size_t length) {
        const Route* const found = indexes_->routes.find(hash.value(), [&](const Route& route) {
            return route.path_prefix == path.substr(0, length) &&
                   hosts_equal(host_without_port(route.hostname), host);
        });
        if (found != nullptr) best = found;
    };
    // A matching prefix ends with a slash, before a slash, or at the end of the path.
    for (std::size_t position = 0; position <= std::min(path.size(), indexes_->max_prefix_length);
         ++position) {
        const bool at_end = position == path.size();
        if (indexes_->has_prefix_without_slash && position > 0 && (at_end || path[position] == '/'))
            try_prefix(position);
        if (at_end) break;
        hash.append(path[position]);
        if (path[position] == '/') try_prefix(position + 1);
    }
    return best;
}

const Tenant* ConfigurationIndex::find_tenant(std::string_view key) const {
    return indexes_->tenants_by_key.find(api_key_hash(key), [&](const Tenant& tenant) {
        return std::find(tenant.api_keys.begin(), tenant.api_keys.end(), key) != tenant.api_keys.end();
    });
}

const std::string& ConfigurationIndex::pick_service(const Route& route, std::uint64_t random_value) {
    std::uint64_t total_weight = 0;
    for (const WeightedService& target : route.targets) total_weight += target.weight;
    // random_value / 2^64 * total_weight: the upper half of the 96-bit product, without 128-bit arithmetic.
    const std::uint64_t high = (random_value >> 32) * total_weight,
                        low = (random_value & 0xffffffff) * total_weight;
    std::uint64_t remaining = (high + (low >> 32)) >> 32;
    for (const WeightedService& target : route.targets) {
        if (remaining < target.weight) return target.service;
        remaining -= target.weight;
    }
    return route.targets.back().service;    // unreachable: `remaining` starts below the sum of the weights
}

}    // namespace shaletray::configuration
