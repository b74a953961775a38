// Tests that the digest depends on every field that it covers.
#include "cluster/configuration/configuration_digest.h"

#include <criterion/criterion.h>

#include <set>

#include "cluster/configuration/random_configurations.h"

namespace shaletray::configuration {
namespace {

Test(configuration_digest, depends_on_each_field) {
    RandomSource random(5);
    Configuration config = random_configuration(random, 5);
    config.routes = {random_route(random, "r")};
    config.services = {{"s", "/health", 5}};
    config.tenants = {random_tenant(random, "t")};
    std::set<std::uint64_t> seen{digest_of(config)};
    const auto expect_new_digest = [&](auto change) {
        Configuration other = config;
        change(other);
        cr_expect(seen.insert(digest_of(other)).second);
    };
    expect_new_digest([](Configuration& modified) { ++modified.version; });
    expect_new_digest([](Configuration& modified) { modified.routes[0].hostname += 'x'; });
    expect_new_digest([](Configuration& modified) { modified.routes[0].path_prefix += 'x'; });
    expect_new_digest(
        [](Configuration& modified) { modified.routes[0].is_public = !modified.routes[0].is_public; });
    expect_new_digest([](Configuration& modified) {
        modified.routes[0].kind = RouteKind{modified.routes[0].kind == RouteKind::Idempotent};
    });
    expect_new_digest([](Configuration& modified) { modified.routes[0].timeout += Duration(1); });
    expect_new_digest([](Configuration& modified) { modified.routes[0].target_latency += Duration(1); });
    expect_new_digest([](Configuration& modified) { ++modified.routes[0].max_attempts; });
    expect_new_digest([](Configuration& modified) { ++modified.routes[0].targets[0].weight; });
    expect_new_digest([](Configuration& modified) { modified.routes.clear(); });
    expect_new_digest([](Configuration& modified) { ++modified.services[0].max_connections; });
    expect_new_digest([](Configuration& modified) { modified.services[0].health_check += 'x'; });
    expect_new_digest([](Configuration& modified) { (*modified.tenants)[0].api_keys.push_back("k"); });
    expect_new_digest([](Configuration& modified) { (*modified.tenants)[0].priority = 99; });
    expect_new_digest([](Configuration& modified) { (*modified.tenants)[0].rate_per_s += 0.25; });
    expect_new_digest([](Configuration& modified) { (*modified.tenants)[0].burst += 0.25; });
    expect_new_digest([](Configuration& modified) { modified.tenants->clear(); });
    expect_new_digest([](Configuration& modified) { modified.tenants.reset(); });
    expect_new_digest([](Configuration& modified) { ++modified.limits.max_header_bytes; });
    expect_new_digest([](Configuration& modified) { modified.limits.idle_timeout += Duration(1); });
}

}    // namespace
}    // namespace shaletray::configuration
