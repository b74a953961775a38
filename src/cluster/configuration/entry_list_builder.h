// Puts rows together into pieces, and tells of each what is to be known of it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

std::uint64_t row_hash(const Route& route);
std::uint64_t row_hash(const Service& service);
std::uint64_t row_hash(const Tenant& tenant);

template <class Row>
class Builder {
public:
    using Piece = typename Rows<Row>::Piece;

    void add(Row row) {
        loose_.push_back(std::move(row));
        if (loose_.size() == kLoose) close(kLoose / 2);
    }
    // As it stands, shared with the chart that it comes from.
    void add(const std::shared_ptr<Piece>& piece) {
        close(0);
        rows_.push_back(piece);
    }
    Rows<Row> done() {
        close(0);
        return std::move(rows_);
    }

private:
    // Enough to end with pieces of no more than kMost rows, none of them much smaller than the others.
    static constexpr std::size_t kLoose = 2 * Rows<Row>::kUsual;

    // Makes pieces of what is loose, but for so many.
    void close(std::size_t but) {
        std::size_t left = loose_.size() - but;
        auto from = loose_.begin();
        while (left > 0) {
            const std::size_t take = left <= Rows<Row>::kMost ? left : left / 2;
            const auto piece = std::make_shared<Piece>();
            piece->rows.assign(std::make_move_iterator(from),
                               std::make_move_iterator(from + static_cast<std::ptrdiff_t>(take)));
            piece->summed = piece->in_order = true;
            for (std::size_t i = 0; i < take; ++i) {
                piece->sum += row_hash(piece->rows[i]);
                if (i > 0 && !(piece->rows[i - 1].name < piece->rows[i].name)) piece->in_order = false;
            }
            rows_.push_back(piece);
            from += static_cast<std::ptrdiff_t>(take);
            left -= take;
        }
        loose_.erase(loose_.begin(), from);
    }

    Rows<Row> rows_;
    std::vector<Row> loose_;
};

// Whether all rows come by rising names.
template <class Row>
bool in_order(const Rows<Row>& rows) {
    const std::string* last = nullptr;
    for (const auto& piece : rows.pieces()) {
        if (last != nullptr && !(*last < piece->rows.front().name)) return false;
        if (!piece->in_order)
            for (std::size_t i = 1; i < piece->rows.size(); ++i)
                if (!(piece->rows[i - 1].name < piece->rows[i].name)) return false;
        last = &piece->rows.back().name;
    }
    return true;
}

// The same rows by rising names; pieces that are in order are shared.
template <class Row>
Rows<Row> ordered(const Rows<Row>& rows) {
    if (in_order(rows)) return rows;
    std::vector<const Row*> order;
    order.reserve(rows.size());
    for (const Row& row : rows) order.push_back(&row);
    std::sort(order.begin(), order.end(), [](const Row* a, const Row* b) { return a->name < b->name; });
    Builder<Row> builder;
    for (const Row* const row : order) builder.add(*row);
    return builder.done();
}

}    // namespace shaletray::configuration
