// A connection's one buffer: bytes are appended behind and consumed in front. It grows as needed and is
// compacted in place.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace shaletray::http {

class Buffer {
public:
    std::string_view unread() const { return {bytes_.data() + read_offset_, write_offset_ - read_offset_}; }
    char* data() { return bytes_.data() + read_offset_; }
    std::size_t size() const { return write_offset_ - read_offset_; }
    bool empty() const { return read_offset_ == write_offset_; }

    // Room for at least `least` more bytes; what was unread may move.
    char* reserve(std::size_t min_size);
    std::size_t writable_size() const { return bytes_.size() - write_offset_; }
    void commit(std::size_t count) { write_offset_ += count; }
    void append(std::string_view bytes);
    void consume(std::size_t count);
    // Takes bytes out from the middle of what is unread.
    void erase(std::size_t offset, std::size_t count);

private:
    std::vector<char> bytes_;
    std::size_t read_offset_ = 0, write_offset_ = 0;
};

}    // namespace shaletray::http
