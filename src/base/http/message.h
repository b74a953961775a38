// HTTP/1.1 messages as state machines over a connection's buffer. They know no socket: bytes are appended to
// the buffer, then the parser is asked how far it came. The message stays in the buffer until it is consumed,
// and all views of it are valid until then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/http/buffer.h"

namespace shaletray::http {

struct Limits {
    std::size_t head = 16 * 1024, body = 64 * 1024;
    std::size_t headers = 100;
};

enum class Status { More, Done, Bad };
enum class Fault { None, Malformed, HeadTooLarge, BodyTooLarge, Unsupported };

// Undoes the chunked coding, moving the payload together in place.
class ChunkDecoder {
public:
    struct Step {
        std::size_t used = 0, payload = 0;
        Status status = Status::More;
    };
    // Looks at `length` raw bytes; the payload among them ends up at `bytes`.
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
    std::uint64_t left_ = 0;
    std::size_t line_ = 0;
    int digits_ = 0;
};

class Parser {
public:
    enum class Kind { Request, Response };
    explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}

    Status parse(Buffer& buffer);
    // The other side has ended the connection in order: that is the end of an answer that states no length.
    // Bad where the message was to go on.
    Status end();
    void reset();

    // Of messages that begin from now on.
    void limit(const Limits& limits) { limits_ = limits; }
    const Limits& limits() const { return limits_; }
    Fault fault() const { return fault_; }
    bool head_done() const { return head_ > 0; }
    // Valid once the head is done, as long as the message is in the buffer.
    std::string_view method(const Buffer& b) const { return view(b, method_); }
    std::string_view target(const Buffer& b) const { return view(b, target_); }
    int status() const { return status_; }
    // The first of this name; empty where there is none.
    std::string_view header(const Buffer& b, std::string_view name) const;
    std::size_t count(const Buffer& b, std::string_view name) const;
    // All of them, in their order: name and value.
    std::size_t headers() const { return headers_.size(); }
    std::pair<std::string_view, std::string_view> header_at(const Buffer& b, std::size_t at) const {
        return {view(b, headers_[at].name), view(b, headers_[at].value)};
    }
    std::string_view body(const Buffer& b) const { return b.unread().substr(head_, body_); }
    bool whole() const { return whole_; }    // the last of it has been parsed
    bool keep_alive() const { return keep_alive_; }
    bool http10() const { return http10_; }
    // Of the body, where its length is stated: what of it is still in the buffer or to come.
    std::optional<std::uint64_t> length() const {
        return framing_ == Framing::Length ? std::optional(length_) : std::nullopt;
    }
    bool expects_continue() const { return expects_continue_; }
    // Of the whole message in the buffer, to be consumed when done with it.
    std::size_t size() const { return head_ + body_; }
    // Takes the first bytes of the body out, for one that is too long to be held, or never ends.
    void drop_body(Buffer& buffer, std::size_t count);

private:
    struct Span {
        std::size_t at = 0, length = 0;
    };
    struct Header {
        Span name, value;
    };
    enum class Framing { None, Length, Chunked, UntilClose };

    static std::string_view view(const Buffer& b, Span s) { return b.unread().substr(s.at, s.length); }
    Status bad(Fault fault);
    Status parse_head(const Buffer& buffer);
    bool parse_start_line(std::string_view head, std::size_t end);
    bool parse_header_line(std::string_view head, std::size_t at, std::size_t end);
    Status read_framing(const Buffer& buffer);
    Status parse_body(Buffer& buffer);

    Kind kind_;
    Limits limits_;
    Fault fault_ = Fault::None;
    std::size_t scanned_ = 0;
    std::size_t head_ = 0, body_ = 0;
    std::uint64_t length_ = 0;
    Framing framing_ = Framing::None;
    ChunkDecoder chunks_;
    Span method_, target_;
    int status_ = 0;
    bool http10_ = false, keep_alive_ = true, expects_continue_ = false, whole_ = false;
    std::vector<Header> headers_;
};

bool same_name(std::string_view a, std::string_view b);    // without regard to case
std::string_view trimmed(std::string_view text);

}    // namespace shaletray::http
