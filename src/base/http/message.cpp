#include "base/http/message.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace shaletray::http {
namespace {

// Bytes of a chunk's size line or of all trailers together, so that a peer cannot send them without end.
constexpr std::size_t kMaxChunkLineLength = 1024;

char to_lower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool is_token_character(char character) {
    return (character >= '0' && character <= '9') ||
           (to_lower(character) >= 'a' && to_lower(character) <= 'z') ||
           (character != '\0' && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
}

bool is_visible_character(char character) {
    return static_cast<unsigned char>(character) > 0x20 && character != 0x7f;
}

// Control characters are rejected in values: another parser may read a bare CR or NUL as the start of a
// further header.
bool is_value_character(char character) {
    return is_visible_character(character) || character == ' ' || character == '\t';
}

// Whether a comma-separated list contains the token, regardless of case.
bool list_contains(std::string_view list, std::string_view token) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equals_ignore_case(trim(list.substr(0, comma)), token)) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

int hex_digit(char character) {
    if (character >= '0' && character <= '9') return character - '0';
    const char lowercase = to_lower(character);
    return lowercase >= 'a' && lowercase <= 'f' ? lowercase - 'a' + 10 : -1;
}

}    // namespace

bool equals_ignore_case(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char left_character, char right_character) {
                          return to_lower(left_character) == to_lower(right_character);
                      });
}

std::string_view trim(std::string_view text) {
    const auto is_blank = [](char character) { return character == ' ' || character == '\t'; };
    while (!text.empty() && is_blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && is_blank(text.back())) text.remove_suffix(1);
    return text;
}

// ---- chunked transfer coding ----

ChunkDecoder::Step ChunkDecoder::decode(char* bytes, std::size_t length) {
    Step step;
    const auto malformed = [&] {
        step.status = ParseStatus::Malformed;
        return step;
    };
    while (step.consumed < length) {
        if (state_ == State::Data) {
            const auto copied_size =
                static_cast<std::size_t>(std::min<std::uint64_t>(chunk_remaining_, length - step.consumed));
            std::memmove(bytes + step.payload_size, bytes + step.consumed, copied_size);
            step.payload_size += copied_size;
            step.consumed += copied_size;
            chunk_remaining_ -= copied_size;
            if (chunk_remaining_ == 0) state_ = State::DataCr;
            continue;
        }
        const char character = bytes[step.consumed++];
        if (++line_length_ > kMaxChunkLineLength) return malformed();
        switch (state_) {
            case State::Size:
                if (const int digit = hex_digit(character); digit >= 0) {
                    if (++size_digits_ > 8) return malformed();
                    chunk_remaining_ = chunk_remaining_ * 16 + static_cast<std::uint64_t>(digit);
                    break;
                }
                if (size_digits_ == 0) return malformed();
                if (character == '\r') state_ = State::SizeEnd;
                else if (character == ';' || character == ' ' || character == '\t') state_ = State::Extension;
                else return malformed();
                break;
            case State::Extension:
                if (character == '\r') state_ = State::SizeEnd;
                else if (!is_value_character(character)) return malformed();
                break;
            case State::SizeEnd:
                if (character != '\n') return malformed();
                state_ = chunk_remaining_ == 0 ? State::LineStart : State::Data;
                size_digits_ = 0;
                line_length_ = 0;
                break;
            case State::DataCr:
                if (character != '\r') return malformed();
                state_ = State::DataLf;
                break;
            case State::DataLf:
                if (character != '\n') return malformed();
                state_ = State::Size;
                line_length_ = 0;
                break;
            case State::LineStart: state_ = character == '\r' ? State::LastLf : State::Trailer; break;
            case State::Trailer:
                if (character == '\r') state_ = State::TrailerLf;
                break;
            case State::TrailerLf:
                if (character != '\n') return malformed();
                state_ = State::LineStart;
                break;
            case State::LastLf:
                if (character != '\n') return malformed();
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
    const std::string_view received = buffer.unread();
    const std::size_t end = received.find("\r\n\r\n", scanned_size_ < 3 ? 0 : scanned_size_ - 3);
    scanned_size_ = received.size();
    if (end == std::string_view::npos) {
        if (received.size() > limits_.max_head_size) return fail(ParseError::HeadTooLarge);
        // An invalid start line is rejected at once: its sender may never send an empty line.
        if (!received.empty() && !is_token_character(received.front()) && received != "\r")
            return fail(ParseError::Malformed);
        return ParseStatus::Incomplete;
    }
    if (end + 4 > limits_.max_head_size) return fail(ParseError::HeadTooLarge);
    const std::string_view head = received.substr(0, end + 2);
    std::size_t position = head.find("\r\n");
    if (!parse_start_line(head, position))
        return fail(error_ == ParseError::None ? ParseError::Malformed : error_);
    for (position += 2; position < head.size();) {
        const std::size_t line_end = head.find("\r\n", position);
        if (headers_.size() >= limits_.max_headers) return fail(ParseError::HeadTooLarge);
        if (!parse_header_line(head, position, line_end)) return fail(ParseError::Malformed);
        position = line_end + 2;
    }
    head_size_ = end + 4;
    return ParseStatus::Complete;
}

bool Parser::parse_start_line(std::string_view head, std::size_t end) {
    const std::string_view line = head.substr(0, end);
    if (!std::all_of(line.begin(), line.end(), is_value_character)) return false;
    const auto parse_version = [this](std::string_view text) {
        if (!text.starts_with("HTTP/1.") || text.size() != 8 || text[7] < '0' || text[7] > '9') return false;
        is_http10_ = text[7] == '0';
        return true;
    };
    const std::size_t first_space = line.find(' ');
    if (first_space == std::string_view::npos) return false;
    if (kind_ == Kind::Response) {
        if (!parse_version(line.substr(0, first_space))) return false;
        const std::string_view code = line.substr(first_space + 1, 3);
        const auto [parsed_end, error] =
            std::from_chars(code.data(), code.data() + code.size(), status_code_);
        if (error != std::errc{} || parsed_end != code.data() + 3 || status_code_ < 100) return false;
        return line.size() == first_space + 4 || line[first_space + 4] == ' ';
    }
    const std::size_t second_space = line.find(' ', first_space + 1);
    if (second_space == std::string_view::npos || !parse_version(line.substr(second_space + 1))) return false;
    method_ = {0, first_space};
    std::size_t position = first_space + 1;
    // The absolute form repeats the host (RFC 9112, 3.2.2); only the path is used.
    constexpr std::string_view kScheme = "http://";
    if (equals_ignore_case(line.substr(position, kScheme.size()), kScheme))
        position = std::min(line.find('/', position + kScheme.size()), second_space);
    target_ = {position, second_space - position};
    const std::string_view method = line.substr(0, first_space),
                           target = line.substr(position, second_space - position);
    return !method.empty() && std::all_of(method.begin(), method.end(), is_token_character) &&
           target.starts_with('/') && std::all_of(target.begin(), target.end(), is_visible_character);
}

bool Parser::parse_header_line(std::string_view head, std::size_t offset, std::size_t end) {
    const std::string_view line = head.substr(offset, end - offset);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    if (!std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), is_token_character))
        return false;
    if (!std::all_of(line.begin(), line.end(), is_value_character)) return false;
    const std::string_view value = trim(line.substr(colon + 1));
    const auto value_offset = static_cast<std::size_t>(value.data() - head.data());
    headers_.push_back({{offset, colon}, {value.empty() ? end : value_offset, value.size()}});
    return true;
}

