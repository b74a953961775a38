// Test clients over loopback with non-blocking sockets.
#pragma once

#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <optional>
#include <string>

#include "base/http/message.h"

namespace shaletray::test {

// A client with one connection.
struct LoopbackClient {
    explicit LoopbackClient(const std::string& address) : socket(Poco::Net::SocketAddress(address)) {
        socket.setBlocking(false);
        socket.setNoDelay(true);
    }
    struct ReceivedResponse {
        int status = 0;
        std::string id, seal, body;
        bool has_retry_after = false;
    };
    void send(const std::string& text) {
        unsent += text;
        flush();
    }
    void flush() {
        try {
            while (!unsent.empty()) {
                const int sent = socket.sendBytes(unsent.data(), static_cast<int>(unsent.size()));
                if (sent <= 0) return;
                unsent.erase(0, static_cast<std::size_t>(sent));
            }
        } catch (const Poco::Exception& error) {
            disconnected = disconnected || error.code() != POCO_EWOULDBLOCK;
        }
    }
    std::optional<ReceivedResponse> next_response() {
        flush();
        char bytes[16384];
        try {
            for (int received = 0;
                 !disconnected && (received = socket.receiveBytes(bytes, sizeof bytes)) >= 0;) {
                if (received == 0) disconnected = true;
                input.append({bytes, static_cast<std::size_t>(received)});
            }
        } catch (const Poco::Exception&) {
            disconnected = true;
        }
        const http::ParseStatus status = parser.parse(input);
        cr_assert(status != http::ParseStatus::Malformed);
        if (status != http::ParseStatus::Complete) return std::nullopt;
        ReceivedResponse response{parser.status_code(), std::string(parser.header(input, "X-Attempt-Id")),
                                  std::string(parser.header(input, "X-Server-Seal")),
                                  std::string(parser.body(input)),
                                  !parser.header(input, "Retry-After").empty()};
        if (!parser.keep_alive()) close_announced = true;
        input.consume(parser.message_size());
        parser.reset();
        return response;
    }

    Poco::Net::StreamSocket socket;
    http::Buffer input;
    http::Parser parser{http::Parser::Kind::Response};
    std::string unsent;
    bool disconnected = false, close_announced = false;    // close_announced: by the last response
};

inline std::string request_text(bool unsafe, const std::string& id, const std::string& body = "",
                                int deadline_ms = 350) {
    const std::string head = fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n",
        unsafe ? "POST" : "GET", unsafe ? "pay" : "read", id, id, deadline_ms);
    if (body.empty() && !unsafe) return head + "\r\n";
    return head + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

}    // namespace shaletray::test
