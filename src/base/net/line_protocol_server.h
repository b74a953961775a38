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

class TalkServer {
public:
    struct Limits {
        std::size_t most = 8;    // connections
        Duration patience{0};    // since a connection was taken or last brought bytes
        bool renews = true;      // bytes begin its time anew
    };
    // `socket` listens; nothing is accepted of more than `limits.most` at once. The descriptors are the
    // caller's to keep back: `limits.most` and one.
    TalkServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits,
               std::function<std::unique_ptr<Talk>()> begin);
    ~TalkServer();
    TalkServer(const TalkServer&) = delete;
    TalkServer& operator=(const TalkServer&) = delete;

    std::string address() const { return socket_.address().toString(); }

private:
    struct Connection : StreamOwner {
        Connection(TalkServer& of, std::unique_ptr<Talk> t)
            : server(of), talk(std::move(t)), stream(of.reactor_, *this) {}
        void on_input() override { server.serve(*this); }
        void on_sent() override { server.sent(*this); }
        void on_broken() override { server.close(*this); }

        TalkServer& server;
        std::unique_ptr<Talk> talk;
        Stream stream;
        TimePoint since{};
        bool ending = false;
    };
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept();
    void serve(Connection& c);
    void sent(Connection& c);
    void close(Connection& c);
    void sweep();

    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Limits limits_;
    std::function<std::unique_ptr<Talk>()> begin_;
    std::list<std::unique_ptr<Connection>> connections_;    // the longest standing first
    Timers::Id sweep_timer_ = 0;
};

}    // namespace shaletray
