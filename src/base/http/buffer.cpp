#include "base/http/buffer.h"

#include <algorithm>
#include <cstring>

namespace shaletray::http {
namespace {

// What a large message needed is given back once it is done, so that idle connections stay small.
constexpr std::size_t kKept = 4 * 1024;

}    // namespace

char* Buffer::prepare(std::size_t least) {
    if (room() < least && begin_ > 0) {
        std::memmove(bytes_.data(), bytes_.data() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
    }
    if (room() < least) bytes_.resize(std::max(end_ + least, bytes_.size() * 2));
    return bytes_.data() + end_;
}

void Buffer::append(std::string_view bytes) {
    std::copy(bytes.begin(), bytes.end(), prepare(bytes.size()));
    commit(bytes.size());
}

void Buffer::consume(std::size_t count) {
    begin_ += std::min(count, size());
    if (!empty()) return;
    begin_ = end_ = 0;
    if (bytes_.size() > kKept) std::vector<char>().swap(bytes_);
}

void Buffer::cut(std::size_t offset, std::size_t count) {
    char* const at = data() + offset;
    std::memmove(at, at + count, size() - offset - count);
    end_ -= count;
}

}    // namespace shaletray::http
