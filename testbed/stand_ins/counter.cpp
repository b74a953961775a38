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

std::string status_reply(std::string_view text) { return fmt::format("+{}\r\n", text); }
std::string error_reply(std::string_view text) { return fmt::format("-{}\r\n", text); }
std::string integer_reply(std::int64_t value) { return fmt::format(":{}\r\n", value); }
std::string bulk_reply(std::string_view text) { return fmt::format("${}\r\n{}\r\n", text.size(), text); }

std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parse_error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string to_upper(std::string text) {
    for (char& letter : text)
        letter = letter >= 'a' && letter <= 'z' ? static_cast<char>(letter - 32) : letter;
    return text;
}

}    // namespace

StandInCounter::StandInCounter(int port, std::string password) : password_(std::move(password)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t length = sizeof address;
    if (listener_ < 0 || bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 64) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("the fake store cannot listen on its port");
    port_ = ntohs(address.sin_port);
    run_id_ = fmt::format("{:040x}", port_);
    thread_ = std::thread([this] { serve(); });
}

StandInCounter::~StandInCounter() {
    stopping_ = true;
    thread_.join();
    for (const auto& connection : connections_) ::close(connection->fd);
    ::close(listener_);
    if (replica_ >= 0) ::close(replica_);
}

std::string StandInCounter::address() const { return fmt::format("127.0.0.1:{}", port_); }

std::string StandInCounter::fault(const std::vector<std::string>& words) {
    const std::lock_guard lock(mutex_);
    return execute_fault(words);
}

