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

template <class Row>
class Rows {
public:
    static constexpr std::size_t kUsual = 64, kMost = 96;    // rows of a piece
    struct Piece {
        std::vector<Row> rows;
        // Told by who made it, and true until a row is touched:
        bool summed = false, in_order = false;    // in_order: by rising names
        std::uint64_t sum = 0;                    // of the rows' hashes
    };
    using Pieces = std::vector<std::shared_ptr<Piece>>;

    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = Row;
        using difference_type = std::ptrdiff_t;
        using pointer = const Row*;
        using reference = const Row&;
        iterator() = default;
        explicit iterator(const std::shared_ptr<Piece>* piece) : piece_(piece) {}
        const Row& operator*() const { return (*piece_)->rows[at_]; }
        const Row* operator->() const { return &**this; }
        iterator& operator++() {
            if (++at_ == (*piece_)->rows.size()) {
                ++piece_;
                at_ = 0;
            }
            return *this;
        }
        iterator operator++(int) {
            iterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const iterator&) const = default;

    private:
        const std::shared_ptr<Piece>* piece_ = nullptr;
        std::size_t at_ = 0;
    };
    using const_iterator = iterator;
    using value_type = Row;

    Rows() = default;
    Rows(std::initializer_list<Row> rows) {
        for (const Row& row : rows) push_back(row);
    }
    Rows(std::vector<Row> rows) {
        for (Row& row : rows) push_back(std::move(row));
    }

    iterator begin() const { return iterator(pieces_.data()); }
    iterator end() const { return iterator(pieces_.data() + pieces_.size()); }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    const Row& front() const { return pieces_.front()->rows.front(); }
    const Row& back() const { return pieces_.back()->rows.back(); }
    // These look the row's piece up: to see many rows, go from begin() to end(). What is not const takes it
    // that the row is changed.
    const Row& operator[](std::size_t at) const {
        const std::size_t piece = locate(at);
        return pieces_[piece]->rows[at];
    }
    Row& operator[](std::size_t at) {
        const std::size_t piece = locate(at);
        return own(piece).rows[at];
    }
    void push_back(Row row) {
        if (pieces_.empty() || pieces_.back()->rows.size() >= kUsual)
            pieces_.push_back(std::make_shared<Piece>());
        own(pieces_.size() - 1).rows.push_back(std::move(row));
        ++size_;
    }
    void clear() { *this = {}; }
    bool operator==(const Rows& other) const {
        if (size_ != other.size_) return false;
        for (iterator a = begin(), b = other.begin(); a != end(); ++a, ++b)
            if (&*a != &*b && *a != *b) return false;
        return true;
    }

    // None of them empty, nor above kMost.
    const Pieces& pieces() const { return pieces_; }
    void push_back(std::shared_ptr<Piece> piece) {
        size_ += piece->rows.size();
        pieces_.push_back(std::move(piece));
    }

private:
    // The piece of a row, whose place becomes that in its piece.
    std::size_t locate(std::size_t& at) const {
        std::size_t piece = 0;
        for (; at >= pieces_[piece]->rows.size(); ++piece) at -= pieces_[piece]->rows.size();
        return piece;
    }
    Piece& own(std::size_t piece) {
        std::shared_ptr<Piece>& held = pieces_[piece];
        if (held.use_count() > 1) held = std::make_shared<Piece>(*held);
        held->summed = held->in_order = false;
        return *held;
    }

    Pieces pieces_;
    std::size_t size_ = 0;
};

}    // namespace shaletray::configuration
