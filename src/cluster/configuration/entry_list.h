// Rows of one kind, in pieces that charts share. What leads from one chart to the next changes few rows: only
// their pieces are made anew, and what is known of the others stays true.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace shaletray::configuration {

template <class Entry>
class EntryList {
public:
    static constexpr std::size_t kTypicalChunkSize = 64, kMaxChunkSize = 96;    // rows of a piece
    struct Chunk {
        std::vector<Entry> entries;
        // Told by who made it, and true until a row is touched:
        bool has_hash_sum = false, is_sorted = false;    // in_order: by rising names
        std::uint64_t hash_sum = 0;                      // of the rows' hashes
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
    const Entry& front() const { return chunks_.front()->rows.front(); }
    const Entry& back() const { return chunks_.back()->entries.back(); }
    // These look the row's piece up: to see many rows, go from begin() to end(). What is not const takes it
    // that the row is changed.
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

    // None of them empty, nor above kMost.
    const Chunks& chunks() const { return chunks_; }
    void push_back(std::shared_ptr<Chunk> chunk) {
        size_ += chunk->entries.size();
        chunks_.push_back(std::move(chunk));
    }

private:
    // The piece of a row, whose place becomes that in its piece.
    std::size_t locate_chunk(std::size_t& index) const {
        std::size_t chunk_index = 0;
        for (; index >= chunks_[chunk_index]->entries.size(); ++chunk_index)
            index -= chunks_[chunk_index]->entries.size();
        return chunk_index;
    }
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
