// Rows found by a hash of what they are known by: one flat piece of memory, eight bytes a place, and the rows
// stay where they are. Only ever added to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shaletray::chart {

class Finder {
public:
    static constexpr std::uint32_t kNone = 0xffffffff;

    explicit Finder(std::size_t most) : places_(most + most / 2 + 1) {}

    // `same` tells of a row whether it is the one sought: two may hash alike.
    template <class Same>
    std::uint32_t find(std::uint64_t hash, Same same) const {
        for (std::size_t at = home(hash); places_[at].row != kNone; at = after(at))
            if (places_[at].mark == mark(hash) && same(places_[at].row)) return places_[at].row;
        return kNone;
    }
    // At most as often as was said at first.
    void add(std::uint64_t hash, std::uint32_t row) {
        std::size_t at = home(hash);
        while (places_[at].row != kNone) at = after(at);
        places_[at] = {mark(hash), row};
    }

private:
    struct Place {
        std::uint32_t mark = 0, row = kNone;
    };
    static std::uint32_t mark(std::uint64_t hash) { return static_cast<std::uint32_t>(hash); }
    std::size_t home(std::uint64_t hash) const { return ((hash >> 32) * places_.size()) >> 32; }
    std::size_t after(std::size_t at) const { return at + 1 == places_.size() ? 0 : at + 1; }

    std::vector<Place> places_;    // never full: a third stays empty
};

// A hash that can be asked for after every character, for the prefixes of a path. FNV-1a, stirred at the end.
class RunningHash {
public:
    void take(char c) { state_ = (state_ ^ static_cast<unsigned char>(c)) * 0x100000001b3; }
    std::uint64_t value() const {
        std::uint64_t h = state_;
        h = (h ^ (h >> 32)) * 0x9e3779b97f4a7c15;
        h = (h ^ (h >> 29)) * 0xbf58476d1ce4e5b9;
        return h ^ (h >> 32);
    }

private:
    std::uint64_t state_ = 0xcbf29ce484222325;
};

}    // namespace shaletray::chart
