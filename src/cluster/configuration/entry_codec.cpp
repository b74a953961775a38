#include "cluster/configuration/entry_codec.h"

#include <algorithm>
#include <string>

#include "base/runtime/capnp_codec.h"

namespace shaletray::configuration {

void encode(const Route& route, wire::Route::Builder builder) {
    builder.setName(runtime::text_reader_of(route.name));
    builder.setHostname(runtime::text_reader_of(route.hostname));
    builder.setPathPrefix(runtime::text_reader_of(route.path_prefix));
    builder.setIdempotent(route.kind == RouteKind::Idempotent);
    builder.setIsPublic(route.is_public);
    builder.setPriority(route.priority);
    builder.setTimeout(route.timeout.count());
    builder.setTargetLatency(route.target_latency.count());
    builder.setMaxAttempts(route.max_attempts);
    auto targets = builder.initTargets(static_cast<unsigned>(route.targets.size()));
    for (unsigned i = 0; i < targets.size(); ++i) {
        targets[i].setService(runtime::text_reader_of(route.targets[i].service));
        targets[i].setWeight(route.targets[i].weight);
    }
}

Route decode(wire::Route::Reader reader) {
    Route route;
    route.name = std::string(runtime::text_of(reader.getName()));
    route.hostname = std::string(runtime::text_of(reader.getHostname()));
    route.path_prefix = std::string(runtime::text_of(reader.getPathPrefix()));
    route.kind = reader.getIdempotent() ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.is_public = reader.getIsPublic();
    route.priority = reader.getPriority();
    route.timeout = Duration(reader.getTimeout());
    route.target_latency = Duration(reader.getTargetLatency());
    route.max_attempts = reader.getMaxAttempts();
    for (const auto target : reader.getTargets())
        route.targets.push_back({std::string(runtime::text_of(target.getService())), target.getWeight()});
    route.targets.shrink_to_fit();
    return route;
}

void encode(const Service& service, wire::Service::Builder builder) {
    builder.setName(runtime::text_reader_of(service.name));
    builder.setHealthCheck(runtime::text_reader_of(service.health_check));
    builder.setMaxConnections(service.max_connections);
    builder.setIsSharded(service.is_sharded);
}

Service decode(wire::Service::Reader reader) {
    return {std::string(runtime::text_of(reader.getName())),
            std::string(runtime::text_of(reader.getHealthCheck())), reader.getMaxConnections(),
            reader.getIsSharded()};
}

void encode(const Tenant& tenant, wire::Tenant::Builder builder) {
    builder.setName(runtime::text_reader_of(tenant.name));
    auto keys = builder.initApiKeys(static_cast<unsigned>(tenant.api_keys.size()));
    unsigned i = 0;
    for (const std::string_view key : tenant.api_keys) {
        auto key_builder = keys.init(i++, static_cast<unsigned>(key.size()));
        std::copy(key.begin(), key.end(), key_builder.begin());
    }
    builder.setHasPriority(tenant.priority.has_value());
    builder.setPriority(tenant.priority.value_or(0));
    builder.setRatePerS(tenant.rate_per_s);
    builder.setBurst(tenant.burst);
}

Tenant decode(wire::Tenant::Reader reader) {
    Tenant tenant;
    tenant.name = std::string(runtime::text_of(reader.getName()));
    for (const auto key : reader.getApiKeys()) tenant.api_keys.push_back(runtime::text_of(key));
    tenant.api_keys.shrink_to_fit();
    if (reader.getHasPriority()) tenant.priority = reader.getPriority();
    tenant.rate_per_s = reader.getRatePerS();
    tenant.burst = reader.getBurst();
    return tenant;
}

void encode(const Limits& limits, wire::Limits::Builder builder) {
    builder.setMaxHeaderBytes(limits.max_header_bytes);
    builder.setMaxBodyBytes(limits.max_body_bytes);
    builder.setHeaderTimeout(limits.header_timeout.count());
    builder.setIdleTimeout(limits.idle_timeout.count());
}

Limits decode(wire::Limits::Reader reader) {
    return {reader.getMaxHeaderBytes(), reader.getMaxBodyBytes(), Duration(reader.getHeaderTimeout()),
            Duration(reader.getIdleTimeout())};
}

}    // namespace shaletray::configuration
