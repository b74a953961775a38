// Datagrams and ordered messages between gateways and controllers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/net/reactor.h"
#include "cluster/transport/limits.h"
#include "cluster/transport/message.h"

namespace shaletray::transport {

// Sends and receives datagrams and session messages on one internal address. A session is a TCP connection
// that the sender dials when it has a message to send. Its messages are delivered in order and at most once;
// they may be lost when the connection fails. Queues are bounded: beyond `max_queued_bytes` the oldest
// session messages to a peer are dropped. Dropped messages are counted but not reported otherwise. A
// connection that delivers malformed bytes is closed and counted. Must be used on the reactor's thread only.
class ConnectionManager {
public:
    using Limits = ConnectionLimits;
    using Counters = ConnectionCounters;

    // Binds `address`; for port 0 the system chooses a port. `on_message` is called from the reactor's loop
    // and must not destroy the manager. Throws Poco::Exception where the address cannot be bound.
    ConnectionManager(Reactor& reactor, const std::string& address, std::uint64_t incarnation, Limits limits,
                      std::function<void(Message&&)> on_message);
    ~ConnectionManager();

    // Destinations are numeric addresses. Messages to the process's own address are delivered in a later
    // iteration of the loop. Drops datagrams above 60,000 bytes and those that the system refuses.
    void send_datagram(const std::string& destination, Kind kind, std::string_view payload);
    // While the peer is unreachable, messages are dropped after 3 s in the queue.
    void send_session_message(const std::string& destination, Kind kind, std::string_view payload);
    // Sets the incarnation in the envelopes of later messages.
    void set_incarnation(std::uint64_t incarnation);
    // The own address, with the actual port.
    const std::string& address() const;
    const Counters& counters() const;
    // Of all sessions now.
    SendBacklog backlog() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::transport
