#include "control_socket/server.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <stdexcept>

namespace shaletray::control_socket {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostConnections = 8;    // descriptors are for clients
constexpr Duration kIdle = 10s, kSweepEvery = 1s;

Poco::Net::SocketAddress address_of(const std::string& path) {
    return Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, path);
}

// Nobody answers at a socket that a killed process left behind.
bool answered(const std::string& path) {
    try {
        Poco::Net::StreamSocket probe;
        probe.connect(address_of(path), Poco::Timespan(0, 200000));
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

}    // namespace

Server::Server(Office office, Reactor& reactor, std::string path, int mode)
    : office_(std::move(office)), reactor_(reactor), path_(std::move(path)) {
    struct stat info {};
    if (::lstat(path_.c_str(), &info) == 0) {
        if (!S_ISSOCK(info.st_mode))
            throw std::runtime_error(path_ +
                                     " is there and is no socket: name another path for plans.control");
        if (answered(path_)) throw std::runtime_error(path_ + ": another process listens there");
        ::unlink(path_.c_str());
    }
    // Nobody may come in before the mode is what it should be.
    const mode_t before = ::umask(0177);
    try {
        socket_.bind(address_of(path_), false);
    } catch (...) {
        ::umask(before);
        throw;
    }
    ::umask(before);
    if (::chmod(path_.c_str(), static_cast<mode_t>(mode)) != 0)
        throw std::runtime_error(path_ + ": its mode cannot be set");
    socket_.listen(static_cast<int>(kMostConnections));
    socket_.setBlocking(false);
    reactor_.addEventHandler(
        socket_, Poco::NObserver<Server, Poco::Net::ReadableNotification>(*this, &Server::on_readable));
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

Server::~Server() {
    reactor_.removeEventHandler(
        socket_, Poco::NObserver<Server, Poco::Net::ReadableNotification>(*this, &Server::on_readable));
    reactor_.cancel(sweep_timer_);
    for (auto& c : connections_) retire(reactor_, std::move(c->stream));
    ::unlink(path_.c_str());
}

void Server::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    try {
        const Poco::Net::StreamSocket taken = socket_.acceptConnection();
        if (connections_.size() < kMostConnections) {
            auto c = std::make_unique<Connection>(*this, reactor_);
            c->since = reactor_.clock().now();
            c->stream->adopt(taken, true);
            connections_.push_back(std::move(c));
        }
    } catch (const Poco::Exception&) {    // it went away before it was taken
    }
    reactor_.reckon_timeout();
}

void Server::serve(Connection& c) {
    http::Buffer& in = c.stream->input();
    c.since = reactor_.clock().now();
    while (!c.ending) {
        const std::string_view bytes = in.unread();
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            if (bytes.size() <= kLongestLine) return;
            c.ending = true;
            if (!c.stream->send(
                    "{\"ok\":false,\"why\":\"wrong\",\"text\":\"the line is longer than 16 KiB\"}\n"))
                return close(c);
            break;
        }
        ++asked_;
        const std::string answer = office_.answer(bytes.substr(0, end), reactor_.clock().now()) + "\n";
        in.consume(end + 1);
        if (!c.stream->send(answer)) return close(c);
    }
    if (c.ending && c.stream->sent_all()) close(c);
}

void Server::Connection::on_sent() {
    if (ending) server.close(*this);
}

void Server::close(Connection& c) {
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
        if (it->get() != &c) continue;
        struct Gone : Retired {    // it may be on the call stack
            explicit Gone(std::unique_ptr<Connection> of) : connection(std::move(of)) {}
            std::unique_ptr<Connection> connection;
        };
        c.stream->close();
        reactor_.retire(std::make_unique<Gone>(std::move(*it)));
        connections_.erase(it);
        return;
    }
}

void Server::sweep() {
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> idle;
    for (const auto& c : connections_)
        if (now - c->since > kIdle) idle.push_back(c.get());
    for (Connection* c : idle) close(*c);
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

}    // namespace shaletray::control_socket
