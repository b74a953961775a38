// Rows found by a hash of what they are known by: one flat piece of memory, eight bytes a place, and the rows
// stay where they are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shaletray::configuration {

class Finder {
public:
    static constexpr std::uint32_t kNone = 0xffffffff;

    explicit Finder(std::size_t count) : places_(count + count / 2 + 1) {}

    // `same` tells of a row whether it is the one sought: two may hash alike.
    template <class Same>
    std::uint32_t find(std::uint64_t hash, Same same) const {
        for (std::size_t at = home(mark(hash)); places_[at].row != kNone; at = after(at))
            if (places_[at].mark == mark(hash) && same(places_[at].row)) return places_[at].row;
        return kNone;
    }
    void add(std::uint64_t hash, std::uint32_t row) {
        std::size_t at = home(mark(hash));
        while (places_[at].row != kNone) at = after(at);
        places_[at] = {mark(hash), row};
        ++count_;
    }
    // What was added so.
    void remove(std::uint64_t hash, std::uint32_t row) {
        std::size_t gap = home(mark(hash));
        while (places_[gap].row != row || places_[gap].mark != mark(hash)) gap = after(gap);
        // Those behind that found their own place taken close the gap.
        for (std::size_t at = after(gap); places_[at].row != kNone; at = after(at))
            if (distance(home(places_[at].mark), at) >= distance(gap, at)) {
                places_[gap] = places_[at];
                gap = at;
            }
        places_[gap] = {};
        --count_;
    }
    std::size_t count() const { return count_; }
    // Neither too crowded for so many nor far too large.
    bool suits(std::size_t count) const {
        return count <= places_.size() / 4 * 3 && (count >= places_.size() / 4 || places_.size() < 64);
    }

private:
    struct Place {
        std::uint32_t mark = 0, row = kNone;
    };
    static std::uint32_t mark(std::uint64_t hash) { return static_cast<std::uint32_t>(hash); }
    std::size_t home(std::uint32_t mark) const { return (std::uint64_t{mark} * places_.size()) >> 32; }
    std::size_t after(std::size_t at) const { return at + 1 == places_.size() ? 0 : at + 1; }
    std::size_t distance(std::size_t from, std::size_t to) const {
        return to >= from ? to - from : to + places_.size() - from;
    }

    std::vector<Place> places_;    // never full
    std::size_t count_ = 0;
};

}    // namespace shaletray::configuration
