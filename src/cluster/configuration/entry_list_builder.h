// Builds and sorts entry lists.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/entry_list.h"

namespace shaletray::configuration {

// Whether the entries are sorted by name without duplicates.
template <class Entry>
bool is_strictly_ascending(const std::vector<Entry>& entries) {
    for (std::size_t i = 1; i < entries.size(); ++i)
        if (!(entries[i - 1].name < entries[i].name)) return false;
    return true;
}

// Builds an entry list from single entries and from chunks of other lists, in the order in which they are
// added, and computes the cached properties of new chunks.
template <class Entry>
class EntryListBuilder {
public:
    using Chunk = typename EntryList<Entry>::Chunk;

    void add(Entry entry) {
        pending_.push_back(std::move(entry));
        if (pending_.size() == kMaxPending) flush_pending(kMaxPending / 2);
    }
    // Adds a chunk of another list, which stays shared with that list.
    void add(const std::shared_ptr<Chunk>& chunk) {
        flush_pending(0);
        entries_.push_back(chunk);
    }
    // Returns the list of everything that was added. The builder must not be used after that.
    EntryList<Entry> build() {
        flush_pending(0);
        return std::move(entries_);
    }

private:
    // Enough entries to split the last ones into chunks of similar size, at most kMaxChunkSize each.
    static constexpr std::size_t kMaxPending = 2 * EntryList<Entry>::kTypicalChunkSize;

    // Moves the pending entries into chunks, except the last `keep_count` ones.
    void flush_pending(std::size_t keep_count) {
        std::size_t remaining = pending_.size() - keep_count;
        auto first = pending_.begin();
        while (remaining > 0) {
            const std::size_t chunk_size =
                remaining <= EntryList<Entry>::kMaxChunkSize ? remaining : remaining / 2;
            const auto last = first + static_cast<std::ptrdiff_t>(chunk_size);
            entries_.push_back(make_chunk(first, last));
            first = last;
            remaining -= chunk_size;
        }
        pending_.erase(pending_.begin(), first);
    }

    // Creates a chunk by moving the entries in [first, last).
    template <class Iterator>
    static std::shared_ptr<Chunk> make_chunk(Iterator first, Iterator last) {
        const auto chunk = std::make_shared<Chunk>();
        std::vector<Entry>& entries = chunk->entries;
        entries.assign(std::make_move_iterator(first), std::make_move_iterator(last));
        chunk->has_hash_sum = true;
        chunk->is_sorted = is_strictly_ascending(entries);
        for (const Entry& entry : entries) chunk->hash_sum += entry_hash(entry);
        return chunk;
    }

    EntryList<Entry> entries_;
    std::vector<Entry> pending_;
};

// Whether the list is sorted by name without duplicates.
template <class Entry>
bool is_sorted_by_name(const EntryList<Entry>& entries) {
    const std::string* last_name = nullptr;
    for (const auto& chunk : entries.chunks()) {
        if (last_name != nullptr && !(*last_name < chunk->entries.front().name)) return false;
        if (!chunk->is_sorted && !is_strictly_ascending(chunk->entries)) return false;
        last_name = &chunk->entries.back().name;
    }
    return true;
}

// Returns the entries sorted by name. A list that is already sorted is returned with its chunks shared.
template <class Entry>
EntryList<Entry> sorted_by_name(const EntryList<Entry>& entries) {
    if (is_sorted_by_name(entries)) return entries;
    std::vector<const Entry*> order;
    order.reserve(entries.size());
    for (const Entry& entry : entries) order.push_back(&entry);
    std::sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) { return a->name < b->name; });
    EntryListBuilder<Entry> builder;
    for (const Entry* const entry : order) builder.add(*entry);
    return builder.build();
}

}    // namespace shaletray::configuration
