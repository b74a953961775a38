// Sessions of peers, on the receiver's side.
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

// Accepts connections and reads messages from them. Each connection has one sender, which its first message
// states, and a sender has one connection: a new one replaces an earlier one, after the messages that have
// already arrived on the earlier one were delivered. At the limit of connections the one that was silent for
// the longest time is closed.
class InboundListener {
public:
    InboundListener(Reactor& reactor, const ConnectionLimits& limits, ConnectionCounters& counters,
                    std::function<void(Message&&)> on_message);
    ~InboundListener() { close(); }
    InboundListener(const InboundListener&) = delete;
    InboundListener& operator=(const InboundListener&) = delete;

    // Binds the address. Throws Poco::Exception where it cannot be used.
    void bind(const Poco::Net::SocketAddress& address);
    Poco::Net::SocketAddress address() const { return socket_.address(); }
    // Accepts connections from now on.
    void start() { set_accepting(true); }
    void close_silent_connections(TimePoint silent_since);
    // Stops accepting and closes all connections.
    void close();

private:
    // A connection that a peer dialled; it is only read from.
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
    // False where no connection waits, or none can be accepted now.
    bool accept_connection();
    void pause_accepting();

    void receive_messages(Connection& connection);
    // Reads the next message. False where it has not arrived completely, or the connection was closed.
    bool receive_message(Connection& connection);
    void supersede_previous(Connection& connection);
    void close_malformed(Connection& connection);
    void close_connection(Connection& connection);

    Reactor& reactor_;
    const ConnectionLimits& limits_;
    ConnectionCounters& counters_;
    std::function<void(Message&&)> on_message_;
    Poco::Net::ServerSocket socket_;
    bool accepting_ = false;
    std::list<std::unique_ptr<Connection>> connections_;        // the longest silent one first
    std::unordered_map<std::string, Connection*> by_sender_;    // the one that the sender dialled last
    Timers::Id pause_timer_ = 0;
};

}    // namespace shaletray::transport
