// A hash table from key hashes to entry numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shaletray::configuration {

// Maps 64-bit key hashes to entry numbers; the caller stores the entries themselves. Open addressing with
// linear probing in one block of memory, eight bytes per slot. The table never grows: the caller must check
// fits() before it adds more entries than the table was created for.
class HashIndex {
public:
    static constexpr std::uint32_t kNone = 0xffffffff;    // no entry

    explicit HashIndex(std::size_t capacity) : slots_(capacity + capacity / 2 + 1) {}

    // Returns the entry with that hash for which `matches` is true (hashes may collide), or kNone.
    template <class Predicate>
    std::uint32_t find(std::uint64_t hash, Predicate matches) const {
        for (std::size_t slot = home_slot(fingerprint_of(hash)); slots_[slot].entry != kNone;
             slot = next_slot(slot))
            if (slots_[slot].fingerprint == fingerprint_of(hash) && matches(slots_[slot].entry))
                return slots_[slot].entry;
        return kNone;
    }
    // Adds an entry. At least one slot must remain free afterwards.
    void add(std::uint64_t hash, std::uint32_t entry) {
        std::size_t slot = home_slot(fingerprint_of(hash));
        while (slots_[slot].entry != kNone) slot = next_slot(slot);
        slots_[slot] = {fingerprint_of(hash), entry};
        ++count_;
    }
    // Removes an entry, which must have been added with that hash.
    void remove(std::uint64_t hash, std::uint32_t entry) {
        std::size_t gap = home_slot(fingerprint_of(hash));
        while (slots_[gap].entry != entry || slots_[gap].fingerprint != fingerprint_of(hash))
            gap = next_slot(gap);
        // Later entries of the probe sequence move into the gap unless it precedes their home slot.
        for (std::size_t slot = next_slot(gap); slots_[slot].entry != kNone; slot = next_slot(slot))
            if (probe_distance(home_slot(slots_[slot].fingerprint), slot) >= probe_distance(gap, slot)) {
                slots_[gap] = slots_[slot];
                gap = slot;
            }
        slots_[gap] = {};
        --count_;
    }
    std::size_t count() const { return count_; }
    // Whether the table size suits `entry_count` entries: at most three quarters full, at least one quarter
    // unless the table is small.
    bool fits(std::size_t entry_count) const {
        return entry_count <= slots_.size() / 4 * 3 &&
               (entry_count >= slots_.size() / 4 || slots_.size() < 64);
    }

private:
    // A fingerprint is the lower half of a hash. It determines the home slot and avoids most calls of
    // `matches`.
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

    std::vector<Slot> slots_;    // at least one is free, so that every search terminates
    std::size_t count_ = 0;
};

}    // namespace shaletray::configuration
