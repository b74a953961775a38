#include "controller/api/response.h"

#include <fmt/format.h>

#include <chrono>
#include <iterator>

namespace shaletray::control_api {
namespace {

using namespace std::chrono_literals;

// Short compared to the second after which callers switch to another controller.
constexpr Duration kRetryDelay = 100ms;

std::string escape_json(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        if (character == '"' || character == '\\') escaped += '\\';
        escaped += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
    }
    return escaped;
}

}    // namespace

std::string extra_headers(const Response& response) {
    std::string headers;
    if (!response.allowed_method.empty()) headers += fmt::format("Allow: {}\r\n", response.allowed_method);
    if (!response.location.empty()) headers += fmt::format("Location: {}\r\n", response.location);
    if (response.retry_after > Duration(0)) {
        const double seconds = std::chrono::duration<double>(response.retry_after).count();
        headers += fmt::format("Retry-After: {}\r\n", seconds);
    }
    return headers;
}

Response success() { return {HttpStatus::Ok, "{}"}; }

Response call_accepted(std::string_view heartbeat_target) {
    if (heartbeat_target.empty()) return success();
    return {HttpStatus::Ok, fmt::format("{{\"heartbeat_target\":\"{}\"}}", heartbeat_target)};
}

Response call_accepted(std::string_view heartbeat_target, const std::vector<ownership::Assignment>& rows,
                       Duration hold) {
    std::string body = "{";
    if (!heartbeat_target.empty())
        fmt::format_to(std::back_inserter(body), "\"heartbeat_target\":\"{}\",", heartbeat_target);
    body += "\"held_duties\":[";
    for (const ownership::Assignment& row : rows)
        fmt::format_to(std::back_inserter(body), "{}[{},{},{},\"{}\"]", &row == rows.data() ? "" : ",",
                       row.keys.first, row.keys.last, row.fence, escape_json(row.handover));
    fmt::format_to(std::back_inserter(body), "],\"hold\":\"{}ms\"}}", hold / 1ms);
    return {HttpStatus::Ok, std::move(body)};
}

Response configuration_text(std::string text) { return {HttpStatus::Ok, std::move(text)}; }

Response error(HttpStatus status, std::string_view message) {
    return {status, fmt::format("{{\"error\":\"{}\"}}", escape_json(message))};
}

Response redirect_to(std::string_view control_address, std::string_view target) {
    Response response{HttpStatus::TemporaryRedirect, "{}"};
    response.location = fmt::format("http://{}{}", control_address, target);
    return response;
}

Response retry_later() {
    Response response = error(HttpStatus::ServiceUnavailable, "no majority in time");
    response.retry_after = kRetryDelay;
    return response;
}

}    // namespace shaletray::control_api
