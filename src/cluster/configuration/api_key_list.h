// The API keys of one tenant.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <string>
#include <string_view>

namespace shaletray::configuration {

// A sequence of keys in one block of memory, as a configuration may have hundreds of thousands of tenants.
// Iterators yield string_views that are valid until the list changes. A key is not empty and contains no line
// feed.
class ApiKeyList {
public:
    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = std::string_view;
        using difference_type = std::ptrdiff_t;
        using pointer = const std::string_view*;
        using reference = std::string_view;
        iterator() = default;
        explicit iterator(std::string_view remaining) : remaining_(remaining) {}
        std::string_view operator*() const { return remaining_.substr(0, remaining_.find(kTerminator)); }
        iterator& operator++() {
            remaining_.remove_prefix(remaining_.find(kTerminator) + 1);
            return *this;
        }
        iterator operator++(int) {
            iterator previous = *this;
            ++*this;
            return previous;
        }
        // Compares iterators over the same list by the number of bytes that remain.
        bool operator==(const iterator& other) const { return remaining_.size() == other.remaining_.size(); }

    private:
        std::string_view remaining_;
    };
    using const_iterator = iterator;

    ApiKeyList() = default;
    ApiKeyList(std::initializer_list<std::string_view> keys) {
        for (const std::string_view key : keys) push_back(key);
    }
    void push_back(std::string_view key) { (text_ += key) += kTerminator; }
    void shrink_to_fit() { text_.shrink_to_fit(); }
    iterator begin() const { return iterator(text_); }
    iterator end() const { return iterator(); }
    bool empty() const { return text_.empty(); }
    // Takes time proportional to the total length of the keys.
    std::size_t size() const { return static_cast<std::size_t>(std::distance(begin(), end())); }
    bool operator==(const ApiKeyList&) const = default;

private:
    static constexpr char kTerminator = '\n';
    std::string text_;    // each key followed by its terminator
};

}    // namespace shaletray::configuration
