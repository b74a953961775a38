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

// Control characters have no place in a value: a bare CR or NUL there may be read as another header
// elsewhere.
bool is_value(char c) { return is_visible(c) || c == ' ' || c == '\t'; }

// Whether a comma-separated list holds the word.
bool lists(std::string_view list, std::string_view word) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (same_name(trimmed(list.substr(0, comma)), word)) return true;
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

bool same_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

// ---- chunks ----

ChunkDecoder::Step ChunkDecoder::decode(char* bytes, std::size_t length) {
    Step step;
    const auto bad = [&] {
        step.status = Status::Bad;
        return step;
    };
    while (step.used < length) {
        if (state_ == State::Data) {
            const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, length - step.used));
            std::memmove(bytes + step.payload, bytes + step.used, n);
            step.payload += n;
            step.used += n;
            left_ -= n;
            if (left_ == 0) state_ = State::DataCr;
            continue;
        }
        const char c = bytes[step.used++];
        if (++line_ > kLongestChunkLine) return bad();
        switch (state_) {
            case State::Size:
                if (const int digit = hex_digit(c); digit >= 0) {
                    if (++digits_ > 8) return bad();
                    left_ = left_ * 16 + static_cast<std::uint64_t>(digit);
                    break;
                }
                if (digits_ == 0) return bad();
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
                state_ = left_ == 0 ? State::LineStart : State::Data;
                digits_ = 0;
                line_ = 0;
                break;
            case State::DataCr:
                if (c != '\r') return bad();
                state_ = State::DataLf;
                break;
            case State::DataLf:
                if (c != '\n') return bad();
                state_ = State::Size;
                line_ = 0;
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
                step.status = Status::Done;
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
    headers_ = std::move(headers);    // its memory serves the next message
}

Status Parser::bad(Fault fault) {
    fault_ = fault;
    return Status::Bad;
}

Status Parser::parse(Buffer& buffer) {
    if (fault_ != Fault::None) return Status::Bad;
    if (!head_done()) {
        // An empty line before a request is to be passed over.
        while (kind_ == Kind::Request && buffer.unread().starts_with("\r\n")) {
            buffer.consume(2);
            scanned_ = 0;
        }
        if (const Status status = parse_head(buffer); status != Status::Done) return status;
        if (const Status status = read_framing(buffer); status != Status::Done) return status;
    }
    const Status status = parse_body(buffer);
    whole_ = status == Status::Done;
    return status;
}

Status Parser::parse_head(const Buffer& buffer) {
    const std::string_view all = buffer.unread();
    const std::size_t end = all.find("\r\n\r\n", scanned_ < 3 ? 0 : scanned_ - 3);
    scanned_ = all.size();
    if (end == std::string_view::npos) {
        if (all.size() > limits_.head) return bad(Fault::HeadTooLarge);
        // What can be no start line is refused at once: its sender may never send an empty line.
        if (!all.empty() && !is_token(all.front()) && all != "\r") return bad(Fault::Malformed);
        return Status::More;
    }
    if (end + 4 > limits_.head) return bad(Fault::HeadTooLarge);
    const std::string_view head = all.substr(0, end + 2);
    std::size_t at = head.find("\r\n");
    if (!parse_start_line(head, at)) return bad(fault_ == Fault::None ? Fault::Malformed : fault_);
    for (at += 2; at < head.size();) {
        const std::size_t line_end = head.find("\r\n", at);
        if (headers_.size() >= limits_.headers) return bad(Fault::HeadTooLarge);
        if (!parse_header_line(head, at, line_end)) return bad(Fault::Malformed);
        at = line_end + 2;
    }
    head_ = end + 4;
    return Status::Done;
}

bool Parser::parse_start_line(std::string_view head, std::size_t end) {
    const std::string_view line = head.substr(0, end);
    if (!std::all_of(line.begin(), line.end(), is_value)) return false;
    const auto version = [this](std::string_view text) {
        if (!text.starts_with("HTTP/1.") || text.size() != 8 || text[7] < '0' || text[7] > '9') return false;
        http10_ = text[7] == '0';
        return true;
    };
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos) return false;
    if (kind_ == Kind::Response) {
        if (!version(line.substr(0, first))) return false;
        const std::string_view code = line.substr(first + 1, 3);
        const auto [stop, error] = std::from_chars(code.data(), code.data() + code.size(), status_);
        if (error != std::errc{} || stop != code.data() + 3 || status_ < 100) return false;
        return line.size() == first + 4 || line[first + 4] == ' ';
    }
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos || !version(line.substr(second + 1))) return false;
    method_ = {0, first};
    std::size_t at = first + 1;
    // The absolute form names the host once more (RFC 9112, 3.2.2); what counts is the path.
    constexpr std::string_view kScheme = "http://";
    if (same_name(line.substr(at, kScheme.size()), kScheme))
        at = std::min(line.find('/', at + kScheme.size()), second);
    target_ = {at, second - at};
    const std::string_view method = line.substr(0, first), target = line.substr(at, second - at);
    return !method.empty() && std::all_of(method.begin(), method.end(), is_token) &&
           target.starts_with('/') && std::all_of(target.begin(), target.end(), is_visible);
}

