// Generators of random configurations, and helpers that return the field of a rejected configuration.
#pragma once

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_error.h"
#include "cluster/configuration/configuration_parser.h"
#include "cluster/configuration/configuration_update.h"

namespace shaletray::configuration {

// Returns the field of the ConfigurationError; empty where the attempt succeeded.
template <class Attempt>
std::string rejected_field(Attempt attempt) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(attempt());
            return std::string();
        },
        [](const ConfigurationError& error) { return error.field; },
        [] { return std::string("another error"); });
}
inline std::string rejected_text_field(const std::string& text) {
    return rejected_field([&] { return parse_configuration(text); });
}
inline std::string rejected_update_field(const Configuration& current, std::string_view bytes) {
    return rejected_field([&] { return apply_update(current, bytes); });
}

// Deterministic for a seed.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    std::uint64_t random_bits() { return engine_(); }
    int up_to(int max_value) { return static_cast<int>(engine_() % static_cast<unsigned>(max_value + 1)); }
    bool one_in(int count) { return up_to(count - 1) == 0; }
    std::string random_name(int max_number) { return "n" + std::to_string(up_to(max_number)); }

private:
    std::mt19937_64 engine_;
};

inline Route random_route(RandomSource& random, std::string name) {
    Route route;
    route.name = std::move(name);
    route.hostname = random.random_name(5) + ".example";
    route.path_prefix = "/" + route.name + "/";
    route.kind = random.one_in(2) ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.timeout = std::chrono::milliseconds(1 + random.up_to(3));
    route.target_latency = std::chrono::milliseconds(random.up_to(2));
    route.priority = random.up_to(2);
    for (int remaining = 1 + random.up_to(2); remaining > 0; --remaining)
        route.targets.push_back({random.random_name(9), 1u + static_cast<unsigned>(random.up_to(99))});
    route.max_attempts = 1 + random.up_to(2);
    route.is_public = random.one_in(2);
    return route;
}
inline Tenant random_tenant(RandomSource& random, std::string name) {
    Tenant tenant;
    tenant.name = std::move(name);
    for (int remaining = random.up_to(3); remaining > 0; --remaining)
        tenant.api_keys.push_back(tenant.name + "-key-" + random.random_name(1000));
    if (random.one_in(2)) tenant.priority = random.up_to(3);
    if (random.one_in(2)) tenant.rate_per_s = random.up_to(50) + 0.1;
    tenant.burst = random.up_to(3);
    return tenant;
}
// Returns the entries in reverse order.
template <class Entry>
EntryList<Entry> reversed(const EntryList<Entry>& entries) {
    std::vector<Entry> result(entries.begin(), entries.end());
    std::reverse(result.begin(), result.end());
    return result;
}
// Returns a configuration whose entries are sorted by name.
inline Configuration random_configuration(RandomSource& random, int max_entries) {
    Configuration config;
    config.version = 1 + static_cast<unsigned>(random.up_to(1000));
    const auto random_names = [&] {
        std::set<std::string> names;
        for (int remaining = random.up_to(max_entries); remaining > 0; --remaining)
            names.insert(random.random_name(2 * max_entries));
        return names;
    };
    for (const std::string& name : random_names()) config.routes.push_back(random_route(random, name));
    for (const std::string& name : random_names())
        config.services.push_back({name, "/health", random.up_to(2) * 100});
    if (!random.one_in(5)) {
        config.tenants.emplace();
        for (const std::string& name : random_names()) config.tenants->push_back(random_tenant(random, name));
    }
    if (random.one_in(2)) config.limits.max_body_bytes = 1000;
    return config;
}

// Returns a copy of a configuration with some entries of each list modified, removed or added.
inline Configuration random_change(RandomSource& random, const Configuration& from, int max_entries) {
    const Configuration other = random_configuration(random, max_entries);
    Configuration target = other;
    const auto mix_entries = [&](auto& output, const auto& old, const auto& added, auto change) {
        std::map<std::string, std::decay_t<decltype(old.front())>> entries;
        for (const auto& entry : added)
            if (random.one_in(3)) entries[entry.name] = entry;
        for (const auto& entry : old)
            if (!random.one_in(4)) entries[entry.name] = entry;
        output.clear();
        for (auto& [name, entry] : entries) {
            if (random.one_in(8)) change(entry);
            output.push_back(entry);
        }
    };
    mix_entries(target.routes, from.routes, other.routes, [](Route& route) { route.priority += 7; });
    mix_entries(target.services, from.services, other.services,
                [](Service& service) { service.max_connections += 7; });
    if (target.tenants && from.tenants)
        mix_entries(*target.tenants, *from.tenants, *other.tenants,
                    [&](Tenant& tenant) { tenant.api_keys.push_back("new-" + random.random_name(1 << 30)); });
    return target;
}

}    // namespace shaletray::configuration
