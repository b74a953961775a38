// A server for short exchanges of a LineProtocol (admin calls, the control socket, the handover), apart from
// the clients' traffic. The number of connections is bounded; when all are in use, the oldest one is
// closed, so that no peer can lock others out. Only for the reactor's thread.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/http/line_protocol.h"
#include "base/net/stream.h"

namespace shaletray {

// Owns its connections and one protocol object for each of them.
class LineProtocolServer {
public:
    // Bounds on connections and their inactivity.
    struct Limits {
        std::size_t max_connections = 8;
        Duration idle_timeout{0};       // since the connection was accepted or last received bytes
        bool renews_on_input = true;    // false: `idle_timeout` bounds the whole connection
    };
    // `socket` is already listening. The caller reserves the file descriptors: `limits.max_connections` and
    // one for the listener.
    LineProtocolServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits,
                       std::function<std::unique_ptr<LineProtocol>()> make_protocol);
    ~LineProtocolServer();
    LineProtocolServer(const LineProtocolServer&) = delete;
    LineProtocolServer& operator=(const LineProtocolServer&) = delete;

    // The bound address, with the actual port.
    std::string address() const { return socket_.address().toString(); }

private:
    struct Connection : StreamOwner {
        Connection(LineProtocolServer& owner, std::unique_ptr<LineProtocol> line_protocol)
            : server(owner), protocol(std::move(line_protocol)), stream(owner.reactor_, *this) {}
        void on_input() override { server.process_input(*this); }
        void on_all_sent() override { server.on_all_sent(*this); }
        void on_disconnected() override { server.close_connection(*this); }

        LineProtocolServer& server;
        std::unique_ptr<LineProtocol> protocol;
        Stream stream;
        TimePoint last_active_at{};
        bool is_closing = false;
    };
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept_one();
    void process_input(Connection& connection);
    void on_all_sent(Connection& connection);
    void close_connection(Connection& connection);
    void close_stale_connections();

    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Limits limits_;
    std::function<std::unique_ptr<LineProtocol>()> make_protocol_;
    std::list<std::unique_ptr<Connection>> connections_;    // oldest first
    Timers::Id sweep_timer_ = 0;
};

}    // namespace shaletray
