// The operators' way into a running gateway: a socket in the file system, whose mode says who may use it. A
// line each way; few connections, short lines, and none that says nothing for long.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <list>
#include <memory>
#include <string>

#include "control_socket/office.h"
#include "net/stream.h"

namespace shaletray::control_socket {

class Server {
public:
    // Takes over the path from a process that is gone. Throws std::runtime_error where another one listens
    // there, and Poco::Exception where the path cannot be used.
    Server(Office office, Reactor& reactor, std::string path, int mode);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::uint64_t asked() const { return asked_; }

private:
    struct Connection : StreamOwner {
        Connection(Server& of, Reactor& reactor)
            : server(of), stream(std::make_unique<Stream>(reactor, *this)) {}
        void on_input() override { server.serve(*this); }
        void on_sent() override;
        void on_broken() override { server.close(*this); }

        Server& server;
        std::unique_ptr<Stream> stream;
        TimePoint since{};
        bool ending = false;
    };
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void serve(Connection& c);
    void close(Connection& c);
    void sweep();

    Office office_;
    Reactor& reactor_;
    std::string path_;
    Poco::Net::ServerSocket socket_;
    std::list<std::unique_ptr<Connection>> connections_;
    Timers::Id sweep_timer_ = 0;
    std::uint64_t asked_ = 0;
};

}    // namespace shaletray::control_socket