// Determines the body's framing. Conflicting framings or lengths are rejected, since two parsers could see
// different messages (request smuggling).
ParseStatus Parser::read_framing(const Buffer& buffer) {
    bool has_length = false;
    keep_alive_ = !is_http10_;
    for (const Header& field : headers_) {
        const std::string_view name = view(buffer, field.name), value = view(buffer, field.value);
        if (equals_ignore_case(name, "Content-Length")) {
            std::uint64_t length = 0;
            const auto [parsed_end, error] =
                std::from_chars(value.data(), value.data() + value.size(), length);
            if (error != std::errc{} || parsed_end != value.data() + value.size())
                return fail(ParseError::Malformed);
            if (has_length && length != content_length_) return fail(ParseError::Malformed);
            has_length = true;
            content_length_ = length;
        } else if (equals_ignore_case(name, "Transfer-Encoding")) {
            if (framing_ == Framing::Chunked || !equals_ignore_case(value, "chunked"))
                return fail(ParseError::Unsupported);
            framing_ = Framing::Chunked;
        } else if (equals_ignore_case(name, "Connection")) {
            if (list_contains(value, "close")) keep_alive_ = false;
            else if (is_http10_ && list_contains(value, "keep-alive")) keep_alive_ = true;
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
    const std::size_t payload_end = head_size_ + body_size_;
    const ChunkDecoder::Step step =
        chunk_decoder_.decode(buffer.data() + payload_end, buffer.size() - payload_end);
    body_size_ += step.payload_size;
    buffer.erase(payload_end + step.payload_size, step.consumed - step.payload_size);
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
    for (const Header& field : headers_) {
        if (equals_ignore_case(view(buffer, field.name), name)) return view(buffer, field.value);
    }
    return {};
}

std::size_t Parser::header_count(const Buffer& buffer, std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(headers_.begin(), headers_.end(), [&](const Header& field) {
        return equals_ignore_case(view(buffer, field.name), name);
    }));
}

void Parser::consume_body(Buffer& buffer, std::size_t count) {
    buffer.erase(head_size_, count);
    if (framing_ == Framing::Length) content_length_ -= count;
    body_size_ -= count;
}

}    // namespace shaletray::http
