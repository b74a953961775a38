#include "base/http/answer.h"

#include <fmt/format.h>

namespace shaletray {
namespace {

std::string_view reason_of(int status) {
    switch (status) {
        case 200: return "OK";
        case 201: return "Created";
        case 202: return "Accepted";
        case 204: return "No Content";
        case 307: return "Temporary Redirect";
        case 400: return "Bad Request";
        case 401: return "Unauthorized";
        case 404: return "Not Found";
        case 405: return "Method Not Allowed";
        case 408: return "Request Timeout";
        case 409: return "Conflict";
        case 412: return "Precondition Failed";
        case 413: return "Content Too Large";
        case 421: return "Misdirected Request";
        case 422: return "Unprocessable Content";
        case 429: return "Too Many Requests";
        case 431: return "Request Header Fields Too Large";
        case 500: return "Internal Server Error";
        case 501: return "Not Implemented";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        case 504: return "Gateway Timeout";
        default: return "Unknown";
    }
}

}    // namespace

std::string write_answer_head(int status, std::string_view headers, BodyFraming framing,
                              std::uint64_t content_length, bool keep_alive) {
    const bool bodiless =
        status == 204 || status == 304;    // never followed by a body, whatever their headers say
    const std::string framing_header = bodiless ? ""
                                       : framing == BodyFraming::ContentLength
                                           ? fmt::format("Content-Length: {}\r\n", content_length)
                                       : framing == BodyFraming::Chunked ? "Transfer-Encoding: chunked\r\n"
                                                                         : "";
    return fmt::format("HTTP/1.1 {} {}\r\n{}{}{}\r\n", status, reason_of(status), headers, framing_header,
                       keep_alive ? "" : "Connection: close\r\n");
}

std::string write_chunk(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

std::string write_answer(int status, std::string_view headers, std::string_view body, bool keep_alive) {
    return write_answer_head(status, headers, BodyFraming::ContentLength, body.size(), keep_alive)
        .append(body);
}

}    // namespace shaletray
