// How the book's entries reach all gateways over the board: the keeper puts up what somebody still lacks,
// each says how far it is, and all of it is written again where it does not stand there. Pure.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "data_plane/plans/field_exchange.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray::plans {

struct SpreadStats {
    std::uint64_t put = 0, heard = 0;
    std::uint64_t foreign = 0;    // entries or states of another book
    std::uint64_t bad_values = 0;
    std::size_t behind = 0;    // gateways that are not where this one is, as they last said
};

class Spread : public plans::Notices {
public:
    using Take = std::function<void(const Change&)>;    // throws BadChange

    // `book` outlives it; `take` puts an entry into that book.
    Spread(int me, int gateways, bool keeper, const Book& book, Take take);

    std::vector<std::pair<std::string, std::string>> to_write() override;
    std::vector<std::string> wanted() override;
    void heard(const std::string& field, const std::string& value, TimePoint now) override;
    void absent(const std::string& field) override;
    SpreadStats stats() const;
    // Nothing newer stood on the board when it was last read; a keeper has all there is. Until then a gateway
    // that starts may hold an old book.
    bool current() const { return keeper_ || current_; }

private:
    struct Place {
        std::uint64_t version = 0, chain = 0;
    };
    std::string own() const;
    std::uint64_t first_lacking() const;

    int me_, gateways_;
    bool keeper_, current_ = false;
    const Book& book_;
    Take take_;
    std::map<int, Place> places_;
    std::string shown_;                            // our own place as it stands on the board
    std::map<std::uint64_t, std::uint64_t> up_;    // entries that were read back, by their chain
    SpreadStats stats_;
};

}    // namespace shaletray::plans
