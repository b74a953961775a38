// Names of the system's HTTP headers, and functions that copy headers from one connection to another.
#pragma once

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>

#include "base/http/message.h"

namespace shaletray::http_mapping {

inline constexpr std::string_view kAttemptIdHeader = "X-Attempt-Id";
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Remaining";
inline constexpr std::string_view kTargetInstanceHeader = "X-Target-Instance";
inline constexpr std::string_view kShardKeyHeader = "X-Shard-Key";
inline constexpr std::string_view kTenantHeader = "X-Tenant";
inline constexpr std::string_view kServerSealHeader = "X-Server-Seal";
inline constexpr std::string_view kNotExecutedHeader = "X-Not-Executed";
inline constexpr std::string_view kInstanceIdHeader = "X-Instance-Id";
inline constexpr std::string_view kAuthorizationHeader = "Authorization";
inline constexpr std::string_view kHostHeader = "Host";
inline constexpr std::string_view kConnectionHeader = "Connection";
inline constexpr std::string_view kContentLengthHeader = "Content-Length";

// Sent where a server's response is missing or must not be forwarded.
inline constexpr int kBadGatewayStatus = 502;

// A server responds with this status to a request that names another instance or a shard key that it does not
// hold; it does not execute such a request.
inline constexpr int kMisdirectedStatus = 421;

// Hop-by-hop headers, and Content-Length, which the sender on the next connection writes itself.
inline constexpr std::string_view kHopByHopHeaders[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

// Whether `names` contains the name, ignoring case.
template <class Names>
bool contains_name(std::string_view name, const Names& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view candidate) { return http::equals_ignore_case(candidate, name); });
}

// Whether a comma-separated list contains the name, ignoring case.
inline bool list_contains(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        if (http::equals_ignore_case(http::trim(list.substr(0, end)), name)) return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

// Appends the message's headers to `text`, except hop-by-hop headers and those for which `drop` returns true.
template <class Drop>
void copy_headers(const http::Parser& parser, const http::Buffer& buffer, std::string& text, Drop drop) {
    const auto named_in_connection = [&](std::string_view name) {
        for (std::size_t i = 0; i < parser.total_headers(); ++i) {
            const auto [header_name, value] = parser.header_at(buffer, i);
            if (http::equals_ignore_case(header_name, kConnectionHeader) && list_contains(value, name))
                return true;
        }
        return false;
    };
    const bool has_connection_header = !parser.header(buffer, kConnectionHeader).empty();
    for (std::size_t i = 0; i < parser.total_headers(); ++i) {
        const auto [name, value] = parser.header_at(buffer, i);
        if (contains_name(name, kHopByHopHeaders) || drop(name) ||
            (has_connection_header && named_in_connection(name)))
            continue;
        text.append(name).append(": ").append(value).append("\r\n");
    }
}

}    // namespace shaletray::http_mapping
