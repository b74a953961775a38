// The receiving side of sessions.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/net/reactor.h"
#include "base/net/stream.h"
#include "cluster/transport/limits.h"
#include "cluster/transport/message.h"

namespace shaletray::transport {

// Accepts connections and reads messages from them. Each connection has one sender, named by its first
// message, and each sender has one connection: a new one replaces the previous one after the messages that
// already arrived on that were delivered. At the connection limit the least recently active connection is
// closed.
class InboundListener {
public:
    InboundListener(Reactor& reactor, const ConnectionLimits& limits, ConnectionCounters& counters,
                    std::function<void(Message&&)> on_message);
    ~InboundListener() { close(); }
    InboundListener(const InboundListener&) = delete;
    InboundListener& operator=(const InboundListener&) = delete;

    // Throws Poco::Exception where the address cannot be bound.
    void bind(const Poco::Net::SocketAddress& address);
    Poco::Net::SocketAddress address() const { return socket_.address(); }
    // Starts accepting connections.
    void start() { set_accepting(true); }
    // Closes the connections without input since `cutoff`.
    void close_inactive_connections(TimePoint cutoff);
    // Stops accepting and closes all connections.
    void close();

private:
    // A connection dialled by a peer. It is never written to.
    struct Connection : StreamOwner {
        explicit Connection(InboundListener& owner) : listener(owner), stream(owner.reactor_, *this) {}
        void on_input() override { listener.receive_messages(*this); }
        void on_disconnected() override { listener.close_connection(*this); }

        InboundListener& listener;
        Stream stream;
        std::string sender;    // empty until the first message
        TimePoint last_received{};
        std::list<std::unique_ptr<Connection>>::iterator position;
    };

    void set_accepting(bool enabled);
    void on_connection_pending(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    // Returns false where no connection is pending, or accepting failed.
    bool accept_connection();
    void pause_accepting();

    void receive_messages(Connection& connection);
    // Reads the next message. Returns false where it is incomplete or the connection was closed.
    bool receive_message(Connection& connection);
    // Drains and closes the previous connection of the same sender.
    void replace_previous(Connection& connection);
    void close_malformed(Connection& connection);
    void close_connection(Connection& connection);

    Reactor& reactor_;
    const ConnectionLimits& limits_;
    ConnectionCounters& counters_;
    std::function<void(Message&&)> on_message_;
    Poco::Net::ServerSocket socket_;
    bool accepting_ = false;
    std::list<std::unique_ptr<Connection>> connections_;        // least recently active first
    std::unordered_map<std::string, Connection*> by_sender_;    // the latest connection of each sender
    Timers::Id pause_timer_ = 0;
};

}    // namespace shaletray::transport
