// Tests of route and tenant lookups, and of picking services by weight.
#include "cluster/configuration/configuration_index.h"

#include <criterion/criterion.h>

#include "cluster/configuration/random_configurations.h"

namespace shaletray::configuration {
namespace {

Configuration with_routes(const std::vector<std::pair<std::string, std::string>>& routes) {
    Configuration config;
    for (const auto& [host, prefix] : routes) {
        Route route;
        route.name = host + prefix;
        route.hostname = host;
        route.path_prefix = prefix;
        config.routes.push_back(route);
    }
    return config;
}

Test(configuration_index, finds_routes_by_host_and_path) {
    const ConfigurationIndex index(with_routes({{"hulo84.example", "/a/"},
                                                {"hulo84.example", "/a/b/"},
                                                {"HULO84.example", "/c"},
                                                {"[::1]", "/"},
                                                {"h.example:8080", "/"}}));
    const auto route_name = [&](std::string_view host, std::string_view path) {
        const Route* route = index.find_route(host, path);
        return route == nullptr ? std::string("none") : route->name;
    };
    cr_assert_eq(route_name("hulo84.example", "/a/b/c?x=/a"), "hulo84.example/a/b/");
    cr_assert_eq(route_name("HuLo84.Example:8045", "/a/bc/"), "hulo84.example/a/");
    cr_assert_eq(route_name("hulo84.example", "/a"), "none");
    cr_assert_eq(route_name("hulo84.example", "/a?/a/b/"), "none");
    cr_assert_eq(route_name("hulo84.example", "/ab/"), "none");
    cr_assert_eq(route_name("hulo84.example", "/c"), "HULO84.example/c");
    cr_assert_eq(route_name("hulo84.example", "/c/d"), "HULO84.example/c");
    cr_assert_eq(route_name("hulo84.example", "/cd"), "none");
    cr_assert_eq(route_name("hulo84.exampl", "e/a/"), "none");
    cr_assert_eq(route_name("[::1]:80", "/x"), "[::1]/");
    cr_assert_eq(route_name("h.example", ""), "none");
    cr_assert_eq(route_name("h.example:1", "/"), "h.example:8080/");
    cr_assert_eq(route_name("", "/"), "none");
}

// Uses few different path segments, so that prefixes nest and collide.
Test(configuration_index, agrees_with_a_linear_search) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomSource random(seed);
        const char* const hosts[] = {"a.example", "b.example", "ab.example"};
        const auto random_path = [&](int max_segments, bool ends_with_slash) {
            std::string path = "/";
            for (int segments = random.up_to(max_segments); segments > 0; --segments) {
                for (int letters = random.up_to(2); letters > 0; --letters)
                    path += random.one_in(2) ? 'a' : 'b';
                if (segments > 1 || ends_with_slash) path += '/';
            }
            return path;
        };
        const bool always_slash = random.one_in(2);
        std::set<std::pair<std::string, std::string>> routes;
        for (int remaining = random.up_to(60); remaining > 0; --remaining)
            routes.insert({hosts[random.up_to(2)], random_path(4, always_slash || random.one_in(2))});
        const ConfigurationIndex index(with_routes({routes.begin(), routes.end()}));
        for (int i = 0; i < 200; ++i) {
            const std::string host = hosts[random.up_to(2)], target = random_path(6, random.one_in(2));
            const Route* best = nullptr;
            for (const Route& route : index.config().routes) {
                const std::string& prefix = route.path_prefix;
                const bool matches =
                    target.starts_with(prefix) &&
                    (prefix.ends_with('/') || target == prefix || target[prefix.size()] == '/');
                if (route.hostname == host && matches &&
                    (best == nullptr || prefix.size() > best->path_prefix.size()))
                    best = &route;
            }
            cr_assert(index.find_route(host, target) == best, "seed %lu: %s", seed, target.c_str());
        }
    }
}