void StandInCounter::serve() {
    while (!stopping_) {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        {
            const std::lock_guard lock(mutex_);
            std::erase_if(connections_, [](const auto& connection) {
                if (connection->should_close) ::close(connection->fd);
                return connection->should_close;
            });
            for (const auto& connection : connections_) {
                const bool writes = !connection->output.empty();
                polled.push_back({connection->fd, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
            }
        }
        ::poll(polled.data(), polled.size(), 2);
        const std::lock_guard lock(mutex_);
        if (Clock::now() < paused_until_) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        remove_expired();
        for (std::size_t i = 1; i < polled.size() && i <= connections_.size(); ++i) {
            Connection& connection = *connections_[i - 1];
            if (connection.fd != polled[i].fd) continue;
            if (polled[i].revents & (POLLIN | POLLHUP | POLLERR)) read_from(connection);
        }
        for (const auto& connection : connections_) {
            for (; !connection->delayed_replies.empty() &&
                   connection->delayed_replies.front().first <= Clock::now();
                 connection->delayed_replies.pop_front())
                connection->output += connection->delayed_replies.front().second;
            write_to(*connection);
        }
        if (polled[0].revents & POLLIN) accept_one();
    }
}

void StandInCounter::accept_one() {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    auto connection = std::make_unique<Connection>();
    connection->fd = fd;
    connection->is_authenticated = password_.empty();
    connections_.push_back(std::move(connection));
}

void StandInCounter::read_from(Connection& connection) {
    std::array<char, 16384> bytes{};
    while (!connection.should_close) {
        const ssize_t size = ::recv(connection.fd, bytes.data(), bytes.size(), 0);
        if (size < 0) break;
        if (size == 0) {
            connection.should_close = true;
            break;
        }
        try {
            connection.commands.feed({bytes.data(), static_cast<std::size_t>(size)});
            while (const auto command = connection.commands.next_reply()) {
                std::vector<std::string> words;
                for (const auto& item : command->items) words.push_back(item.text);
                std::string reply = execute_command(connection, words);
                const bool is_fault_command = !words.empty() && to_upper(words[0]) == "FAULT";
                if (is_silent_ && !is_fault_command) continue;
                if (sends_garbage_ && !is_fault_command) reply = "HTTP/1.1 200 OK\r\n\r\n";
                connection.delayed_replies.emplace_back(
                    Clock::now() + (is_fault_command ? 0ms : reply_delay_), std::move(reply));
            }
        } catch (const shared_counter::RespProtocolError&) {
            connection.should_close = true;
        }
    }
}

void StandInCounter::write_to(Connection& connection) {
    while (!connection.output.empty() && !connection.should_close) {
        const ssize_t size =
            ::send(connection.fd, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
        if (size <= 0) break;
        connection.output.erase(0, static_cast<std::size_t>(size));
    }
}

std::string StandInCounter::execute_command(Connection& connection, const std::vector<std::string>& words) {
    if (words.empty()) return error_reply("ERR Protocol error");
    ++commands_;
    const std::string name = to_upper(words[0]);
    if (name == "FAULT") return execute_fault({words.begin() + 1, words.end()});
    if (!forced_error_.empty()) return error_reply(forced_error_);
    if (name == "AUTH") {
        if (password_.empty()) return error_reply("ERR Client sent AUTH, but no password is set");
        connection.is_authenticated = words.back() == password_ && words.size() >= 2;
        return connection.is_authenticated
                   ? status_reply("OK")
                   : error_reply("WRONGPASS invalid username-password pair or user is disabled.");
    }
    if (!connection.is_authenticated) return error_reply("NOAUTH Authentication required.");
    if (name == "PING") return status_reply("PONG");
    if (name == "SELECT") {
        const auto index = words.size() == 2 ? parse_integer(words[1]) : std::nullopt;
        return index && *index >= 0 && *index < 16 ? status_reply("OK")
                                                   : error_reply("ERR DB index is out of range");
    }
    if (name == "INFO")
        return bulk_reply(
            fmt::format("# Server\r\nredis_version:7.0.0\r\nrun_id:{}\r\n# Replication\r\nrole:{}\r\n",
                        run_id_, is_replica_ ? "slave" : "master"));
    if (name == "REPLICAOF") {    // sent by another fake store: this connection replicates from the primary
        connection.is_replication_link = is_replica_ = true;
        return status_reply("OK");
    }
    return execute_store_command(connection, words);
}

std::string StandInCounter::execute_store_command(Connection& connection,
                                                  const std::vector<std::string>& words) {
    const std::string name = to_upper(words[0]);
    const auto has_fewer_words = [&](std::size_t min_words) { return words.size() < min_words; };
    const auto wrong_arity = [&] {
        return error_reply(fmt::format("ERR wrong number of arguments for '{}' command", words[0]));
    };
    if (name == "HMGET") {
        if (has_fewer_words(3)) return wrong_arity();
        const auto it = data_.find(words[1]);
        std::string output = fmt::format("*{}\r\n", words.size() - 2);
        for (std::size_t i = 2; i < words.size(); ++i) {
            const bool exists = it != data_.end() && it->second.fields.contains(words[i]);
            if (!exists) output += "$-1\r\n";
            else output += bulk_reply(corrupts_values_ ? "17 apples" : it->second.fields.at(words[i]));
        }
        return output;
    }
    if (name == "HGETALL") {
        if (words.size() != 2) return wrong_arity();
        const auto& fields = data_[words[1]].fields;
        std::string output = fmt::format("*{}\r\n", 2 * fields.size());
        for (const auto& [field, value] : fields) output += bulk_reply(field) + bulk_reply(value);
        return output;
    }
    const bool writes =
        name == "HSET" || name == "HDEL" || name == "PEXPIRE" || name == "DEL" || name == "FLUSHALL";
    if (!writes) return error_reply(fmt::format("ERR unknown command '{}'", words[0]));
    if (is_replica_ && !connection.is_replication_link)
        return error_reply("READONLY You can't write against a read only replica.");
    replicate(words);
    if (name == "FLUSHALL") return data_.clear(), status_reply("OK");
    if (has_fewer_words(2)) return wrong_arity();
    if (name == "DEL") return integer_reply(static_cast<std::int64_t>(data_.erase(words[1])));
    if (name == "HSET") {
        if (has_fewer_words(4) || words.size() % 2 != 0) return wrong_arity();
        std::int64_t added = 0;
        auto& fields = data_[words[1]].fields;
        for (std::size_t i = 2; i < words.size(); i += 2)
            added += fields.insert_or_assign(words[i], words[i + 1]).second;
        return integer_reply(added);
    }
    if (name == "HDEL") {
        std::int64_t removed = 0;
        for (std::size_t i = 2; i < words.size(); ++i)
            removed += static_cast<std::int64_t>(data_[words[1]].fields.erase(words[i]));
        return integer_reply(removed);
    }
    const auto ms = words.size() == 3 ? parse_integer(words[2]) : std::nullopt;
    if (!ms) return error_reply("ERR value is not an integer or out of range");
    const auto it = data_.find(words[1]);
    if (it == data_.end()) return integer_reply(0);
    it->second.expires_at = now() + std::chrono::milliseconds(*ms);
    return integer_reply(1);
}

std::string StandInCounter::execute_fault(const std::vector<std::string>& words) {
    if (words.empty()) return error_reply("ERR which fault?");
    const std::string name = to_upper(words[0]);
    const std::string argument = words.size() > 1 ? words[1] : std::string();
    const auto value = parse_integer(argument);
    const bool needs_number = name == "SLOW" || name == "SILENT" || name == "PAUSE" || name == "BABBLE" ||
                              name == "SPOIL" || name == "CLOCK";
    if (needs_number && !value) return error_reply(fmt::format("ERR FAULT {} takes a number", name));
    if (name == "SLOW") reply_delay_ = std::chrono::milliseconds(*value);
    else if (name == "SILENT") is_silent_ = *value != 0;
    else if (name == "BABBLE") sends_garbage_ = *value != 0;
    else if (name == "SPOIL") corrupts_values_ = *value != 0;
    else if (name == "PAUSE") paused_until_ = Clock::now() + std::chrono::milliseconds(*value);
    else if (name == "CLOCK") clock_step_ += std::chrono::seconds(*value);
    else if (name == "ERROR") forced_error_ = argument == "-" ? std::string() : argument;
    else if (name == "KEEP") saved_data_ = data_;
    else if (name == "FALLBACK") data_ = saved_data_;
    else if (name == "PROMOTE") is_replica_ = false;
    else if (name == "WIPE") {
        data_.clear();
        run_id_ = fmt::format("{:036x}{:04x}", port_, ++wipe_count_);
    } else if (name == "DROP") {
        for (const auto& connection : connections_) connection->should_close = true;
    } else if (name == "SPLIT") {
        if (replica_ >= 0) ::close(replica_);
        replica_ = -1;
    } else if (name == "REPLICA") {
        sockaddr_in replica_address{};
        replica_address.sin_family = AF_INET;
        const auto port = parse_integer(argument.substr(argument.rfind(':') + 1));
        replica_address.sin_port = htons(static_cast<std::uint16_t>(port.value_or(0)));
        replica_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        replica_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(replica_, reinterpret_cast<sockaddr*>(&replica_address), sizeof replica_address) != 0) {
            ::close(replica_);
            replica_ = -1;
            return error_reply("ERR the replica cannot be reached");
        }
        const std::string handshake = shared_counter::serialize_command({"REPLICAOF", "me"});
        ::send(replica_, handshake.data(), handshake.size(), MSG_NOSIGNAL);
    } else {
        return error_reply(fmt::format("ERR no fault called {}", name));
    }
    return status_reply("OK");
}

void StandInCounter::replicate(const std::vector<std::string>& words) {
    if (replica_ < 0) return;
    const std::string bytes = shared_counter::serialize_command(words);
    ::send(replica_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    std::array<char, 4096> ignored{};
    while (::recv(replica_, ignored.data(), ignored.size(), MSG_DONTWAIT) > 0) {
    }
}

void StandInCounter::remove_expired() {
    std::erase_if(
        data_, [current_time = now()](const auto& item) { return item.second.expires_at <= current_time; });
}

}    // namespace shaletray::testbed
