// Messages between the system's own processes.
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
// that the sender dials once there is something to send; its messages are delivered in order and never twice,
// or lost with the connection. Queues are bounded: beyond `max_queued_bytes` the oldest session messages to a
// peer are dropped. What is dropped is counted and not reported otherwise. Bytes that are not a message end
// their connection and are counted. To be used by the reactor's thread only.
class ConnectionManager {
public:
    using Limits = ConnectionLimits;
    using Counters = ConnectionCounters;

    // Binds `address`; with port 0 the system chooses one. `on_message` is called from the reactor's loop,
    // and must not destroy the manager. Throws Poco::Exception where the address cannot be used.
    ConnectionManager(Reactor& reactor, const std::string& address, std::uint64_t incarnation, Limits limits,
                      std::function<void(Message&&)> on_message);
    ~ConnectionManager();

    // Destinations are numeric addresses. Messages to our own address are delivered in a later turn of the
    // loop. Drops what cannot be sent: more than 60,000 bytes, or what the system refuses.
    void send_datagram(const std::string& destination, Kind kind, std::string_view payload);
    // While the peer cannot be reached, messages that have waited for 3 s are dropped.
    void send_session_message(const std::string& destination, Kind kind, std::string_view payload);
    // The incarnation that messages state from now on.
    void set_incarnation(std::uint64_t incarnation);
    // Our own address, with the port that is in use.
    const std::string& address() const;
    const Counters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::transport
