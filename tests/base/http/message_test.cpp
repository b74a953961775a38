// Table-driven tests of the HTTP parser, and a test of the connection buffer.
#include "base/http/message.h"

#include <gtest/gtest.h>

#include <string>

namespace shaletray::http {
namespace {

struct Result {
    ParseStatus status;
    ParseError parse_error;
    std::string body, unparsed;
    bool keep_alive;
};

// Parses `text` as it arrives in pieces of `piece_size` bytes, which must not change the result.
Result parse_in_pieces(Parser::Kind kind, const std::string& text, std::size_t piece_size) {
    Parser parser(kind, {256, 64, 8});
    Buffer buffer;
    ParseStatus status = ParseStatus::Incomplete;
    std::size_t offset = 0;
    for (; offset < text.size() && status == ParseStatus::Incomplete; offset += piece_size) {
        buffer.append(text.substr(offset, piece_size));
        status = parser.parse(buffer);
    }
    Result result{status, parser.error(), {}, {}, parser.keep_alive()};
    if (status != ParseStatus::Complete) return result;
    result.body = parser.body(buffer);
    buffer.consume(parser.message_size());
    result.unparsed = std::string(buffer.unread()) + (offset < text.size() ? text.substr(offset) : "");
    return result;
}

struct Case {
    const char* name;
    Parser::Kind kind;
    std::string text;
    ParseStatus status;
    ParseError parse_error;
    std::string body, unparsed;
    bool keep_alive;
};
constexpr auto kRequest = Parser::Kind::Request, kResponse = Parser::Kind::Response;

void PrintTo(const Case& expected, std::ostream* out) { *out << expected.name; }

class HttpParser : public ::testing::TestWithParam<Case> {};

TEST_P(HttpParser, ResultIsIndependentOfFragmentation) {
    const Case& expected = GetParam();
    for (const std::size_t piece_size :
         {std::size_t{1}, std::size_t{2}, std::size_t{7}, expected.text.size()}) {
        const Result actual = parse_in_pieces(expected.kind, expected.text, piece_size);
        EXPECT_EQ(actual.status, expected.status) << piece_size;
        EXPECT_EQ(actual.parse_error, expected.parse_error) << piece_size;
        if (expected.status != ParseStatus::Complete) continue;
        EXPECT_EQ(actual.body, expected.body) << piece_size;
        EXPECT_EQ(actual.unparsed, expected.unparsed) << piece_size;
        EXPECT_EQ(actual.keep_alive, expected.keep_alive) << piece_size;
    }
}

const std::string kGet = "GET /a HTTP/1.1\r\n", kPost = "POST /a HTTP/1.1\r\n", kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table, HttpParser,
    ::testing::Values(
        Case{"plain", kRequest, kGet + "Host: b\r\n\r\n", ParseStatus::Complete, ParseError::None, "", "",
             true},
        Case{"empty_line_first", kRequest, "\r\n" + kGet + "\r\n", ParseStatus::Complete, ParseError::None,
             "", "", true},
        Case{"pipelined", kRequest, kGet + "\r\nGET", ParseStatus::Complete, ParseError::None, "", "GET",
             true},
        Case{"close", kRequest, kGet + "connection: x, Close\r\n\r\n", ParseStatus::Complete,
             ParseError::None, "", "", false},
        Case{"http10", kRequest, "GET /a HTTP/1.0\r\n\r\n", ParseStatus::Complete, ParseError::None, "", "",
             false},
        Case{"length", kRequest, kPost + "Content-Length: 3\r\n\r\nabcZ", ParseStatus::Complete,
             ParseError::None, "abc", "Z", true},
        Case{"chunks", kRequest, kPost + kChunked + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\nZ",
             ParseStatus::Complete, ParseError::None, "abcde", "Z", true},
        Case{"response", kResponse, kOk + "Content-Length: 2\r\n\r\nhi", ParseStatus::Complete,
             ParseError::None, "hi", "", true},
        Case{"no_body_status", kResponse, "HTTP/1.1 204 No\r\n\r\n", ParseStatus::Complete, ParseError::None,
             "", "", true},
        Case{"truncated_body", kResponse, kOk + "Content-Length: 9\r\n\r\nhi", ParseStatus::Incomplete,
             ParseError::None, "", "", true},
        Case{"until_close", kResponse, kOk + "\r\nhi", ParseStatus::Incomplete, ParseError::None, "", "",
             false},
        Case{"no_version", kRequest, "GET /a\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "", "",
             true},
        Case{"binary", kRequest, std::string("\x16\x03\x01", 3), ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"no_slash", kRequest, "GET a HTTP/1.1\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed,
             "", "", true},
        Case{"no_colon", kRequest, kGet + "Host\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed, "",
             "", true},
        Case{"blank_name", kRequest, kGet + "Host : b\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed,
             "", "", true},
        Case{"bare_cr", kRequest, kGet + "A: b\rC: d\r\n\r\n", ParseStatus::Malformed, ParseError::Malformed,
             "", "", true},
        Case{"two_lengths", kRequest, kPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             ParseStatus::Malformed, ParseError::Malformed, "", "", true},
        Case{"length_and_chunks", kRequest, kPost + "Content-Length: 1\r\n" + kChunked,
             ParseStatus::Malformed, ParseError::Malformed, "", "", true},
        Case{"negative_length", kRequest, kPost + "Content-Length: -1\r\n\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"other_coding", kRequest, kPost + "Transfer-Encoding: gzip\r\n\r\n", ParseStatus::Malformed,
             ParseError::Unsupported, "", "", true},
        Case{"bad_chunk", kRequest, kPost + kChunked + "x\r\n", ParseStatus::Malformed, ParseError::Malformed,
             "", "", true},
        Case{"chunk_too_long", kRequest, kPost + kChunked + "2\r\nabc\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"huge_chunk", kRequest, kPost + kChunked + "fffffffff\r\n", ParseStatus::Malformed,
             ParseError::Malformed, "", "", true},
        Case{"large_body", kRequest, kPost + "Content-Length: 65\r\n\r\n", ParseStatus::Malformed,
             ParseError::BodyTooLarge, "", "", true},
        Case{"large_chunks", kRequest, kPost + kChunked + "41\r\n" + std::string(65, 'x') + "\r\n",
             ParseStatus::Malformed, ParseError::BodyTooLarge, "", "", true},
        Case{"large_head", kRequest, kGet + "A: " + std::string(300, 'x'), ParseStatus::Malformed,
             ParseError::HeadTooLarge, "", "", true},
        Case{"many_headers", kRequest, kGet + "A:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\n\r\n",
             ParseStatus::Malformed, ParseError::HeadTooLarge, "", "", true}),
    [](const auto& test_info) { return std::string(test_info.param.name); });

TEST(Buffer, GrowsAndCompactsAndReleasesMemoryOfLargeMessages) {
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
