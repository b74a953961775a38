#include "stand_ins/echo.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <stdexcept>
#include <string_view>
#include <unordered_map>

namespace shaletray::testbed {
namespace {

using Clock = std::chrono::steady_clock;

// The state of a connection in its thread. Requests have no body, or one with a Content-Length.
struct Connection {
    std::string input;
    std::uint64_t connection_id = 0;    // distinguishes connections that reuse a file descriptor's number
};

struct PendingResponse {
    Clock::time_point due_at;
    int fd;
    std::uint64_t connection_id;
    std::string response;
};

std::string_view header_value(std::string_view head, std::string_view name) {
    const auto position = head.find(name);
    if (position == std::string_view::npos) return {};
    const auto begin = position + name.size(), end = head.find("\r\n", begin);
    return head.substr(begin, end - begin);
}

// Removes one request from `input` and sets `response` to the reply. Returns false if it is incomplete.
bool take_request(std::string& input, std::string& response) {
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string_view head = std::string_view(input).substr(0, end + 2);
    std::size_t body = 0;
    const std::string_view length = header_value(head, "\r\nContent-Length: ");
    for (const char digit : length) body = body * 10 + static_cast<std::size_t>(digit - '0');
    if (input.size() < end + 4 + body) return false;
    const std::string_view id = header_value(head, "\r\nX-Correlation-Id: ");
    response = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", id.size(), id);
    input.erase(0, end + 4 + body);
    return true;
}

}    // namespace

StandInEcho::StandInEcho(int count, int threads, std::chrono::microseconds delay)
    : delay_(delay), thread_count_(static_cast<std::size_t>(std::max(1, threads))) {
    for (int i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 4096) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            for (const int open : listeners_) close(open);
            throw std::runtime_error("the echo server cannot listen on a port of 127.0.0.1");
        }
        listeners_.push_back(fd);
        ports_.push_back(ntohs(address.sin_port));
    }
    hold_times_ms_.resize(thread_count_);
    for (std::size_t index = 0; index < thread_count_; ++index)
        threads_.emplace_back([this, index] { serve(index); });
}

StandInEcho::~StandInEcho() {
    finish();
    for (const int fd : listeners_) close(fd);
}

std::vector<double> StandInEcho::finish() {
    stopping_ = true;
    for (std::thread& thread : threads_)
        if (thread.joinable()) thread.join();
    std::vector<double> all_times;
    for (const auto& thread_times : hold_times_ms_)
        all_times.insert(all_times.end(), thread_times.begin(), thread_times.end());
    std::sort(all_times.begin(), all_times.end());
    return all_times;
}

std::string StandInEcho::address(int i) const {
    return fmt::format("127.0.0.1:{}", ports_[static_cast<std::size_t>(i)]);
}

void StandInEcho::serve(std::size_t thread_index) {
    const int epoll = epoll_create1(EPOLL_CLOEXEC);
    std::unordered_map<int, Connection> connections;
    std::deque<PendingResponse> pending_responses;
    std::uint64_t last_connection_id = 0;
    const auto watch_socket = [&](int fd) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
    };
    for (std::size_t i = thread_index; i < listeners_.size(); i += thread_count_) watch_socket(listeners_[i]);
    const auto send_response = [&](int fd, const std::string& response) {
        // The socket buffer accepts such a short response whole unless the peer has disconnected.
        if (send(fd, response.data(), response.size(), MSG_NOSIGNAL) > 0) ++answered_;
    };
    std::array<epoll_event, 256> events{};
    std::array<char, 16384> bytes{};
    while (!stopping_) {
        int timeout_ms = 50;
        if (!pending_responses.empty())
            timeout_ms =
                pending_responses.front().due_at - Clock::now() < std::chrono::milliseconds(2) ? 0 : 1;
        const int event_count = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), timeout_ms);
        for (int i = 0; i < event_count; ++i) {
            const int fd = events[static_cast<std::size_t>(i)].data.fd;
            const auto it = connections.find(fd);
            if (it == connections.end()) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (accepted < 0) continue;
                const int enabled = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
                connections[accepted].connection_id = ++last_connection_id;
                watch_socket(accepted);
                continue;
            }
            const ssize_t received = recv(fd, bytes.data(), bytes.size(), 0);
            if (received < 0 && (errno == EAGAIN || errno == EINTR)) continue;
            if (received <= 0) {
                close(fd);
                connections.erase(it);
                continue;
            }
            Connection& connection = it->second;
            connection.input.append(bytes.data(), static_cast<std::size_t>(received));
            for (std::string response; take_request(connection.input, response);) {
                if (delay_.count() == 0) send_response(fd, response);
                else
                    pending_responses.push_back(
                        {Clock::now() + delay_, fd, connection.connection_id, response});
            }
        }
        for (const auto now = Clock::now();
             !pending_responses.empty() && pending_responses.front().due_at <= now;
             pending_responses.pop_front()) {
            const auto it = connections.find(pending_responses.front().fd);
            if (it == connections.end() ||
                it->second.connection_id != pending_responses.front().connection_id)
                continue;
            send_response(pending_responses.front().fd, pending_responses.front().response);
            hold_times_ms_[thread_index].push_back(
                std::chrono::duration<double, std::milli>(Clock::now() - pending_responses.front().due_at +
                                                          delay_)
                    .count());
        }
    }
    for (const auto& [fd, connection] : connections) close(fd);
    close(epoll);
}

}    // namespace shaletray::testbed
