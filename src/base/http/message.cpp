#include "base/http/message.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace shaletray::http {
namespace {

constexpr std::size_t kLongestChunkLine = 1024;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool is_token(char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
}

bool is_visible(char c) { return static_cast<unsigned char>(c) > 0x20 && c != 0x7f; }

// Control characters are rejected in values: another parser may read a bare CR or NUL as the start of a
// further header.
bool is_value(char c) { return is_visible(c) || c == ' ' || c == '\t'; }

// Whether a comma-separated list contains the token.
bool lists(std::string_view list, std::string_view word) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equals_ignore_case(trim(list.substr(0, comma)), word)) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    const char l = lower(c);
    return l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
}

}    // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

// ---- chunks ----

ChunkDecoder::Step ChunkDecoder::decode(char* bytes, std::size_t length) {
    Step step;
    const auto bad = [&] {
        step.status = ParseStatus::Malformed;
        return step;
    };
    while (step.consumed < length) {
        if (state_ == State::Data) {
            const auto n =
                static_cast<std::size_t>(std::min<std::uint64_t>(chunk_remaining_, length - step.consumed));
            std::memmove(bytes + step.payload_size, bytes + step.consumed, n);
            step.payload_size += n;
            step.consumed += n;
            chunk_remaining_ -= n;
            if (chunk_remaining_ == 0) state_ = State::DataCr;
            continue;
        }
        const char c = bytes[step.consumed++];
        if (++line_length_ > kLongestChunkLine) return bad();
        switch (state_) {
            case State::Size:
                if (const int digit = hex_digit(c); digit >= 0) {
                    if (++size_digits_ > 8) return bad();
                    chunk_remaining_ = chunk_remaining_ * 16 + static_cast<std::uint64_t>(digit);
                    break;
                }
                if (size_digits_ == 0) return bad();
                if (c == '\r') state_ = State::SizeEnd;
                else if (c == ';' || c == ' ' || c == '\t') state_ = State::Extension;
                else return bad();
                break;
            case State::Extension:
                if (c == '\r') state_ = State::SizeEnd;
                else if (!is_value(c)) return bad();
                break;
            case State::SizeEnd:
                if (c != '\n') return bad();
                state_ = chunk_remaining_ == 0 ? State::LineStart : State::Data;
                size_digits_ = 0;
                line_length_ = 0;
                break;
            case State::DataCr:
                if (c != '\r') return bad();
                state_ = State::DataLf;
                break;
            case State::DataLf:
                if (c != '\n') return bad();
                state_ = State::Size;
                line_length_ = 0;
                break;
            case State::LineStart: state_ = c == '\r' ? State::LastLf : State::Trailer; break;
            case State::Trailer:
                if (c == '\r') state_ = State::TrailerLf;
                break;
            case State::TrailerLf:
                if (c != '\n') return bad();
                state_ = State::LineStart;
                break;
            case State::LastLf:
                if (c != '\n') return bad();
                step.status = ParseStatus::Complete;
                return step;
            case State::Data: break;
        }
    }
    return step;
}

// ---- messages ----

void Parser::reset() {
    std::vector<Header> headers = std::move(headers_);
    headers.clear();
    *this = Parser(kind_, limits_);
    headers_ = std::move(headers);    // keeps its memory for the next message
}

ParseStatus Parser::fail(ParseError parse_error) {
    error_ = parse_error;
    return ParseStatus::Malformed;
}

ParseStatus Parser::parse(Buffer& buffer) {
    if (error_ != ParseError::None) return ParseStatus::Malformed;
    if (!head_complete()) {
        // An empty line before a request is skipped (RFC 9112, 2.2).
        while (kind_ == Kind::Request && buffer.unread().starts_with("\r\n")) {
            buffer.consume(2);
            scanned_size_ = 0;
        }
        if (const ParseStatus status = parse_head(buffer); status != ParseStatus::Complete) return status;
        if (const ParseStatus status = read_framing(buffer); status != ParseStatus::Complete) return status;
    }
    const ParseStatus status = parse_body(buffer);
    is_complete_ = status == ParseStatus::Complete;
    return status;
}

ParseStatus Parser::parse_head(const Buffer& buffer) {
    const std::string_view all = buffer.unread();
    const std::size_t end = all.find("\r\n\r\n", scanned_size_ < 3 ? 0 : scanned_size_ - 3);
    scanned_size_ = all.size();
    if (end == std::string_view::npos) {
        if (all.size() > limits_.max_head_size) return fail(ParseError::HeadTooLarge);
        // An invalid start line is rejected at once: its sender may never send an empty line.
        if (!all.empty() && !is_token(all.front()) && all != "\r") return fail(ParseError::Malformed);
        return ParseStatus::Incomplete;
    }
    if (end + 4 > limits_.max_head_size) return fail(ParseError::HeadTooLarge);
    const std::string_view head = all.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    if (!parse_start_line(head, at)) return fail(error_ == ParseError::None ? ParseError::Malformed : error_);
    for (at += 2; at < head.size();) {
        const std::size_t line_end = head.find("\r\n", at);
        if (headers_.size() >= limits_.max_headers) return fail(ParseError::HeadTooLarge);
        if (!parse_header_line(head, at, line_end)) return fail(ParseError::Malformed);
        at = line_end + 2;
    }
    head_size_ = end + 4;
    return ParseStatus::Complete;
}

