// Interprets clients' requests: routes, API keys, request ids and deadlines. Does no I/O; the caller passes
// the configuration.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "base/http/answer.h"
#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_index.h"
#include "cluster/configuration/sharded_services.h"
#include "cluster/ownership/ownership_table.h"
#include "data_plane/proxy/request_mapping.h"

namespace shaletray::http_mapping {

// Route and tenant of a request, by the configuration in force when it arrived. Passed as
// IncomingRequest::context.
struct RouteMatch {
    // Keeps the route and the tenant alive.
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index;
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;    // null: a public route, or no API keys are required
    std::optional<ownership::Key> shard_key{};        // set where a service of the route is sharded

    // The tenant's priority if it has one, otherwise the route's.
    int priority() const {
        return tenant != nullptr && tenant->priority ? *tenant->priority : route->priority;
    }
};

// Maps clients' requests to routes and tenants. Not thread-safe.
class RequestMapper final : public RequestMapping {
public:
    // Takes effect for all requests that are mapped after the call.
    void set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> index);
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index() const {
        return configuration_index_;
    }

    bool is_readiness_check(const http::Parser&, const http::Buffer&) const override { return false; }
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint now) override;
    http::Limits parser_limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t requested) const override;
    GatewayAnswer rejection_answer(RejectionReason reason, Duration retry_after) const override;
    GatewayAnswer failure_answer(FailureReason reason) const override;

private:
    bool needs_shard_key(const configuration::Route& route) const;

    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
    configuration::ServiceNames sharded_services_;
};

// Parses a shard key, from 0 to 65535. Returns nothing where it is malformed.
std::optional<ownership::Key> parse_shard_key(std::string_view text);

// Parses a number of milliseconds, with or without decimals. Returns nothing where it is malformed, negative
// or above an hour.
std::optional<Duration> parse_deadline(std::string_view text);

}    // namespace shaletray::http_mapping
