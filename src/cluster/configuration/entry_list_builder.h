// Puts rows together into pieces, and tells of each what is to be known of it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

std::uint64_t entry_hash(const Route& route);
std::uint64_t entry_hash(const Service& service);
std::uint64_t entry_hash(const Tenant& tenant);

template <class Entry>
class EntryListBuilder {
public:
    using Chunk = typename EntryList<Entry>::Chunk;

    void add(Entry entry) {
        pending_.push_back(std::move(entry));
        if (pending_.size() == kMaxPending) flush_pending(kMaxPending / 2);
    }
    // As it stands, shared with the chart that it comes from.
    void add(const std::shared_ptr<Chunk>& chunk) {
        flush_pending(0);
        entries_.push_back(chunk);
    }
    EntryList<Entry> build() {
        flush_pending(0);
        return std::move(entries_);
    }

private:
    // Enough to end with pieces of no more than kMost rows, none of them much smaller than the others.
    static constexpr std::size_t kMaxPending = 2 * EntryList<Entry>::kTypicalChunkSize;

    // Makes pieces of what is loose, but for so many.
    void flush_pending(std::size_t keep_count) {
        std::size_t remaining = pending_.size() - keep_count;
        auto first = pending_.begin();
        while (remaining > 0) {
            const std::size_t chunk_size =
                remaining <= EntryList<Entry>::kMaxChunkSize ? remaining : remaining / 2;
            const auto chunk = std::make_shared<Chunk>();
            chunk->entries.assign(std::make_move_iterator(first),
                                  std::make_move_iterator(first + static_cast<std::ptrdiff_t>(chunk_size)));
            chunk->has_hash_sum = chunk->is_sorted = true;
            for (std::size_t i = 0; i < chunk_size; ++i) {
                chunk->hash_sum += entry_hash(chunk->entries[i]);
                if (i > 0 && !(chunk->entries[i - 1].name < chunk->entries[i].name)) chunk->is_sorted = false;
            }
            entries_.push_back(chunk);
            first += static_cast<std::ptrdiff_t>(chunk_size);
            remaining -= chunk_size;
        }
        pending_.erase(pending_.begin(), first);
    }

    EntryList<Entry> entries_;
    std::vector<Entry> pending_;
};

// Whether all rows come by rising names.
template <class Entry>
bool is_sorted_by_name(const EntryList<Entry>& entries) {
    const std::string* last_name = nullptr;
    for (const auto& chunk : entries.chunks()) {
        if (last_name != nullptr && !(*last_name < chunk->entries.front().name)) return false;
        if (!chunk->is_sorted)
            for (std::size_t i = 1; i < chunk->entries.size(); ++i)
                if (!(chunk->entries[i - 1].name < chunk->entries[i].name)) return false;
        last_name = &chunk->entries.back().name;
    }
    return true;
}

// The same rows by rising names; pieces that are in order are shared.
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
