#include <algorithm>
#include <utility>

#include "chart/chart.h"
#include "chart/names.h"

namespace shaletray::chart {

struct Table::Index {
    Finder routes, keys;
    std::size_t longest = 0;       // prefix
    bool without_slash = false;    // some prefix ends without one

    Index(std::size_t routes, std::size_t keys) : routes(routes), keys(keys) {}
};

Table::Table(Chart chart) : chart_(std::move(chart)) {
    std::size_t keys = 0;
    if (chart_.tenants)
        for (const Tenant& tenant : *chart_.tenants) keys += tenant.api_keys.size();
    const auto index = std::make_shared<Index>(chart_.routes.size(), keys);
    for (std::uint32_t row = 0; row < chart_.routes.size(); ++row) {
        const Route& route = chart_.routes[row];
        index->routes.add(route_hash(bare_host(route.hostname), route.path_prefix), row);
        index->longest = std::max(index->longest, route.path_prefix.size());
        if (!route.path_prefix.ends_with('/')) index->without_slash = true;
    }
    if (chart_.tenants)
        for (std::uint32_t row = 0; row < chart_.tenants->size(); ++row)
            for (const std::string_view key : (*chart_.tenants)[row].api_keys)
                index->keys.add(key_hash(key), row);
    index_ = index;
}

const Route* Table::route(std::string_view host, std::string_view path) const {
    host = bare_host(host);
    path = path.substr(0, path.find('?'));
    std::uint32_t best = Finder::kNone;
    RunningHash hash = begin_route_hash(host);
    const auto look = [&](std::size_t length) {
        const std::uint32_t found = index_->routes.find(hash.value(), [&](std::uint32_t row) {
            const Route& route = chart_.routes[row];
            return route.path_prefix == path.substr(0, length) && same_host(bare_host(route.hostname), host);
        });
        if (found != Finder::kNone) best = found;
    };
    // A prefix ends with a slash, or before one, or with the path.
    for (std::size_t at = 0; at <= std::min(path.size(), index_->longest); ++at) {
        const bool end = at == path.size();
        if (index_->without_slash && at > 0 && (end || path[at] == '/')) look(at);
        if (end) break;
        hash.take(path[at]);
        if (path[at] == '/') look(at + 1);
    }
    return best == Finder::kNone ? nullptr : &chart_.routes[best];
}

const Tenant* Table::tenant(std::string_view key) const {
    if (!chart_.tenants) return nullptr;
    const std::uint32_t row = index_->keys.find(key_hash(key), [&](std::uint32_t row) {
        const Keys& keys = (*chart_.tenants)[row].api_keys;
        return std::find(keys.begin(), keys.end(), key) != keys.end();
    });
    return row == Finder::kNone ? nullptr : &(*chart_.tenants)[row];
}

const std::string& Table::pick(const Route& route, std::uint64_t draw) {
    std::uint64_t whole = 0;
    for (const Share& share : route.to) whole += share.weight;
    // The draw as a part of the whole, by the upper half of their product.
    const std::uint64_t high = (draw >> 32) * whole, low = (draw & 0xffffffff) * whole;
    std::uint64_t left = (high + (low >> 32)) >> 32;
    for (const Share& share : route.to) {
        if (left < share.weight) return share.service;
        left -= share.weight;
    }
    return route.to.back().service;    // not reached: the part is below the whole
}

}    // namespace shaletray::chart
