// Look-ups that requests need in a configuration.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// A configuration with indexes for look-ups. Immutable: requests under way share it, from any thread.
class ConfigurationIndex {
public:
    explicit ConfigurationIndex(Configuration new_config);
    // The same, but faster where the configuration shares entries with the one of `previous`.
    ConfigurationIndex(Configuration new_config, const ConfigurationIndex& previous);

    const Configuration& config() const { return config_; }
    // The route of that host (without regard to case or port) with the longest prefix of the path, which ends
    // at the first '?'; nullptr where there is none (status 404). A prefix without a slash at its end matches
    // whole segments only: "/a" matches "/a" and "/a/b", not "/ab". Takes time proportional to the length of
    // the path, however many routes there are.
    const Route* find_route(std::string_view host, std::string_view path) const;
    // The tenant with that API key; nullptr where there is none (status 401).
    const Tenant* find_tenant(std::string_view key) const;
    bool requires_api_key() const { return config_.tenants.has_value(); }
    // Picks one of the route's services, each as often as its weight says. `random_value` is uniformly
    // distributed over 64 bits.
    static const std::string& pick_service(const Route& route, std::uint64_t random_value);

private:
    struct Indexes;
    Configuration config_;
    std::shared_ptr<const Indexes> indexes_;
};

}    // namespace shaletray::configuration
