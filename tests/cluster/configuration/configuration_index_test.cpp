#include <criterion/criterion.h>

#include "cluster/configuration/random_configurations.h"

namespace shaletray::configuration {
namespace {

Chart with_routes(const std::vector<std::pair<std::string, std::string>>& routes) {
    Chart chart;
    for (const auto& [host, prefix] : routes) {
        Route route;
        route.name = host + prefix;
        route.hostname = host;
        route.path_prefix = prefix;
        chart.routes.push_back(route);
    }
    return chart;
}

Test(chart_table, finds_routes_as_requests_name_them) {
    const Table table(with_routes({{"hulo84.example", "/a/"},
                                   {"hulo84.example", "/a/b/"},
                                   {"HULO84.example", "/c"},
                                   {"[::1]", "/"},
                                   {"h.example:8080", "/"}}));
    const auto name = [&](std::string_view host, std::string_view path) {
        const Route* route = table.route(host, path);
        return route == nullptr ? std::string("none") : route->name;
    };
    cr_assert_eq(name("hulo84.example", "/a/b/c?x=/a"), "hulo84.example/a/b/");
    cr_assert_eq(name("HuLo84.Example:8045", "/a/bc/"), "hulo84.example/a/");
    cr_assert_eq(name("hulo84.example", "/a"), "none");
    cr_assert_eq(name("hulo84.example", "/a?/a/b/"), "none");
    cr_assert_eq(name("hulo84.example", "/ab/"), "none");
    cr_assert_eq(name("hulo84.example", "/c"), "HULO84.example/c");
    cr_assert_eq(name("hulo84.example", "/c/d"), "HULO84.example/c");
    cr_assert_eq(name("hulo84.example", "/cd"), "none");
    cr_assert_eq(name("hulo84.exampl", "e/a/"), "none");
    cr_assert_eq(name("[::1]:80", "/x"), "[::1]/");
    cr_assert_eq(name("h.example", ""), "none");
    cr_assert_eq(name("h.example:1", "/"), "h.example:8080/");
    cr_assert_eq(name("", "/"), "none");
}

// Against the plain reading of the rule, over tables of a few words so that prefixes nest and collide.
Test(chart_table, agrees_with_a_search_of_all_routes) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Draw draw(seed);
        const char* const hosts[] = {"a.example", "b.example", "ab.example"};
        const auto path = [&](int most, bool slash) {
            std::string path = "/";
            for (int n = draw.upto(most); n > 0; --n) {
                for (int letters = draw.upto(2); letters > 0; --letters) path += draw.once_in(2) ? 'a' : 'b';
                if (n > 1 || slash) path += '/';
            }
            return path;
        };
        const bool slashes = draw.once_in(2);
        std::set<std::pair<std::string, std::string>> routes;
        for (int n = draw.upto(60); n > 0; --n)
            routes.insert({hosts[draw.upto(2)], path(4, slashes || draw.once_in(2))});
        const Table table(with_routes({routes.begin(), routes.end()}));
        for (int i = 0; i < 200; ++i) {
            const std::string host = hosts[draw.upto(2)], target = path(6, draw.once_in(2));
            const Route* best = nullptr;
            for (const Route& route : table.chart().routes) {
                const std::string& prefix = route.path_prefix;
                const bool begins =
                    target.starts_with(prefix) &&
                    (prefix.ends_with('/') || target == prefix || target[prefix.size()] == '/');
                if (route.hostname == host && begins &&
                    (best == nullptr || prefix.size() > best->path_prefix.size()))
                    best = &route;
            }
            cr_assert(table.route(host, target) == best, "seed %lu: %s", seed, target.c_str());
        }
    }
}

Test(chart_table, finds_tenants_by_any_of_their_keys) {
    Chart chart;
    const Table open(chart);
    cr_assert(!open.asks_for_keys() && open.tenant("k") == nullptr);
    chart.tenants.emplace();
    for (int i = 0; i < 5000; ++i) {
        const std::string n = std::to_string(i);
        Tenant tenant;
        tenant.name = "t" + n;
        tenant.api_keys = {"first-" + n, "second-" + n};
        chart.tenants->push_back(tenant);
    }
    const Table table(chart);
    for (const Tenant& tenant : table.chart().tenants.value())
        for (const std::string_view key : tenant.api_keys) cr_assert(table.tenant(key) == &tenant);
    for (const char* key : {"", "first-5000", "first-", "first-1\nsecond-1", "first-1\n"})
        cr_assert(table.tenant(key) == nullptr, "%s", key);
}

// One change after another, so that pieces of rows come and go: what a table makes of the one before it finds
// the same as one made from nothing, and what is gone is not found.
Test(chart_table, follows_changes_as_if_made_anew) {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        Draw draw(seed);
        const int most = 20 + draw.upto(2000);
        Chart chart = any_chart(draw, most);
        std::set<std::string> keys;
        Table table(chart);
        for (int step = 0; step < 8; ++step) {
            Chart next = draw.once_in(4) ? changed(draw, chart, most) : chart;
            for (int n = draw.upto(6); n > 0 && !next.routes.empty(); --n)
                next.routes[static_cast<std::size_t>(draw.bits() % next.routes.size())].hostname += 'x';
            for (int n = draw.upto(6); n > 0 && next.tenants && !next.tenants->empty(); --n)
                (*next.tenants)[static_cast<std::size_t>(draw.bits() % next.tenants->size())].api_keys = {
                    "k-" + draw.name(1 << 30), "m-" + draw.name(1 << 30)};
            chart = read_update(chart, write_patch(chart, next)).value();
            cr_assert(chart == next, "seed %lu", seed);
            table = Table(chart, table);
            const Table anew(chart);
            for (const Route& route : chart.routes)
                cr_assert(table.route(route.hostname, route.path_prefix) == &route, "seed %lu", seed);
            if (chart.tenants)
                for (const Tenant& tenant : *chart.tenants)
                    keys.insert(tenant.api_keys.begin(), tenant.api_keys.end());
            for (const std::string& key : keys)
                cr_assert(table.tenant(key) == anew.tenant(key), "seed %lu: %s", seed, key.c_str());
        }
    }
}

Test(chart_table, picks_services_by_their_weights) {
    Route route;
    route.to = {{"one", 1}, {"most", 4'000'000'000}, {"some", 250'000'000}};
    const std::uint64_t whole = 4'250'000'001;
    // The draws at which one service ends and the next begins, as exactly as 64 bits can tell.
    const auto first_beyond = [&](std::uint64_t weight) {
        std::uint64_t low = 0, high = ~std::uint64_t{0};
        while (low < high) {
            const std::uint64_t middle = low + (high - low) / 2;
            const std::string& pick = Table::pick(route, middle);
            const bool beyond = weight == 1 ? pick != "one" : pick == "some";
            if (beyond) high = middle;
            else low = middle + 1;
        }
        return static_cast<long double>(low) / 18446744073709551616.0L * static_cast<long double>(whole);
    };
    cr_assert_float_eq(static_cast<double>(first_beyond(1)), 1.0, 1e-6);
    cr_assert_float_eq(static_cast<double>(first_beyond(4'000'000'001)), 4'000'000'001.0, 1e-3);
    cr_assert_eq(Table::pick(route, 0), "one");
    cr_assert_eq(Table::pick(route, ~std::uint64_t{0}), "some");
}

}    // namespace
}    // namespace shaletray::configuration
