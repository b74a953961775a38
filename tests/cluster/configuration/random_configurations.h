// Charts for the tests: by chance from a seed, and ways to take a result apart.
#pragma once

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// The field that was refused; "" where nothing was.
template <class Try>
std::string refused(Try attempt) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(attempt());
            return std::string();
        },
        [](const Refusal& refusal) { return refusal.field; }, [] { return std::string("another error"); });
}
inline std::string refused_text(const std::string& text) {
    return refused([&] { return read_chart(text); });
}
inline std::string refused_update(const Chart& held, std::string_view bytes) {
    return refused([&] { return read_update(held, bytes); });
}

class Draw {
public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    std::uint64_t bits() { return random_(); }
    int upto(int most) { return static_cast<int>(random_() % static_cast<unsigned>(most + 1)); }
    bool once_in(int n) { return upto(n - 1) == 0; }
    std::string name(int most) { return "n" + std::to_string(upto(most)); }

private:
    std::mt19937_64 random_;
};

inline Route any_route(Draw& draw, std::string name) {
    Route route;
    route.name = std::move(name);
    route.hostname = draw.name(5) + ".example";
    route.path_prefix = "/" + route.name + "/";
    route.kind = draw.once_in(2) ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.timeout = std::chrono::milliseconds(1 + draw.upto(3));
    route.target_latency = std::chrono::milliseconds(draw.upto(2));
    route.priority = draw.upto(2);
    for (int shares = 1 + draw.upto(2); shares > 0; --shares)
        route.to.push_back({draw.name(9), 1u + static_cast<unsigned>(draw.upto(99))});
    route.max_attempts = 1 + draw.upto(2);
    route.is_public = draw.once_in(2);
    return route;
}
inline Tenant any_tenant(Draw& draw, std::string name) {
    Tenant tenant;
    tenant.name = std::move(name);
    for (int keys = draw.upto(3); keys > 0; --keys)
        tenant.api_keys.push_back(tenant.name + "-key-" + draw.name(1000));
    if (draw.once_in(2)) tenant.priority = draw.upto(3);
    if (draw.once_in(2)) tenant.rate_per_s = draw.upto(50) + 0.1;
    tenant.burst = draw.upto(3);
    return tenant;
}
// In another order.
template <class Row>
Rows<Row> turned(const Rows<Row>& rows) {
    std::vector<Row> turned(rows.begin(), rows.end());
    std::reverse(turned.begin(), turned.end());
    return turned;
}
// With rows in the order of their names.
inline Chart any_chart(Draw& draw, int most) {
    Chart chart;
    chart.version = 1 + static_cast<unsigned>(draw.upto(1000));
    const auto names = [&] {
        std::set<std::string> names;
        for (int n = draw.upto(most); n > 0; --n) names.insert(draw.name(2 * most));
        return names;
    };
    for (const std::string& name : names()) chart.routes.push_back(any_route(draw, name));
    for (const std::string& name : names()) chart.services.push_back({name, "/health", draw.upto(2) * 100});
    if (!draw.once_in(5)) {
        chart.tenants.emplace();
        for (const std::string& name : names()) chart.tenants->push_back(any_tenant(draw, name));
    }
    if (draw.once_in(2)) chart.limits.max_body_bytes = 1000;
    return chart;
}

// Some of each table's rows changed, taken away and added.
inline Chart changed(Draw& draw, const Chart& from, int most) {
    const Chart other = any_chart(draw, most);
    Chart to = other;
    const auto mix = [&](auto& into, const auto& old, const auto& added, auto change) {
        std::map<std::string, std::decay_t<decltype(old.front())>> rows;
        for (const auto& row : added)
            if (draw.once_in(3)) rows[row.name] = row;
        for (const auto& row : old)
            if (!draw.once_in(4)) rows[row.name] = row;
        into.clear();
        for (auto& [name, row] : rows) {
            if (draw.once_in(8)) change(row);
            into.push_back(row);
        }
    };
    mix(to.routes, from.routes, other.routes, [](Route& route) { route.priority += 7; });
    mix(to.services, from.services, other.services, [](Service& service) { service.max_connections += 7; });
    if (to.tenants && from.tenants)
        mix(*to.tenants, *from.tenants, *other.tenants,
            [&](Tenant& tenant) { tenant.api_keys.push_back("new-" + draw.name(1 << 30)); });
    return to;
}

}    // namespace shaletray::configuration
