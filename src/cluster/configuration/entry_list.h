// A copy-on-write list of configuration entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace shaletray::configuration {

// A sequence of entries in chunks that copies of the list share (copy on write). Consecutive configurations
// differ in few entries: only the chunks of changed entries are copied, and the cached properties of the
// others (hash sums, sortedness) stay valid. Lists that share chunks may be read from several threads, but
// may be modified only while no other thread copies or modifies one of them.
template <class Entry>
class EntryList {
public:
    static constexpr std::size_t kTypicalChunkSize = 64, kMaxChunkSize = 96;    // entries per chunk
    struct Chunk {
        std::vector<Entry> entries;
        // Set by the builder of the chunk, and reset when an entry may be modified:
        bool has_hash_sum = false;
        bool is_sorted = false;        // the entries ascend by name
        std::uint64_t hash_sum = 0;    // sum of the hashes of the entries
    };
    using Chunks = std::vector<std::shared_ptr<Chunk>>;

    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = Entry;
        using difference_type = std::ptrdiff_t;
        using pointer = const Entry*;
        using reference = const Entry&;
        iterator() = default;
        explicit iterator(const std::shared_ptr<Chunk>* chunk) : chunk_(chunk) {}
        const Entry& operator*() const { return (*chunk_)->entries[index_]; }
        const Entry* operator->() const { return &**this; }
        iterator& operator++() {
            if (++index_ == (*chunk_)->entries.size()) {
                ++chunk_;
                index_ = 0;
            }
            return *this;
        }
        iterator operator++(int) {
            iterator previous = *this;
            ++*this;
            return previous;
        }
        bool operator==(const iterator&) const = default;

    private:
        const std::shared_ptr<Chunk>* chunk_ = nullptr;
        std::size_t index_ = 0;
    };
    using const_iterator = iterator;
    using value_type = Entry;

    EntryList() = default;
    EntryList(std::initializer_list<Entry> entries) {
        for (const Entry& entry : entries) push_back(entry);
    }
    EntryList(std::vector<Entry> entries) {
        for (Entry& entry : entries) push_back(std::move(entry));
    }

    iterator begin() const { return iterator(chunks_.data()); }
    iterator end() const { return iterator(chunks_.data() + chunks_.size()); }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    const Entry& front() const { return chunks_.front()->entries.front(); }
    const Entry& back() const { return chunks_.back()->entries.back(); }
    // Both overloads search linearly for the entry's chunk: to visit many entries, iterate. The non-const
    // overload assumes that the caller modifies the entry: it copies a shared chunk and resets its cached
    // properties.
    const Entry& operator[](std::size_t index) const {
        const std::size_t chunk_index = locate_chunk(index);
        return chunks_[chunk_index]->entries[index];
    }
    Entry& operator[](std::size_t index) {
        const std::size_t chunk_index = locate_chunk(index);
        return writable_chunk(chunk_index).entries[index];
    }
    void push_back(Entry entry) {
        if (chunks_.empty() || chunks_.back()->entries.size() >= kTypicalChunkSize)
            chunks_.push_back(std::make_shared<Chunk>());
        writable_chunk(chunks_.size() - 1).entries.push_back(std::move(entry));
        ++size_;
    }
    void clear() { *this = {}; }
    bool operator==(const EntryList& other) const {
        if (size_ != other.size_) return false;
        for (iterator a = begin(), b = other.begin(); a != end(); ++a, ++b)
            if (&*a != &*b && *a != *b) return false;
        return true;
    }

    // No chunk is empty or larger than kMaxChunkSize.
    const Chunks& chunks() const { return chunks_; }
    // Appends a chunk without copying it; it stays shared with other lists.
    void push_back(std::shared_ptr<Chunk> chunk) {
        size_ += chunk->entries.size();
        chunks_.push_back(std::move(chunk));
    }

private:
    // Returns the number of the chunk that holds the entry at `index`, and sets `index` to the entry's index
    // within that chunk.
    std::size_t locate_chunk(std::size_t& index) const {
        std::size_t chunk_index = 0;
        for (; index >= chunks_[chunk_index]->entries.size(); ++chunk_index)
            index -= chunks_[chunk_index]->entries.size();
        return chunk_index;
    }
    // Returns the chunk for modification, after copying it where it is shared.
    Chunk& writable_chunk(std::size_t chunk_index) {
        std::shared_ptr<Chunk>& chunk = chunks_[chunk_index];
        if (chunk.use_count() > 1) chunk = std::make_shared<Chunk>(*chunk);
        chunk->has_hash_sum = chunk->is_sorted = false;
        return *chunk;
    }

    Chunks chunks_;
    std::size_t size_ = 0;
};

}    // namespace shaletray::configuration
