// Rows in the order of their names.
#pragma once

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>
#include <vector>

namespace shaletray::chart {

template <class Row>
bool by_name(const Row& a, const Row& b) {
    return a.name < b.name;
}

// Puts rows into the order of their names, and gives the place that each came from; empty where they had it.
template <class Row>
std::vector<std::uint32_t> sort_rows(std::vector<Row>& rows) {
    if (std::is_sorted(rows.begin(), rows.end(), by_name<Row>)) return {};
    std::vector<std::uint32_t> from(rows.size());
    std::iota(from.begin(), from.end(), 0u);
    std::stable_sort(from.begin(), from.end(),
                     [&](std::uint32_t a, std::uint32_t b) { return rows[a].name < rows[b].name; });
    std::vector<Row> sorted;
    sorted.reserve(rows.size());
    for (const std::uint32_t at : from) sorted.push_back(std::move(rows[at]));
    rows = std::move(sorted);
    return from;
}

}    // namespace shaletray::chart
