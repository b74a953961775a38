// An index of an entry list by the hashes of its lookup keys.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {

// Calls `visit` with the hash of each lookup key of the entry.
template <class Visitor>
void for_each_hash(const Route& route, Visitor visit) {
    visit(route_hash(host_without_port(route.hostname), route.path_prefix));
}
template <class Visitor>
void for_each_hash(const Tenant& tenant, Visitor visit) {
    for (const std::string_view key : tenant.api_keys) visit(api_key_hash(key));
}

// Finds the entries of a list by the hashes of their keys. It points to the list's chunks, which must outlive
// it. An entry's number in the hash index combines the slot of its chunk with its index within the chunk.
// Chunks that two lists share keep their slots, so that the index of one list can be derived from that of the
// other at a cost proportional to the chunks that differ.
template <class Entry>
class EntryIndex {
public:
    explicit EntryIndex(const EntryList<Entry>& entries) { build(entries); }
    // Derives the index from that of a previous list.
    EntryIndex(const EntryList<Entry>& entries, const EntryIndex& previous,
               const EntryList<Entry>& previous_entries)
        : EntryIndex(previous) {
        if (!update_chunks(previous_entries.chunks(), entries.chunks())) build(entries);
    }

    // Returns the entry with that hash for which `matches` is true (hashes may collide), or nullptr.
    template <class Predicate>
    const Entry* find(std::uint64_t hash, Predicate matches) const {
        const std::uint32_t found = hash_index_.find(
            hash, [&](std::uint32_t entry_number) { return matches(entry_at(entry_number)); });
        return found == HashIndex::kNone ? nullptr : &entry_at(found);
    }

private:
    // Entry numbers reserved per chunk; a power of two, so that the divisions below compile to shifts.
    static constexpr std::uint32_t kChunkCapacity = 128;
    static_assert(kChunkCapacity >= EntryList<Entry>::kMaxChunkSize);
    using Chunk = typename EntryList<Entry>::Chunk;
    using Chunks = typename EntryList<Entry>::Chunks;

    const Entry& entry_at(std::uint32_t entry_number) const {
        return chunks_by_slot_[entry_number / kChunkCapacity]->entries[entry_number % kChunkCapacity];
    }

    void build(const EntryList<Entry>& entries) {
        std::size_t hash_count = 0;
        for (const Entry& entry : entries) for_each_hash(entry, [&](std::uint64_t) { ++hash_count; });
        hash_index_ = HashIndex(hash_count);
        chunks_by_slot_.clear();
        free_slots_.clear();
        chunk_slots_.clear();
        for (const auto& chunk : entries.chunks()) chunk_slots_.push_back(add_chunk(*chunk));
    }

    // Replaces the indexed chunks by the new ones. Returns false where the index must be rebuilt instead.
    bool update_chunks(const Chunks& old_chunks, const Chunks& new_chunks) {
        if (!is_ascending(old_chunks) || !is_ascending(new_chunks)) return false;
        std::vector<std::uint32_t> chunk_slots = remove_missing_chunks(old_chunks, new_chunks);
        std::size_t hash_count = hash_index_.count();
        for (std::size_t i = 0; i < new_chunks.size(); ++i)
            if (chunk_slots[i] == HashIndex::kNone) hash_count += count_hashes(*new_chunks[i]);
        if (!hash_index_.fits(hash_count)) return false;
        for (std::size_t i = 0; i < new_chunks.size(); ++i)
            if (chunk_slots[i] == HashIndex::kNone) chunk_slots[i] = add_chunk(*new_chunks[i]);
        chunk_slots_ = std::move(chunk_slots);
        return true;
    }

    // Removes the old chunks that are not among the new ones. Returns the slot of each new chunk, or kNone
    // where it has none yet.
    std::vector<std::uint32_t> remove_missing_chunks(const Chunks& old_chunks, const Chunks& new_chunks) {
        std::vector<std::uint32_t> chunk_slots(new_chunks.size(), HashIndex::kNone);
        std::size_t new_index = 0;
        for (std::size_t old_index = 0; old_index < old_chunks.size(); ++old_index) {
            // Both lists are sorted by first name, so that shared chunks have the same order in both.
            while (new_index < new_chunks.size() &&
                   first_name(*new_chunks[new_index]) < first_name(*old_chunks[old_index]))
                ++new_index;
            if (new_index < new_chunks.size() && old_chunks[old_index] == new_chunks[new_index])
                chunk_slots[new_index++] = chunk_slots_[old_index];
            else remove_chunk(*old_chunks[old_index], chunk_slots_[old_index]);
        }
        return chunk_slots;
    }

    static const std::string& first_name(const Chunk& chunk) { return chunk.entries.front().name; }

    static bool is_ascending(const Chunks& chunks) {
        for (std::size_t i = 1; i < chunks.size(); ++i)
            if (!(first_name(*chunks[i - 1]) < first_name(*chunks[i]))) return false;
        return true;
    }

    // Indexes the entries of a chunk and returns its slot.
    std::uint32_t add_chunk(const Chunk& chunk) {
        const std::uint32_t slot = allocate_slot(&chunk);
        for_each_entry_hash(chunk, slot, [&](std::uint64_t hash, std::uint32_t entry_number) {
            hash_index_.add(hash, entry_number);
        });
        return slot;
    }

    void remove_chunk(const Chunk& chunk, std::uint32_t slot) {
        for_each_entry_hash(chunk, slot, [&](std::uint64_t hash, std::uint32_t entry_number) {
            hash_index_.remove(hash, entry_number);
        });
        free_slots_.push_back(slot);
    }

    std::uint32_t allocate_slot(const Chunk* chunk) {
        if (free_slots_.empty()) {
            chunks_by_slot_.push_back(chunk);
            return static_cast<std::uint32_t>(chunks_by_slot_.size() - 1);
        }
        const std::uint32_t slot = free_slots_.back();
        free_slots_.pop_back();
        chunks_by_slot_[slot] = chunk;
        return slot;
    }

    static std::size_t count_hashes(const Chunk& chunk) {
        std::size_t count = 0;
        for (const Entry& entry : chunk.entries) for_each_hash(entry, [&](std::uint64_t) { ++count; });
        return count;
    }

    template <class Visitor>
    static void for_each_entry_hash(const Chunk& chunk, std::uint32_t slot, Visitor visit) {
        for (std::uint32_t index = 0; index < chunk.entries.size(); ++index)
            for_each_hash(chunk.entries[index],
                          [&](std::uint64_t hash) { visit(hash, slot * kChunkCapacity + index); });
    }

    HashIndex hash_index_{0};
    std::vector<const Chunk*> chunks_by_slot_;
    std::vector<std::uint32_t> free_slots_;
    std::vector<std::uint32_t> chunk_slots_;    // slot of each chunk of the list, in order
};

}    // namespace shaletray::configuration
