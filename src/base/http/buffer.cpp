#include "base/http/buffer.h"

#include <algorithm>
#include <cstring>

namespace shaletray::http {
namespace {

// Bytes. A larger buffer is released once it is empty, so that idle connections need little memory.
constexpr std::size_t kMaxRetainedCapacity = 4 * 1024;

}    // namespace

char* Buffer::reserve(std::size_t min_size) {
    if (writable_size() < min_size && read_offset_ > 0) {
        std::memmove(bytes_.data(), bytes_.data() + read_offset_, size());
        write_offset_ -= read_offset_;
        read_offset_ = 0;
    }
    if (writable_size() < min_size) bytes_.resize(std::max(write_offset_ + min_size, bytes_.size() * 2));
    return bytes_.data() + write_offset_;
}

void Buffer::append(std::string_view bytes) {
    std::copy(bytes.begin(), bytes.end(), reserve(bytes.size()));
    commit(bytes.size());
}

void Buffer::consume(std::size_t count) {
    read_offset_ += std::min(count, size());
    if (!empty()) return;
    read_offset_ = write_offset_ = 0;
    if (bytes_.size() > kMaxRetainedCapacity) std::vector<char>().swap(bytes_);
}

void Buffer::erase(std::size_t offset, std::size_t count) {
    char* const position = data() + offset;
    std::memmove(position, position + count, size() - offset - count);
    write_offset_ -= count;
}

}    // namespace shaletray::http