Test(configuration_index, finds_tenants_by_any_of_their_keys) {
    Configuration config;
    const ConfigurationIndex open_index(config);
    cr_assert(!open_index.requires_api_key() && open_index.find_tenant("k") == nullptr);
    config.tenants.emplace();
    for (int i = 0; i < 5000; ++i) {
        const std::string number = std::to_string(i);
        Tenant tenant;
        tenant.name = "t" + number;
        tenant.api_keys = {"first-" + number, "second-" + number};
        config.tenants->push_back(tenant);
    }
    const ConfigurationIndex index(config);
    for (const Tenant& tenant : index.config().tenants.value())
        for (const std::string_view key : tenant.api_keys) cr_assert(index.find_tenant(key) == &tenant);
    for (const char* key : {"", "first-5000", "first-", "first-1\nsecond-1", "first-1\n"})
        cr_assert(index.find_tenant(key) == nullptr, "%s", key);
}

// Applies a sequence of changes that add and remove chunks of entries. An index that is derived from the
// previous one must find the same entries as a rebuilt index, and no removed ones.
Test(configuration_index, derived_index_matches_a_rebuilt_one) {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        RandomSource random(seed);
        const int max_entries = 20 + random.up_to(2000);
        Configuration config = random_configuration(random, max_entries);
        std::set<std::string> keys;
        ConfigurationIndex index(config);
        for (int step = 0; step < 8; ++step) {
            Configuration next_config =
                random.one_in(4) ? random_change(random, config, max_entries) : config;
            for (int remaining = random.up_to(6); remaining > 0 && !next_config.routes.empty(); --remaining)
                next_config.routes[static_cast<std::size_t>(random.random_bits() % next_config.routes.size())]
                    .hostname += 'x';
            for (int remaining = random.up_to(6);
                 remaining > 0 && next_config.tenants && !next_config.tenants->empty(); --remaining)
                (*next_config
                      .tenants)[static_cast<std::size_t>(random.random_bits() % next_config.tenants->size())]
                    .api_keys = {"k-" + random.random_name(1 << 30), "m-" + random.random_name(1 << 30)};
            config = apply_update(config, write_delta(config, next_config)).value();
            cr_assert(config == next_config, "seed %lu", seed);
            index = ConfigurationIndex(config, index);
            const ConfigurationIndex rebuilt_index(config);
            for (const Route& route : config.routes)
                cr_assert(index.find_route(route.hostname, route.path_prefix) == &route, "seed %lu", seed);
            if (config.tenants)
                for (const Tenant& tenant : *config.tenants)
                    keys.insert(tenant.api_keys.begin(), tenant.api_keys.end());
            for (const std::string& key : keys)
                cr_assert(index.find_tenant(key) == rebuilt_index.find_tenant(key), "seed %lu: %s", seed,
                          key.c_str());
        }
    }
}

Test(configuration_index, picks_services_by_their_weights) {
    Route route;
    route.targets = {{"one", 1}, {"most", 4'000'000'000}, {"some", 250'000'000}};
    const std::uint64_t total_weight = 4'250'000'001;
    // Finds the boundary between two services by bisection, as a weight. Exact to 64 bits.
    const auto boundary_after = [&](std::uint64_t weight) {
        std::uint64_t low = 0, high = ~std::uint64_t{0};
        while (low < high) {
            const std::uint64_t middle = low + (high - low) / 2;
            const std::string& picked = ConfigurationIndex::pick_service(route, middle);
            const bool beyond = weight == 1 ? picked != "one" : picked == "some";
            if (beyond) high = middle;
            else low = middle + 1;
        }
        return static_cast<long double>(low) / 18446744073709551616.0L *
               static_cast<long double>(total_weight);
    };
    cr_assert_float_eq(static_cast<double>(boundary_after(1)), 1.0, 1e-6);
    cr_assert_float_eq(static_cast<double>(boundary_after(4'000'000'001)), 4'000'000'001.0, 1e-3);
    cr_assert_eq(ConfigurationIndex::pick_service(route, 0), "one");
    cr_assert_eq(ConfigurationIndex::pick_service(route, ~std::uint64_t{0}), "some");
}

}    // namespace
}    // namespace shaletray::configuration
