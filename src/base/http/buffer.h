// A byte queue for one connection: bytes are appended at its end and consumed from its start. It grows as
// needed and is compacted in place.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace shaletray::http {

// Views of the content are valid until the next call that is not const.
class Buffer {
public:
    std::string_view unread() const { return {bytes_.data() + read_offset_, write_offset_ - read_offset_}; }
    char* data() { return bytes_.data() + read_offset_; }
    std::size_t size() const { return write_offset_ - read_offset_; }
    bool empty() const { return read_offset_ == write_offset_; }

    // Makes space for at least `min_size` more bytes and returns its address; unread bytes may move.
    char* reserve(std::size_t min_size);
    std::size_t writable_size() const { return bytes_.size() - write_offset_; }
    // Adds `count` bytes that were written at reserve()'s result.
    void commit(std::size_t count) { write_offset_ += count; }
    void append(std::string_view bytes);
    // Drops the first `count` unread bytes.
    void consume(std::size_t count);
    // Removes bytes from the middle of the unread ones.
    void erase(std::size_t offset, std::size_t count);

private:
    std::vector<char> bytes_;
    std::size_t read_offset_ = 0, write_offset_ = 0;
};

}    // namespace shaletray::http
