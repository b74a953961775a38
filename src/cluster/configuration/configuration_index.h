// Route and tenant lookups for requests.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// A configuration with lookup indexes. Immutable, and shared by requests in progress on any thread.
class ConfigurationIndex {
public:
    explicit ConfigurationIndex(Configuration new_config);
    // The same, but faster where the configuration shares chunks with that of `previous`.
    ConfigurationIndex(Configuration new_config, const ConfigurationIndex& previous);

    const Configuration& config() const { return config_; }
    // Returns the route of that host (without regard to case or port) with the longest matching prefix of the
    // path, which ends at the first '?'; nullptr where no route matches (status 404). A prefix without a
    // trailing slash matches whole segments only: "/a" matches "/a" and "/a/b", not "/ab". Takes time
    // proportional to the length of the path, independent of the number of routes.
    const Route* find_route(std::string_view host, std::string_view path) const;
    // Returns the tenant with that API key; nullptr where there is none (status 401).
    const Tenant* find_tenant(std::string_view key) const;
    bool requires_api_key() const { return config_.tenants.has_value(); }
    // Picks one of the route's services with a probability proportional to its weight. `random_value` must be
    // uniformly distributed over 64 bits.
    static const std::string& pick_service(const Route& route, std::uint64_t random_value);

private:
    struct Indexes;
    Configuration config_;
    std::shared_ptr<const Indexes> indexes_;
};

}    // namespace shaletray::configuration
