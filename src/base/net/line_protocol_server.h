// Few, short talks beside the clients': operators' calls and the like. The connections are of a stated
// number; when all are taken, the one that waited longest for its caller makes room, so none can keep others
// out.
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

class LineProtocolServer {
public:
    struct Limits {
        std::size_t max_connections = 8;    // connections
        Duration idle_timeout{0};           // since a connection was taken or last brought bytes
        bool renews_on_input = true;        // bytes begin its time anew
    };
    // `socket` listens; nothing is accepted of more than `limits.most` at once. The descriptors are the
    // caller's to keep back: `limits.most` and one.
    LineProtocolServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits,
                       std::function<std::unique_ptr<LineProtocol>()> make_protocol);
    ~LineProtocolServer();
    LineProtocolServer(const LineProtocolServer&) = delete;
    LineProtocolServer& operator=(const LineProtocolServer&) = delete;

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
    std::list<std::unique_ptr<Connection>> connections_;    // the longest standing first
    Timers::Id sweep_timer_ = 0;
};

}    // namespace shaletray
