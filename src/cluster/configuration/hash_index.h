// Rows found by a hash of what they are known by: one flat piece of memory, eight bytes a place, and the rows
// stay where they are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shaletray::configuration {

class HashIndex {
public:
    static constexpr std::uint32_t kNone = 0xffffffff;

    explicit HashIndex(std::size_t capacity) : slots_(capacity + capacity / 2 + 1) {}

    // `same` tells of a row whether it is the one sought: two may hash alike.
    template <class Predicate>
    std::uint32_t find(std::uint64_t hash, Predicate matches) const {
        for (std::size_t slot = home_slot(fingerprint_of(hash)); slots_[slot].entry != kNone;
             slot = next_slot(slot))
            if (slots_[slot].fingerprint == fingerprint_of(hash) && matches(slots_[slot].entry))
                return slots_[slot].entry;
        return kNone;
    }
    void add(std::uint64_t hash, std::uint32_t entry) {
        std::size_t slot = home_slot(fingerprint_of(hash));
        while (slots_[slot].entry != kNone) slot = next_slot(slot);
        slots_[slot] = {fingerprint_of(hash), entry};
        ++count_;
    }
    // What was added so.
    void remove(std::uint64_t hash, std::uint32_t entry) {
        std::size_t gap = home_slot(fingerprint_of(hash));
        while (slots_[gap].entry != entry || slots_[gap].fingerprint != fingerprint_of(hash))
            gap = next_slot(gap);
        // Those behind that found their own place taken close the gap.
        for (std::size_t slot = next_slot(gap); slots_[slot].entry != kNone; slot = next_slot(slot))
            if (probe_distance(home_slot(slots_[slot].fingerprint), slot) >= probe_distance(gap, slot)) {
                slots_[gap] = slots_[slot];
                gap = slot;
            }
        slots_[gap] = {};
        --count_;
    }
    std::size_t count() const { return count_; }
    // Neither too crowded for so many nor far too large.
    bool fits(std::size_t entry_count) const {
        return entry_count <= slots_.size() / 4 * 3 &&
               (entry_count >= slots_.size() / 4 || slots_.size() < 64);
    }

private:
    struct Slot {
        std::uint32_t fingerprint = 0, entry = kNone;
    };
    static std::uint32_t fingerprint_of(std::uint64_t hash) { return static_cast<std::uint32_t>(hash); }
    std::size_t home_slot(std::uint32_t fingerprint) const {
        return (std::uint64_t{fingerprint} * slots_.size()) >> 32;
    }
    std::size_t next_slot(std::size_t slot) const { return slot + 1 == slots_.size() ? 0 : slot + 1; }
    std::size_t probe_distance(std::size_t from, std::size_t to) const {
        return to >= from ? to - from : to + slots_.size() - from;
    }

    std::vector<Slot> slots_;    // never full
    std::size_t count_ = 0;
};

}    // namespace shaletray::configuration