bool Parser::parse_header_line(std::string_view head, std::size_t at, std::size_t end) {
    const std::string_view line = head.substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    if (!std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), is_token)) return false;
    if (!std::all_of(line.begin(), line.end(), is_value)) return false;
    const std::string_view value = trimmed(line.substr(colon + 1));
    const auto value_at = static_cast<std::size_t>(value.data() - head.data());
    headers_.push_back({{at, colon}, {value.empty() ? end : value_at, value.size()}});
    return true;
}

// How long the body is. Two framings, or two lengths, would let two readers see different messages.
Status Parser::read_framing(const Buffer& buffer) {
    bool has_length = false;
    keep_alive_ = !http10_;
    for (const Header& h : headers_) {
        const std::string_view name = view(buffer, h.name), value = view(buffer, h.value);
        if (same_name(name, "Content-Length")) {
            std::uint64_t length = 0;
            const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
            if (error != std::errc{} || stop != value.data() + value.size()) return bad(Fault::Malformed);
            if (has_length && length != length_) return bad(Fault::Malformed);
            has_length = true;
            length_ = length;
        } else if (same_name(name, "Transfer-Encoding")) {
            if (framing_ == Framing::Chunked || !same_name(value, "chunked")) return bad(Fault::Unsupported);
            framing_ = Framing::Chunked;
        } else if (same_name(name, "Connection")) {
            if (lists(value, "close")) keep_alive_ = false;
            else if (http10_ && lists(value, "keep-alive")) keep_alive_ = true;
        } else if (same_name(name, "Expect")) {
            expects_continue_ = same_name(value, "100-continue");
        }
    }
    if (framing_ == Framing::Chunked) return has_length ? bad(Fault::Malformed) : Status::Done;
    const bool empty = kind_ == Kind::Response && (status_ < 200 || status_ == 204 || status_ == 304);
    if (empty) return Status::Done;
    if (!has_length && kind_ == Kind::Response) {
        framing_ = Framing::UntilClose;
        keep_alive_ = false;
        return Status::Done;
    }
    if (has_length) framing_ = Framing::Length;
    return length_ > limits_.body ? bad(Fault::BodyTooLarge) : Status::Done;
}

Status Parser::parse_body(Buffer& buffer) {
    if (framing_ == Framing::None) return Status::Done;
    if (framing_ == Framing::Length) {
        body_ = static_cast<std::size_t>(std::min<std::uint64_t>(length_, buffer.size() - head_));
        return body_ == length_ ? Status::Done : Status::More;
    }
    if (framing_ == Framing::UntilClose) {
        body_ = buffer.size() - head_;
        return body_ > limits_.body ? bad(Fault::BodyTooLarge) : Status::More;
    }
    const std::size_t raw = head_ + body_;
    const ChunkDecoder::Step step = chunks_.decode(buffer.data() + raw, buffer.size() - raw);
    body_ += step.payload;
    buffer.cut(raw + step.payload, step.used - step.payload);
    if (step.status == Status::Bad) return bad(Fault::Malformed);
    if (body_ > limits_.body) return bad(Fault::BodyTooLarge);
    return step.status;
}

Status Parser::end() {
    if (fault_ == Fault::None && head_done() && framing_ == Framing::UntilClose) return Status::Done;
    return bad(Fault::Malformed);
}

std::string_view Parser::header(const Buffer& b, std::string_view name) const {
    for (const Header& h : headers_) {
        if (same_name(view(b, h.name), name)) return view(b, h.value);
    }
    return {};
}

std::size_t Parser::count(const Buffer& b, std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        headers_.begin(), headers_.end(), [&](const Header& h) { return same_name(view(b, h.name), name); }));
}

void Parser::drop_body(Buffer& buffer, std::size_t count) {
    buffer.cut(head_, count);
    if (framing_ == Framing::Length) length_ -= count;
    body_ -= count;
}

}    // namespace shaletray::http
