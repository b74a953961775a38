#include "data_plane/plans/change_replicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace shaletray::plans {
namespace {

constexpr std::uint64_t kAhead = 16;    // entries that are on the board at once

std::string place_field(int gateway) { return fmt::format("bookat:{}", gateway); }
std::string entry_field(std::uint64_t version) { return fmt::format("book:{}", version); }

template <class Number>
std::optional<Number> number(std::string_view text, int base) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

}    // namespace

Spread::Spread(int me, int gateways, bool keeper, const Book& book, Take take)
    : me_(me), gateways_(gateways), keeper_(keeper), book_(book), take_(std::move(take)) {}

std::string Spread::own() const { return fmt::format("{}:{:016x}", book_.version(), book_.chain()); }

// The first entry that a gateway lacks which has said where it is, or has said nothing.
std::uint64_t Spread::first_lacking() const {
    std::uint64_t least = book_.version();
    for (int i = 0; i < gateways_; ++i) {
        if (i == me_) continue;
        const auto it = places_.find(i);
        least = std::min(least, it == places_.end() ? 0 : it->second.version);
    }
    return least + 1;
}

std::vector<std::pair<std::string, std::string>> Spread::to_write() {
    std::vector<std::pair<std::string, std::string>> out;
    if (shown_ != own()) out.emplace_back(place_field(me_), own());
    if (!keeper_) return out;
    for (std::uint64_t v = first_lacking(); v <= book_.version() && v < first_lacking() + kAhead; ++v) {
        const Change& c = book_.log()[v - 1];
        if (const auto it = up_.find(v); it != up_.end() && it->second == c.chain) continue;
        out.emplace_back(entry_field(v), write_change(c));
        ++stats_.put;
    }
    return out;
}

std::vector<std::string> Spread::wanted() {
    std::vector<std::string> out;
    if (keeper_) {
        for (int i = 0; i < gateways_; ++i) out.push_back(place_field(i));
        for (std::uint64_t v = first_lacking(); v <= book_.version() && v < first_lacking() + kAhead; ++v)
            out.push_back(entry_field(v));
    } else {
        out.push_back(place_field(me_));
        for (std::uint64_t v = book_.version() + 1; v <= book_.version() + kAhead; ++v)
            out.push_back(entry_field(v));
    }
    return out;
}

void Spread::absent(const std::string& field) {
    if (field == entry_field(book_.version() + 1)) current_ = true;
    if (field == place_field(me_)) shown_.clear();
    else if (field.starts_with("book:"))
        if (const auto v = number<std::uint64_t>(std::string_view(field).substr(5), 10)) up_.erase(*v);
}

void Spread::heard(const std::string& field, const std::string& value, TimePoint) {
    if (field.starts_with("bookat:")) {
        const auto gateway = number<int>(std::string_view(field).substr(7), 10);
        const std::size_t colon = value.find(':');
        const auto version = number<std::uint64_t>(std::string_view(value).substr(0, colon), 10);
        const auto chain = colon == std::string::npos
                               ? std::nullopt
                               : number<std::uint64_t>(std::string_view(value).substr(colon + 1), 16);
        if (!gateway || !version || !chain) {
            ++stats_.bad_values;
            if (gateway == me_) shown_.clear();
            return;
        }
        if (*gateway == me_) {
            shown_ = value;
            return;
        }
        // Further than the keeper, or the same place with other entries: that is another book.
        const std::uint64_t at = version.value_or(0), of = chain.value_or(0);
        const bool ours = at <= book_.version() && (at == 0 || book_.log()[at - 1].chain == of);
        stats_.foreign += !ours && keeper_;
        places_[*gateway] = ours ? Place{at, of} : Place{book_.version(), book_.chain()};
        return;
    }
    const auto version =
        number<std::uint64_t>(std::string_view(field).substr(std::min<std::size_t>(5, field.size())), 10);
    if (!version) return;
    try {
        const Change c = read_change(value);
        if (keeper_) {
            if (up_.size() > 4 * kAhead) up_.clear();
            up_[*version] = c.chain;
        } else if (c.version == book_.version() + 1) {
            take_(c);
            ++stats_.heard;
        }
    } catch (const BadChange&) {
        ++(keeper_ ? stats_.bad_values : stats_.foreign);
        up_.erase(*version);
    }
}

SpreadStats Spread::stats() const {
    SpreadStats s = stats_;
    for (const auto& [gateway, place] : places_) s.behind += place.version < book_.version();
    return s;
}

}    // namespace shaletray::plans
