#include "base/net/line_protocol_server.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepEvery = 250ms;
constexpr Duration kLinger = 1s;    // for the last answer to be read
constexpr int kMostAtOnce = 16;

}    // namespace

TalkServer::TalkServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits,
                       std::function<std::unique_ptr<Talk>()> begin)
    : reactor_(reactor), socket_(std::move(socket)), limits_(limits), begin_(std::move(begin)) {
    socket_.setBlocking(false);
    reactor_.addEventHandler(socket_, Poco::NObserver<TalkServer, Poco::Net::ReadableNotification>(
                                          *this, &TalkServer::on_readable));
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

TalkServer::~TalkServer() {
    reactor_.removeEventHandler(socket_, Poco::NObserver<TalkServer, Poco::Net::ReadableNotification>(
                                             *this, &TalkServer::on_readable));
    reactor_.cancel(sweep_timer_);
    connections_.clear();
    reactor_.reap();
}

void TalkServer::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMostAtOnce; ++i) {
        if (!accept()) break;
    }
    reactor_.reckon_timeout();
}

bool TalkServer::accept() {
    try {
        const Poco::Net::StreamSocket taken = socket_.acceptConnection();
        if (connections_.size() >= limits_.most) close(*connections_.front());
        connections_.push_back(std::make_unique<Connection>(*this, begin_()));
        Connection& c = *connections_.back();
        c.since = reactor_.clock().now();
        c.stream.adopt(taken, taken.address().family() == Poco::Net::SocketAddress::UNIX_LOCAL);
        return true;
    } catch (
        const Poco::Exception&) {    // none waits, it went away before it was taken, or no descriptor is left
        return false;
    }
}

void TalkServer::serve(Connection& c) {
    http::Buffer& in = c.stream.input();
    if (c.ending) return in.consume(in.size());
    if (limits_.renews) c.since = reactor_.clock().now();
    std::string out;
    c.ending = c.talk->take(in, out) == Talk::Next::End;
    if (!out.empty() && !c.stream.send(std::move(out))) return close(c);
    if (c.stream.sent_all()) sent(c);
}

// Closing over bytes that were not read resets a connection, and its caller may lose the answer.
void TalkServer::sent(Connection& c) {
    if (!c.ending) return;
    c.since = reactor_.clock().now();
    c.stream.end_sending();
}

void TalkServer::close(Connection& c) {
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
        if (it->get() != &c) continue;
        struct Gone : Retired {    // it may be on the call stack
            explicit Gone(std::unique_ptr<Connection> of) : connection(std::move(of)) {}
            std::unique_ptr<Connection> connection;
        };
        c.stream.close();
        reactor_.retire(std::make_unique<Gone>(std::move(*it)));
        connections_.erase(it);
        return;
    }
}

void TalkServer::sweep() {
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> old;
    for (const auto& c : connections_)
        if (now - c->since > (c->ending ? kLinger : limits_.patience)) old.push_back(c.get());
    for (Connection* c : old) close(*c);
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

}    // namespace shaletray
