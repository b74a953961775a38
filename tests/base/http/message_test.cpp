// The message parser and the connection buffer, by tables of cases.
#include "base/http/message.h"

#include <gtest/gtest.h>

#include <string>

namespace shaletray::http {
namespace {

struct Result {
    ParseStatus status;
    ParseError fault;
    std::string body, rest;
    bool keep_alive;
};

// In pieces of so many bytes: where a message is cut must not change what is read.
Result read(Parser::Kind kind, const std::string& text, std::size_t piece) {
    Parser parser(kind, {256, 64, 8});
    Buffer buffer;
    ParseStatus status = ParseStatus::Incomplete;
    std::size_t at = 0;
    for (; at < text.size() && status == ParseStatus::Incomplete; at += piece) {
        buffer.append(text.substr(at, piece));
        status = parser.parse(buffer);
    }
    Result result{status, parser.error(), {}, {}, parser.keep_alive()};
    if (status != ParseStatus::Complete) return result;
    result.body = parser.body(buffer);
    buffer.consume(parser.message_size());
    result.rest = std::string(buffer.unread()) + (at < text.size() ? text.substr(at) : "");
    return result;
}

struct Case {
    const char* name;
    Parser::Kind kind;
    std::string text;
    ParseStatus status;
    ParseError fault;
    std::string body, rest;
    bool keep_alive;
};
constexpr auto kAsk = Parser::Kind::Request, kAnswer = Parser::Kind::Response;

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class Messages : public ::testing::TestWithParam<Case> {};

TEST_P(Messages, AreReadAlikeHoweverTheyAreCut) {
    const Case& c = GetParam();
    for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, c.text.size()}) {
        const Result r = read(c.kind, c.text, piece);
        EXPECT_EQ(r.status, c.status) << piece;
        EXPECT_EQ(r.fault, c.fault) << piece;
        if (c.status != ParseStatus::Complete) continue;
        EXPECT_EQ(r.body, c.body) << piece;
        EXPECT_EQ(r.rest, c.rest) << piece;
        EXPECT_EQ(r.keep_alive, c.keep_alive) << piece;
    }
}

const std::string kGet = "GET /a HTTP/1.1\r\n", kPost = "POST /a HTTP/1.1\r\n", kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table, Messages,
    ::testing::Values(
        Case{"plain", kAsk, kGet + "Host: b\r\n\r\n", ParseStatus::Complete, ParseError::None, "", "", true},
        Case{"empty_line_first", kAsk, "\r\n" + kGet + "\r\n", ParseStatus::Complete, ParseError::None, "",
             "", true},
        Case{"next_one_behind", kAsk, kGet + "\r\nGET", ParseStatus::Complete, ParseError::None, "", "GET",
             true},
        Case{"close", kAsk, kGet + "connection: x, Close\r\n\r\n", ParseStatus::Complete, ParseError::None,
             "", "", false},
        Case{"http10", kAsk, "GET /a HTTP/1.0\r\n\r\n", ParseStatus::Complete, ParseError::None, "", "",
             false},
        Case{"length", kAsk, kPost + "Content-Length: 3\r\n\r\nabcZ", ParseStatus::Complete, ParseError::None,
             "abc", "Z", true},
        Case{"chunks", kAsk, kPost + kChunked + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\nZ",
             ParseStatus::Complete, ParseError::None, "abcde", "Z", true},
        Case{"answer", kAnswer, kOk + "Content-Length: 2\r\n\r\nhi", ParseStatus::Complete, ParseError::None,
             "hi", "", true},
        Case{"no_body_status", kAnswer, "HTTP/1.1 204 No\r\n\r\n", ParseStatus::Complete, ParseError::None,
             "", "", true},
        Case{"cut_body", kAnswer, kOk + "Content-Length: 9\r\n\r\nhi", ParseStatus::Incomplete,
             ParseError::None, "", "", true},
        Case{"until_close", kAnswer, kOk + "\r\nhi", ParseStatus::Incomplete, ParseError::None, "", "",
             false},
        Case{"no_version", kAsk, "GET /a\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "", "",
             true},
        Case{"binary", kAsk, std::string("\x16\x03\x01", 3), ParseStatus::Malformed, ParseError::Malformed,
             "", "", true},
        Case{"no_slash", kAsk, "GET a HTTP/1.1\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "",
             "", true},
        Case{"no_colon", kAsk, kGet + "Host\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "", "",
             true},
        Case{"blank_name", kAsk, kGet + "Host : b\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "",
             "", true},
        Case{"bare_cr", kAsk, kGet + "A: b\rC: d\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "",
             "", true},
        Case{"two_lengths", kAsk, kPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             ParseStatus::Malformed, ParseError::Malformed, "", "", true},
        Case{"length_and_chunks", kAsk, kPost + "Content-Length: 1\r\n" + kChunked, ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"negative_length", kAsk, kPost + "Content-Length: -1\r\n\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"other_coding", kAsk, kPost + "Transfer-Encoding: gzip\r\n\r\n", ParseStatus::Malformed,
             ParseError::Unsupported, "", "", true},
        Case{"bad_chunk", kAsk, kPost + kChunked + "x\r\n", ParseStatus::Malformed, ParseError::Malformed, "",
             "", true},
        Case{"chunk_too_long", kAsk, kPost + kChunked + "2\r\nabc\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"huge_chunk", kAsk, kPost + kChunked + "fffffffff\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"large_body", kAsk, kPost + "Content-Length: 65\r\n\r\n", ParseStatus::Malformed,
             ParseError::BodyTooLarge, "", "", true},
        Case{"large_chunks", kAsk, kPost + kChunked + "41\r\n" + std::string(65, 'x') + "\r\n",
             ParseStatus::Malformed, ParseError::BodyTooLarge, "", "", true},
        Case{"large_head", kAsk, kGet + "A: " + std::string(300, 'x'), ParseStatus::Malformed,
             ParseError::HeadTooLarge, "", "", true},
        Case{"many_headers", kAsk, kGet + "A:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\n\r\n",
             ParseStatus::Malformed, ParseError::HeadTooLarge, "", "", true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Buffer, GrowsIsCompactedAndGivesBackWhatALargeMessageTook) {
    Buffer buffer;
    buffer.append(std::string(100, 'a') + "bcd");
    buffer.consume(100);
    buffer.erase(1, 1);
    buffer.append("e");
    EXPECT_EQ(buffer.unread(), "bde");
    buffer.append(std::string(100'000, 'x'));
    buffer.consume(buffer.size());
    EXPECT_EQ(buffer.writable_size(), 0U);
}

}    // namespace
}    // namespace shaletray::http
