// Serialization of HTTP/1.1 responses. Pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shaletray {

// The interim response to "Expect: 100-continue".
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// How the end of a streamed body is marked: by its length, by chunked coding, or by closing the connection.
enum class BodyFraming { ContentLength, Chunked, UntilClose };
// The head of a response whose body follows in pieces. `headers`: complete lines, each with its CRLF.
// `content_length` counts only with BodyFraming::ContentLength.
std::string write_answer_head(int status, std::string_view headers, BodyFraming framing,
                              std::uint64_t content_length, bool keep_alive);
// One chunk of a chunked body; empty `bytes` give the last chunk.
std::string write_chunk(std::string_view bytes);
// A complete response with its Content-Length.
std::string write_answer(int status, std::string_view headers, std::string_view body, bool keep_alive);

}    // namespace shaletray