bool Parser::parse_start_line(std::string_view head, std::size_t end) {
    const std::string_view line = head.substr(0, end);
    if (!std::all_of(line.begin(), line.end(), is_value)) return false;
    const auto version = [this](std::string_view text) {
        if (!text.starts_with("HTTP/1.") || text.size() != 8 || text[7] < '0' || text[7] > '9') return false;
        is_http10_ = text[7] == '0';
        return true;
    };
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos) return false;
    if (kind_ == Kind::Response) {
        if (!version(line.substr(0, first))) return false;
        const std::string_view code = line.substr(first + 1, 3);
        const auto [stop, error] = std::from_chars(code.data(), code.data() + code.size(), status_code_);
        if (error != std::errc{} || stop != code.data() + 3 || status_code_ < 100) return false;
        return line.size() == first + 4 || line[first + 4] == ' ';
    }
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos || !version(line.substr(second + 1))) return false;
    method_ = {0, first};
    std::size_t at = first + 1;
    // The absolute form repeats the host (RFC 9112, 3.2.2); only the path is used.
    constexpr std::string_view kScheme = "http://";
    if (equals_ignore_case(line.substr(at, kScheme.size()), kScheme))
        at = std::min(line.find('/', at + kScheme.size()), second);
    target_ = {at, second - at};
    const std::string_view method = line.substr(0, first), target = line.substr(at, second - at);
    return !method.empty() && std::all_of(method.begin(), method.end(), is_token) &&
           target.starts_with('/') && std::all_of(target.begin(), target.end(), is_visible);
}

bool Parser::parse_header_line(std::string_view head, std::size_t offset, std::size_t end) {
    const std::string_view line = head.substr(offset, end - offset);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    if (!std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), is_token)) return false;
    if (!std::all_of(line.begin(), line.end(), is_value)) return false;
    const std::string_view value = trim(line.substr(colon + 1));
    const auto value_at = static_cast<std::size_t>(value.data() - head.data());
    headers_.push_back({{offset, colon}, {value.empty() ? end : value_at, value.size()}});
    return true;
}

// Determines the body's framing. Conflicting framings or lengths are rejected, since two parsers could see
// different messages (request smuggling).
ParseStatus Parser::read_framing(const Buffer& buffer) {
    bool has_length = false;
    keep_alive_ = !is_http10_;
    for (const Header& h : headers_) {
        const std::string_view name = view(buffer, h.name), value = view(buffer, h.value);
        if (equals_ignore_case(name, "Content-Length")) {
            std::uint64_t length = 0;
            const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
            if (error != std::errc{} || stop != value.data() + value.size())
                return fail(ParseError::Malformed);
            if (has_length && length != content_length_) return fail(ParseError::Malformed);
            has_length = true;
            content_length_ = length;
        } else if (equals_ignore_case(name, "Transfer-Encoding")) {
            if (framing_ == Framing::Chunked || !equals_ignore_case(value, "chunked"))
                return fail(ParseError::Unsupported);
            framing_ = Framing::Chunked;
        } else if (equals_ignore_case(name, "Connection")) {
            if (lists(value, "close")) keep_alive_ = false;
            else if (is_http10_ && lists(value, "keep-alive")) keep_alive_ = true;
        } else if (equals_ignore_case(name, "Expect")) {
            expects_continue_ = equals_ignore_case(value, "100-continue");
        }
    }
    if (framing_ == Framing::Chunked) return has_length ? fail(ParseError::Malformed) : ParseStatus::Complete;
    const bool empty =
        kind_ == Kind::Response && (status_code_ < 200 || status_code_ == 204 || status_code_ == 304);
    if (empty) return ParseStatus::Complete;
    if (!has_length && kind_ == Kind::Response) {
        framing_ = Framing::UntilClose;
        keep_alive_ = false;
        return ParseStatus::Complete;
    }
    if (has_length) framing_ = Framing::Length;
    return content_length_ > limits_.max_body_size ? fail(ParseError::BodyTooLarge) : ParseStatus::Complete;
}

ParseStatus Parser::parse_body(Buffer& buffer) {
    if (framing_ == Framing::None) return ParseStatus::Complete;
    if (framing_ == Framing::Length) {
        body_size_ =
            static_cast<std::size_t>(std::min<std::uint64_t>(content_length_, buffer.size() - head_size_));
        return body_size_ == content_length_ ? ParseStatus::Complete : ParseStatus::Incomplete;
    }
    if (framing_ == Framing::UntilClose) {
        body_size_ = buffer.size() - head_size_;
        return body_size_ > limits_.max_body_size ? fail(ParseError::BodyTooLarge) : ParseStatus::Incomplete;
    }
    const std::size_t raw = head_size_ + body_size_;
    const ChunkDecoder::Step step = chunk_decoder_.decode(buffer.data() + raw, buffer.size() - raw);
    body_size_ += step.payload_size;
    buffer.erase(raw + step.payload_size, step.consumed - step.payload_size);
    if (step.status == ParseStatus::Malformed) return fail(ParseError::Malformed);
    if (body_size_ > limits_.max_body_size) return fail(ParseError::BodyTooLarge);
    return step.status;
}

ParseStatus Parser::finish() {
    if (error_ == ParseError::None && head_complete() && framing_ == Framing::UntilClose)
        return ParseStatus::Complete;
    return fail(ParseError::Malformed);
}

std::string_view Parser::header(const Buffer& buffer, std::string_view name) const {
    for (const Header& h : headers_) {
        if (equals_ignore_case(view(buffer, h.name), name)) return view(buffer, h.value);
    }
    return {};
}

std::size_t Parser::header_count(const Buffer& buffer, std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(headers_.begin(), headers_.end(), [&](const Header& h) {
        return equals_ignore_case(view(buffer, h.name), name);
    }));
}

void Parser::consume_body(Buffer& buffer, std::size_t count) {
    buffer.erase(head_size_, count);
    if (framing_ == Framing::Length) content_length_ -= count;
    body_size_ -= count;
}

}    // namespace shaletray::http
