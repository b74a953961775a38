// An incremental HTTP/1.1 parser over a connection's buffer, independent of sockets: bytes are appended to
// the buffer, then Parser::parse continues where it stopped. The message stays in the buffer until it is
// consumed, and views of it are valid until the buffer changes. All sizes are in bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/http/buffer.h"

namespace shaletray::http {

// Bounds of one message; a larger one is malformed.
struct Limits {
    std::size_t max_head_size = 16 * 1024, max_body_size = 64 * 1024;
    std::size_t max_headers = 100;
};

// Progress of a message, and why one was rejected.
enum class ParseStatus { Incomplete, Complete, Malformed };
enum class ParseError { None, Malformed, HeadTooLarge, BodyTooLarge, Unsupported };

// Decodes the chunked transfer coding in place; the payload is moved into one contiguous range.
class ChunkDecoder {
public:
    struct Step {
        std::size_t consumed = 0, payload_size = 0;
        ParseStatus status = ParseStatus::Incomplete;
    };
    // Decodes up to `length` raw bytes; the payload among them ends up at `bytes`.
    Step decode(char* bytes, std::size_t length);

private:
    enum class State {
        Size,
        Extension,
        SizeEnd,
        Data,
        DataCr,
        DataLf,
        LineStart,
        Trailer,
        TrailerLf,
        LastLf
    };
    State state_ = State::Size;
    std::uint64_t chunk_remaining_ = 0;
    std::size_t line_length_ = 0;
    int size_digits_ = 0;
};

// Parses one message after another: reset() begins the next. Accessors that take the buffer need the one that
// was parsed.
class Parser {
public:
    enum class Kind { Request, Response };
    explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}

    // Parses what was added to the buffer since the last call.
    ParseStatus parse(Buffer& buffer);
    // To be called when the peer has closed the connection in order, which ends a response without a
    // Content-Length. Malformed if the message is incomplete.
    ParseStatus finish();
    // Begins a new message; the buffer must have been consumed up to it.
    void reset();

    // Applies to messages that begin from now on.
    void set_limits(const Limits& limits) { limits_ = limits; }
    const Limits& limits() const { return limits_; }
    ParseError error() const { return error_; }
    bool head_complete() const { return head_size_ > 0; }
    // Valid once the head is complete, as long as the message is in the buffer.
    std::string_view method(const Buffer& buffer) const { return view(buffer, method_); }
    std::string_view target(const Buffer& buffer) const { return view(buffer, target_); }
    int status_code() const { return status_code_; }
    // The first header of this name, regardless of case; empty if there is none.
    std::string_view header(const Buffer& buffer, std::string_view name) const;
    std::size_t header_count(const Buffer& buffer, std::string_view name) const;
    // All headers in their order, as name and value.
    std::size_t total_headers() const { return headers_.size(); }
    std::pair<std::string_view, std::string_view> header_at(const Buffer& buffer, std::size_t index) const {
        return {view(buffer, headers_[index].name), view(buffer, headers_[index].value)};
    }
    std::string_view body(const Buffer& buffer) const {
        return buffer.unread().substr(head_size_, body_size_);
    }
    bool is_complete() const { return is_complete_; }    // parsed to its end
    bool keep_alive() const { return keep_alive_; }
    bool is_http10() const { return is_http10_; }
    // For a body with Content-Length: its bytes that are in the buffer or not received yet.
    std::optional<std::uint64_t> content_length() const {
        return framing_ == Framing::Length ? std::optional(content_length_) : std::nullopt;
    }
    bool expects_continue() const { return expects_continue_; }
    // Size of the message in the buffer, to be consumed when it has been handled.
    std::size_t message_size() const { return head_size_ + body_size_; }
    // Removes the first bytes of the body, to stream one that is too long to be buffered.
    void consume_body(Buffer& buffer, std::size_t count);

private:
    struct Span {
        std::size_t offset = 0, length = 0;
    };
    struct Header {
        Span name, value;
    };
    enum class Framing { None, Length, Chunked, UntilClose };

    static std::string_view view(const Buffer& buffer, Span span) {
        return buffer.unread().substr(span.offset, span.length);
    }
    ParseStatus fail(ParseError parse_error);
    ParseStatus parse_head(const Buffer& buffer);
    bool parse_start_line(std::string_view head, std::size_t end);
    bool parse_header_line(std::string_view head, std::size_t offset, std::size_t end);
    ParseStatus read_framing(const Buffer& buffer);
    ParseStatus parse_body(Buffer& buffer);

    Kind kind_;
    Limits limits_;
    ParseError error_ = ParseError::None;
    std::size_t scanned_size_ = 0;
    std::size_t head_size_ = 0, body_size_ = 0;
    std::uint64_t content_length_ = 0;
    Framing framing_ = Framing::None;
    ChunkDecoder chunk_decoder_;
    Span method_, target_;
    int status_code_ = 0;
    bool is_http10_ = false, keep_alive_ = true, expects_continue_ = false, is_complete_ = false;
    std::vector<Header> headers_;
};

// Compares ASCII text regardless of case.
bool equals_ignore_case(std::string_view left, std::string_view right);
// Returns `text` without leading and trailing spaces and tabs.
std::string_view trim(std::string_view text);

}    // namespace shaletray::http
