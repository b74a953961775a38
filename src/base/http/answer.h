// How answers are written.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shaletray {

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// The head of an answer whose body follows in pieces: of a stated length, or in chunks, or until the end.
enum class BodyFraming { ContentLength, Chunked, UntilClose };
// `headers`: whole lines, each with its end.
std::string write_answer_head(int status, std::string_view headers, BodyFraming framing,
                              std::uint64_t content_length, bool keep_alive);
std::string write_chunk(std::string_view bytes);    // empty: the last one
std::string write_answer(int status, std::string_view headers, std::string_view body, bool keep_alive);

}    // namespace shaletray
