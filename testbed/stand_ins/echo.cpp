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

// What one thread holds of a connection. Requests have no body, or one that came with the head.
struct Connection {
    std::string in;
    std::uint64_t life = 0;    // a descriptor's number is used again
};

struct Waiting {
    Clock::time_point at;
    int fd;
    std::uint64_t life;
    std::string answer;
};

std::string_view header(std::string_view head, std::string_view name) {
    const auto at = head.find(name);
    if (at == std::string_view::npos) return {};
    const auto begin = at + name.size(), end = head.find("\r\n", begin);
    return head.substr(begin, end - begin);
}

// Takes one request off what came in. False where it is not whole.
bool take(std::string& in, std::string& answer) {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string_view head = std::string_view(in).substr(0, end + 2);
    std::size_t body = 0;
    const std::string_view length = header(head, "\r\nContent-Length: ");
    for (const char c : length) body = body * 10 + static_cast<std::size_t>(c - '0');
    if (in.size() < end + 4 + body) return false;
    const std::string_view id = header(head, "\r\nX-Correlation-Id: ");
    answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", id.size(), id);
    in.erase(0, end + 4 + body);
    return true;
}

}    // namespace

StandInEcho::StandInEcho(int count, int threads, std::chrono::microseconds delay)
    : delay_(delay), threads_wanted_(static_cast<std::size_t>(std::max(1, threads))) {
    for (int i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 4096) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            for (const int open : listeners_) close(open);
            throw std::runtime_error("a stand-in server cannot listen");
        }
        listeners_.push_back(fd);
        ports_.push_back(ntohs(address.sin_port));
    }
    held_.resize(threads_wanted_);
    for (std::size_t t = 0; t < threads_wanted_; ++t) threads_.emplace_back([this, t] { serve(t); });
}

StandInEcho::~StandInEcho() {
    finish();
    for (const int fd : listeners_) close(fd);
}

std::vector<double> StandInEcho::finish() {
    over_ = true;
    for (std::thread& t : threads_)
        if (t.joinable()) t.join();
    std::vector<double> all;
    for (const auto& of : held_) all.insert(all.end(), of.begin(), of.end());
    std::sort(all.begin(), all.end());
    return all;
}

std::string StandInEcho::address(int i) const {
    return fmt::format("127.0.0.1:{}", ports_[static_cast<std::size_t>(i)]);
}

void StandInEcho::serve(std::size_t thread) {
    const int epoll = epoll_create1(EPOLL_CLOEXEC);
    std::unordered_map<int, Connection> connections;
    std::deque<Waiting> waiting;
    std::uint64_t lives = 0;
    const auto watch = [&](int fd) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
    };
    for (std::size_t i = thread; i < listeners_.size(); i += threads_wanted_) watch(listeners_[i]);
    const auto write = [&](int fd, const std::string& answer) {
        // So short an answer is taken whole by the system, or the other side is gone.
        if (send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) > 0) ++answered_;
    };
    std::array<epoll_event, 256> events{};
    std::array<char, 16384> bytes{};
    while (!over_) {
        int wait = 50;
        if (!waiting.empty()) wait = waiting.front().at - Clock::now() < std::chrono::milliseconds(2) ? 0 : 1;
        const int n = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), wait);
        for (int i = 0; i < n; ++i) {
            const int fd = events[static_cast<std::size_t>(i)].data.fd;
            const auto it = connections.find(fd);
            if (it == connections.end()) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (accepted < 0) continue;
                const int one = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                connections[accepted].life = ++lives;
                watch(accepted);
                continue;
            }
            const ssize_t got = recv(fd, bytes.data(), bytes.size(), 0);
            if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
            if (got <= 0) {
                close(fd);
                connections.erase(it);
                continue;
            }
            Connection& c = it->second;
            c.in.append(bytes.data(), static_cast<std::size_t>(got));
            for (std::string answer; take(c.in, answer);) {
                if (delay_.count() == 0) write(fd, answer);
                else waiting.push_back({Clock::now() + delay_, fd, c.life, answer});
            }
        }
        for (const auto now = Clock::now(); !waiting.empty() && waiting.front().at <= now;
             waiting.pop_front()) {
            const auto it = connections.find(waiting.front().fd);
            if (it == connections.end() || it->second.life != waiting.front().life) continue;
            write(waiting.front().fd, waiting.front().answer);
            held_[thread].push_back(
                std::chrono::duration<double, std::milli>(Clock::now() - waiting.front().at + delay_)
                    .count());
        }
    }
    for (const auto& [fd, c] : connections) close(fd);
    close(epoll);
}

}    // namespace shaletray::testbed
