// Updates of the configuration: wholes, and patches from one to the next.
#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_update.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using configuration::Configuration;
using configuration::Route;
using configuration::RouteKind;
using configuration::Service;
using configuration::Tenant;

void add(FieldList& fields, const Route& route) {
    fields.within("route");
    fields.add("name", route.name).add("hostname", route.hostname).add("path_prefix", route.path_prefix);
    fields.add("kind", route.kind).add("timeout", route.timeout);
    fields.add("target_latency", route.target_latency).add("priority", route.priority);
    fields.add("max_attempts", route.max_attempts).add("is_public", route.is_public);
    for (const configuration::WeightedService& share : route.targets)
        fields.add("to.service", share.service).add("to.weight", share.weight);
}

void add(FieldList& fields, const Service& service) {
    fields.within("service");
    fields.add("name", service.name).add("health_check", service.health_check);
    fields.add("max_connections", service.max_connections);
}

void add(FieldList& fields, const Tenant& tenant) {
    fields.within("tenant");
    fields.add("name", tenant.name);
    for (const std::string_view key : tenant.api_keys) fields.add("key", key);
    fields.add("has_priority", tenant.priority.has_value()).add("priority", tenant.priority.value_or(0));
    fields.add("rate_per_s", tenant.rate_per_s).add("burst", tenant.burst);
}

std::string fields_of(const Configuration& chart, std::uint64_t digest) {
    FieldList fields;
    fields.add("version", chart.version).add("digest", digest);
    for (const Route& route : chart.routes) add(fields, route);
    for (const Service& service : chart.services) add(fields, service);
    fields.within("");
    fields.add("asks_for_keys", chart.tenants.has_value());
    if (chart.tenants)
        for (const Tenant& tenant : *chart.tenants) add(fields, tenant);
    fields.within("limits");
    fields.add("max_header_bytes", chart.limits.max_header_bytes);
    fields.add("max_body_bytes", chart.limits.max_body_bytes);
    fields.add("header_timeout", chart.limits.header_timeout);
    fields.add("idle_timeout", chart.limits.idle_timeout);
    return fields.text();
}

Configuration first() {
    Configuration chart;
    chart.version = 7;
    chart.routes = {
        Route{"login", "", "/login", RouteKind::Idempotent, 250ms, 0ms, 0, {{"accounts", 1}}, 1, true},
        Route{"orders",
              "shop.example",
              "/orders/",
              RouteKind::NonIdempotent,
              1500ms,
              80ms,
              3,
              {{"orders", 90}, {"orders-next", 10}},
              2,
              false}};
    chart.services = {Service{"accounts", "/health", 0}, Service{"orders", "", 40},
                      Service{"orders-next", "/ready", 5}};
    chart.tenants = configuration::EntryList<Tenant>{Tenant{"acme", {"key-a", "key-b"}, 2, 100.5, 200.0},
                                                     Tenant{"globex", {"key-c"}, std::nullopt, 0.0, 0.0},
                                                     Tenant{"initech", {}, 0, 0.125, 1.0}};
    chart.limits = {8192, 1048576, 2s, 10s};
    return chart;
}

// Rows are added, changed and removed in each list.
Configuration second() {
    Configuration chart;
    chart.version = 8;
    chart.routes = {
        Route{"login", "", "/login", RouteKind::Idempotent, 500ms, 10ms, 1, {{"accounts", 1}}, 3, true},
        Route{"search", "", "/", RouteKind::Idempotent, 1s, 0ms, 0, {{"search", 4294967295}}, 1, false}};
    chart.services = {Service{"accounts", "/health", 9}, Service{"search", "", 0}};
    chart.tenants = configuration::EntryList<Tenant>{Tenant{"acme", {"key-b"}, std::nullopt, 1.0, 2.0},
                                                     Tenant{"umbrella", {"key-d"}, 5, 0.0, 0.0}};
    chart.limits = {16384, 2097152, 3s, 15s};
    return chart;
}

Configuration without_tenants() {
    Configuration chart = first();
    chart.version = 9;
    chart.tenants.reset();
    return chart;
}

MessageSample sample(const std::string& name, const std::string& bytes, const Configuration& from,
                     const Configuration& to, std::uint64_t digest) {
    const auto read = [from](std::string_view update) {
        const auto chart = configuration::apply_update(from, update);
        return chart ? fields_of(*chart, digest_of(*chart)) : std::string(kUnreadable);
    };
    return {"configuration-" + name, bytes, fields_of(to, digest), read};
}

// Processes compare digests: they are a part of the format. As computed when the recordings were first made.
constexpr std::uint64_t kFirstDigest = 5812058321105751567, kSecondDigest = 3726791332489870867,
                        kWithoutTenantsDigest = 5923913092593952088, kEmptyDigest = 4748963245449609241;

}    // namespace

std::vector<MessageSample> configuration_update_samples() {
    const Configuration none;
    return {sample("whole", write_full(first()), none, first(), kFirstDigest),
            sample("whole-without-tenants", write_full(without_tenants()), none, without_tenants(),
                   kWithoutTenantsDigest),
            sample("whole-empty", write_full(none), first(), none, kEmptyDigest),
            sample("patch", write_delta(first(), second()), first(), second(), kSecondDigest),
            sample("patch-drops-tenants", write_delta(second(), without_tenants()), second(),
                   without_tenants(), kWithoutTenantsDigest)};
}

}    // namespace shaletray::compatibility
