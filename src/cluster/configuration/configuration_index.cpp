#include <algorithm>
#include <utility>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {
namespace {

template <class Each>
void each_hash(const Route& route, Each each) {
    each(route_hash(bare_host(route.hostname), route.path_prefix));
}
template <class Each>
void each_hash(const Tenant& tenant, Each each) {
    for (const std::string_view key : tenant.api_keys) each(key_hash(key));
}

// Rows by the hashes of what they are known by. The finder's number of a row is its piece's place here and
// its own in the piece, so that the pieces that two charts share keep their numbers.
template <class Row>
class RowIndex {
public:
    explicit RowIndex(const Rows<Row>& rows) { build(rows); }
    RowIndex(const Rows<Row>& rows, const RowIndex& other, const Rows<Row>& others) : RowIndex(other) {
        if (!follow(others.pieces(), rows.pieces())) build(rows);
    }

    // `same` tells of a row whether it is the one sought.
    template <class Same>
    const Row* find(std::uint64_t hash, Same same) const {
        const auto row = [&](std::uint32_t number) -> const Row& {
            return places_[number / kRoom]->rows[number % kRoom];
        };
        const std::uint32_t found =
            finder_.find(hash, [&](std::uint32_t number) { return same(row(number)); });
        return found == Finder::kNone ? nullptr : &row(found);
    }

private:
    static constexpr std::uint32_t kRoom = 128;
    static_assert(kRoom >= Rows<Row>::kMost);
    using Piece = typename Rows<Row>::Piece;
    using Pieces = typename Rows<Row>::Pieces;

    void build(const Rows<Row>& rows) {
        std::size_t hashes = 0;
        for (const Row& row : rows) each_hash(row, [&](std::uint64_t) { ++hashes; });
        finder_ = Finder(hashes);
        places_.clear();
        free_.clear();
        of_.clear();
        for (const auto& piece : rows.pieces()) {
            of_.push_back(place(piece.get()));
            each(*piece, of_.back(), [&](std::uint64_t hash, std::uint32_t n) { finder_.add(hash, n); });
        }
    }
    // From the pieces that are indexed to others. False where that has to be done from the start.
    bool follow(const Pieces& before, const Pieces& after) {
        if (!rising(before) || !rising(after)) return false;
        // By their first names: a piece that both have comes in the same order among those of either.
        const auto name = [](const Pieces& pieces, std::size_t at) -> const std::string& {
            return pieces[at]->rows.front().name;
        };
        std::vector<std::uint32_t> of(after.size(), Finder::kNone);
        for (std::size_t i = 0, j = 0; i < before.size();) {
            if (j < after.size() && before[i] == after[j]) {
                of[j++] = of_[i++];
            } else if (j < after.size() && name(after, j) < name(before, i)) {
                ++j;
            } else {
                each(*before[i], of_[i],
                     [&](std::uint64_t hash, std::uint32_t n) { finder_.remove(hash, n); });
                free_.push_back(of_[i++]);
            }
        }
        std::size_t hashes = finder_.count();
        const auto each_new = [&](auto act) {
            for (std::size_t j = 0; j < after.size(); ++j)
                if (of[j] == Finder::kNone) act(j);
        };
        each_new([&](std::size_t j) { each(*after[j], 0, [&](std::uint64_t, std::uint32_t) { ++hashes; }); });
        if (!finder_.suits(hashes)) return false;
        each_new([&](std::size_t j) {
            of[j] = place(after[j].get());
            each(*after[j], of[j], [&](std::uint64_t hash, std::uint32_t n) { finder_.add(hash, n); });
        });
        of_ = std::move(of);
        return true;
    }
    static bool rising(const Pieces& pieces) {
        for (std::size_t i = 1; i < pieces.size(); ++i)
            if (!(pieces[i - 1]->rows.front().name < pieces[i]->rows.front().name)) return false;
        return true;
    }
    std::uint32_t place(const Piece* piece) {
        if (free_.empty()) {
            places_.push_back(piece);
            return static_cast<std::uint32_t>(places_.size() - 1);
        }
        const std::uint32_t place = free_.back();
        free_.pop_back();
        places_[place] = piece;
        return place;
    }
    template <class Act>
    static void each(const Piece& piece, std::uint32_t place, Act act) {
        for (std::uint32_t at = 0; at < piece.rows.size(); ++at)
            each_hash(piece.rows[at], [&](std::uint64_t hash) { act(hash, place * kRoom + at); });
    }

    Finder finder_{0};
    std::vector<const Piece*> places_;
    std::vector<std::uint32_t> free_;
    std::vector<std::uint32_t> of_;    // the places of the chart's pieces, in their order
};

const Rows<Tenant>& tenants_of(const Chart& chart) {
    static const Rows<Tenant> kNone;
    return chart.tenants ? *chart.tenants : kNone;
}

}    // namespace

struct Table::Index {
    RowIndex<Route> routes;
    RowIndex<Tenant> keys;
    std::size_t longest = 0;       // prefix
    bool without_slash = false;    // some prefix ends without one

    explicit Index(const Chart& chart) : routes(chart.routes), keys(tenants_of(chart)) { measure(chart); }
    Index(const Chart& chart, const Index& other, const Chart& others)
        : routes(chart.routes, other.routes, others.routes),
          keys(tenants_of(chart), other.keys, tenants_of(others)) {
        measure(chart);
    }
    void measure(const Chart& chart) {
        for (const Route& route : chart.routes) {
            longest = std::max(longest, route.path_prefix.size());
            if (!route.path_prefix.ends_with('/')) without_slash = true;
        }
    }
};

Table::Table(Chart chart) : chart_(std::move(chart)), index_(std::make_shared<Index>(chart_)) {}
Table::Table(Chart chart, const Table& before)
    : chart_(std::move(chart)), index_(std::make_shared<Index>(chart_, *before.index_, before.chart_)) {}

const Route* Table::route(std::string_view host, std::string_view path) const {
    host = bare_host(host);
    path = path.substr(0, path.find('?'));
    const Route* best = nullptr;
    RunningHash hash = begin_route_hash(host);
    const auto look = [&](std::size_t length) {
        const Route* const found = index_->routes.find(hash.value(), [&](const Route& route) {
            return route.path_prefix == path.substr(0, length) && same_host(bare_host(route.hostname), host);
        });
        if (found != nullptr) best = found;
    };
    // A prefix ends with a slash, or before one, or with the path.
    for (std::size_t at = 0; at <= std::min(path.size(), index_->longest); ++at) {
        const bool end = at == path.size();
        if (index_->without_slash && at > 0 && (end || path[at] == '/')) look(at);
        if (end) break;
        hash.take(path[at]);
        if (path[at] == '/') look(at + 1);
    }
    return best;
}

const Tenant* Table::tenant(std::string_view key) const {
    return index_->keys.find(key_hash(key), [&](const Tenant& tenant) {
        return std::find(tenant.api_keys.begin(), tenant.api_keys.end(), key) != tenant.api_keys.end();
    });
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

}    // namespace shaletray::configuration
