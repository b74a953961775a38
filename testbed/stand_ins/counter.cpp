#include "stand_ins/counter.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <stdexcept>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

std::string status(std::string_view text) { return fmt::format("+{}\r\n", text); }
std::string error(std::string_view text) { return fmt::format("-{}\r\n", text); }
std::string number(std::int64_t value) { return fmt::format(":{}\r\n", value); }
std::string bulk(std::string_view text) { return fmt::format("${}\r\n{}\r\n", text.size(), text); }

std::optional<std::int64_t> integer(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (wrong != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string upper(std::string text) {
    for (char& c : text) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c;
    return text;
}

}    // namespace

StandInCounter::StandInCounter(int port, std::string password) : password_(std::move(password)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t length = sizeof address;
    if (listener_ < 0 || bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 64) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("the stand-in counter cannot listen");
    port_ = ntohs(address.sin_port);
    run_id_ = fmt::format("{:040x}", port_);
    thread_ = std::thread([this] { serve(); });
}

StandInCounter::~StandInCounter() {
    over_ = true;
    thread_.join();
    for (const auto& c : connections_) ::close(c->fd);
    ::close(listener_);
    if (replica_ >= 0) ::close(replica_);
}

std::string StandInCounter::address() const { return fmt::format("127.0.0.1:{}", port_); }

std::string StandInCounter::fault(const std::vector<std::string>& words) {
    const std::lock_guard lock(mutex_);
    return do_fault(words);
}

void StandInCounter::serve() {
    while (!over_) {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        {
            const std::lock_guard lock(mutex_);
            std::erase_if(connections_, [](const auto& c) {
                if (c->dead) ::close(c->fd);
                return c->dead;
            });
            for (const auto& c : connections_) {
                const bool writes = !c->out.empty();
                polled.push_back({c->fd, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
            }
        }
        ::poll(polled.data(), polled.size(), 2);
        const std::lock_guard lock(mutex_);
        if (Clock::now() < paused_until_) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        expire();
        for (std::size_t i = 1; i < polled.size() && i <= connections_.size(); ++i) {
            Connection& c = *connections_[i - 1];
            if (c.fd != polled[i].fd) continue;
            if (polled[i].revents & (POLLIN | POLLHUP | POLLERR)) read_from(c);
        }
        for (const auto& c : connections_) {
            for (; !c->waiting.empty() && c->waiting.front().first <= Clock::now(); c->waiting.pop_front())
                c->out += c->waiting.front().second;
            write_to(*c);
        }
        if (polled[0].revents & POLLIN) accept_one();
    }
}

void StandInCounter::accept_one() {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto c = std::make_unique<Connection>();
    c->fd = fd;
    c->trusted = password_.empty();
    connections_.push_back(std::move(c));
}

void StandInCounter::read_from(Connection& c) {
    std::array<char, 16384> bytes{};
    while (!c.dead) {
        const ssize_t n = ::recv(c.fd, bytes.data(), bytes.size(), 0);
        if (n < 0) break;
        if (n == 0) {
            c.dead = true;
            break;
        }
        try {
            c.commands.feed({bytes.data(), static_cast<std::size_t>(n)});
            while (const auto command = c.commands.next_reply()) {
                std::vector<std::string> words;
                for (const auto& item : command->items) words.push_back(item.text);
                std::string reply = answer(c, words);
                const bool control = !words.empty() && upper(words[0]) == "FAULT";
                if (silent_ && !control) continue;
                if (babble_ && !control) reply = "HTTP/1.1 200 OK\r\n\r\n";
                c.waiting.emplace_back(Clock::now() + (control ? 0ms : slow_), std::move(reply));
            }
        } catch (const shared_counter::RespProtocolError&) {
            c.dead = true;
        }
    }
}

void StandInCounter::write_to(Connection& c) {
    while (!c.out.empty() && !c.dead) {
        const ssize_t n = ::send(c.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL);
        if (n <= 0) break;
        c.out.erase(0, static_cast<std::size_t>(n));
    }
}

std::string StandInCounter::answer(Connection& c, const std::vector<std::string>& words) {
    if (words.empty()) return error("ERR Protocol error");
    ++commands_;
    const std::string name = upper(words[0]);
    if (name == "FAULT") return do_fault({words.begin() + 1, words.end()});
    if (!error_.empty()) return error(error_);
    if (name == "AUTH") {
        if (password_.empty()) return error("ERR Client sent AUTH, but no password is set");
        c.trusted = words.back() == password_ && words.size() >= 2;
        return c.trusted ? status("OK")
                         : error("WRONGPASS invalid username-password pair or user is disabled.");
    }
    if (!c.trusted) return error("NOAUTH Authentication required.");
    if (name == "PING") return status("PONG");
    if (name == "SELECT") {
        const auto at = words.size() == 2 ? integer(words[1]) : std::nullopt;
        return at && *at >= 0 && *at < 16 ? status("OK") : error("ERR DB index is out of range");
    }
    if (name == "INFO")
        return bulk(
            fmt::format("# Server\r\nredis_version:7.0.0\r\nrun_id:{}\r\n# Replication\r\nrole:{}\r\n",
                        run_id_, is_replica_ ? "slave" : "master"));
    if (name == "REPLICAOF") {    // how another stand-in says that it is its primary's link
        c.replica_link = is_replica_ = true;
        return status("OK");
    }
    return store(c, words);
}

std::string StandInCounter::store(Connection& c, const std::vector<std::string>& words) {
    const std::string name = upper(words[0]);
    const auto few = [&](std::size_t least) { return words.size() < least; };
    const auto wrong = [&] {
        return error(fmt::format("ERR wrong number of arguments for '{}' command", words[0]));
    };
    if (name == "HMGET") {
        if (few(3)) return wrong();
        const auto it = data_.find(words[1]);
        std::string out = fmt::format("*{}\r\n", words.size() - 2);
        for (std::size_t i = 2; i < words.size(); ++i) {
            const bool there = it != data_.end() && it->second.fields.contains(words[i]);
            if (!there) out += "$-1\r\n";
            else out += bulk(spoil_ ? "17 apples" : it->second.fields.at(words[i]));
        }
        return out;
    }
    if (name == "HGETALL") {
        if (words.size() != 2) return wrong();
        const auto& fields = data_[words[1]].fields;
        std::string out = fmt::format("*{}\r\n", 2 * fields.size());
        for (const auto& [field, value] : fields) out += bulk(field) + bulk(value);
        return out;
    }
    const bool writes =
        name == "HSET" || name == "HDEL" || name == "PEXPIRE" || name == "DEL" || name == "FLUSHALL";
    if (!writes) return error(fmt::format("ERR unknown command '{}'", words[0]));
    if (is_replica_ && !c.replica_link) return error("READONLY You can't write against a read only replica.");
    pass_on(words);
    if (name == "FLUSHALL") return data_.clear(), status("OK");
    if (few(2)) return wrong();
    if (name == "DEL") return number(static_cast<std::int64_t>(data_.erase(words[1])));
    if (name == "HSET") {
        if (few(4) || words.size() % 2 != 0) return wrong();
        std::int64_t added = 0;
        auto& fields = data_[words[1]].fields;
        for (std::size_t i = 2; i < words.size(); i += 2)
            added += fields.insert_or_assign(words[i], words[i + 1]).second;
        return number(added);
    }
    if (name == "HDEL") {
        std::int64_t gone = 0;
        for (std::size_t i = 2; i < words.size(); ++i)
            gone += static_cast<std::int64_t>(data_[words[1]].fields.erase(words[i]));
        return number(gone);
    }
    const auto ms = words.size() == 3 ? integer(words[2]) : std::nullopt;
    if (!ms) return error("ERR value is not an integer or out of range");
    const auto it = data_.find(words[1]);
    if (it == data_.end()) return number(0);
    it->second.expires = now() + std::chrono::milliseconds(*ms);
    return number(1);
}

std::string StandInCounter::do_fault(const std::vector<std::string>& words) {
    if (words.empty()) return error("ERR which fault?");
    const std::string name = upper(words[0]);
    const std::string arg = words.size() > 1 ? words[1] : std::string();
    const auto value = integer(arg);
    const bool needs = name == "SLOW" || name == "SILENT" || name == "PAUSE" || name == "BABBLE" ||
                       name == "SPOIL" || name == "CLOCK";
    if (needs && !value) return error(fmt::format("ERR FAULT {} takes a number", name));
    if (name == "SLOW") slow_ = std::chrono::milliseconds(*value);
    else if (name == "SILENT") silent_ = *value != 0;
    else if (name == "BABBLE") babble_ = *value != 0;
    else if (name == "SPOIL") spoil_ = *value != 0;
    else if (name == "PAUSE") paused_until_ = Clock::now() + std::chrono::milliseconds(*value);
    else if (name == "CLOCK") clock_step_ += std::chrono::seconds(*value);
    else if (name == "ERROR") error_ = arg == "-" ? std::string() : arg;
    else if (name == "KEEP") kept_ = data_;
    else if (name == "FALLBACK") data_ = kept_;
    else if (name == "PROMOTE") is_replica_ = false;
    else if (name == "WIPE") {
        data_.clear();
        run_id_ = fmt::format("{:036x}{:04x}", port_, ++lives_);
    } else if (name == "DROP") {
        for (const auto& c : connections_) c->dead = true;
    } else if (name == "SPLIT") {
        if (replica_ >= 0) ::close(replica_);
        replica_ = -1;
    } else if (name == "REPLICA") {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        const auto port = integer(arg.substr(arg.rfind(':') + 1));
        to.sin_port = htons(static_cast<std::uint16_t>(port.value_or(0)));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        replica_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(replica_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
            ::close(replica_);
            replica_ = -1;
            return error("ERR the replica cannot be reached");
        }
        const std::string hello = shared_counter::serialize_command({"REPLICAOF", "me"});
        ::send(replica_, hello.data(), hello.size(), MSG_NOSIGNAL);
    } else {
        return error(fmt::format("ERR no fault called {}", name));
    }
    return status("OK");
}

void StandInCounter::pass_on(const std::vector<std::string>& words) {
    if (replica_ < 0) return;
    const std::string bytes = shared_counter::serialize_command(words);
    ::send(replica_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    std::array<char, 4096> ignored{};
    while (::recv(replica_, ignored.data(), ignored.size(), MSG_DONTWAIT) > 0) {
    }
}

void StandInCounter::expire() {
    std::erase_if(data_, [at = now()](const auto& item) { return item.second.expires <= at; });
}

}    // namespace shaletray::testbed
