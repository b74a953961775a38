// A connection's one buffer: bytes are appended behind and consumed in front. It grows as needed and is
// compacted in place.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace shaletray::http {

class Buffer {
public:
    std::string_view unread() const { return {bytes_.data() + begin_, end_ - begin_}; }
    char* data() { return bytes_.data() + begin_; }
    std::size_t size() const { return end_ - begin_; }
    bool empty() const { return begin_ == end_; }

    // Room for at least `least` more bytes; what was unread may move.
    char* prepare(std::size_t least);
    std::size_t room() const { return bytes_.size() - end_; }
    void commit(std::size_t count) { end_ += count; }
    void append(std::string_view bytes);
    void consume(std::size_t count);
    // Takes bytes out from the middle of what is unread.
    void cut(std::size_t offset, std::size_t count);

private:
    std::vector<char> bytes_;
    std::size_t begin_ = 0, end_ = 0;
};

}    // namespace shaletray::http
