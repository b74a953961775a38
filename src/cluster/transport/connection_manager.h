// Messages between the system's own processes: datagrams and sessions on one internal address. A session is a
// TCP connection that the sender dials; what is sent is delivered in order or lost with the connection, and
// never twice. Queues are bounded: beyond `most_queued` bytes the oldest session messages to a peer are
// dropped, counted. Bytes that are no message of ours end that connection, counted.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/net/reactor.h"

namespace shaletray::transport {

enum class Kind : std::uint8_t { Membership = 1, Consensus, Registry, Subscription, Quota };

struct Message {
    Kind kind{};
    std::string sender;               // the sender's internal address, as it says
    std::uint64_t incarnation = 0;    // the sender's
    std::string payload;
};

class ConnectionManager {
public:
    struct Limits {
        std::size_t max_queued_bytes = 8 * 1024 * 1024;      // bytes waiting for one peer
        std::size_t max_message_bytes = 80 * 1024 * 1024;    // of one session message
        std::size_t max_inbound_connections = 512;           // taken in at once
        Duration dial_timeout = std::chrono::milliseconds(1000);
        Duration peer_timeout = std::chrono::milliseconds(2000);    // TCP_USER_TIMEOUT and keep-alive
    };
    // Throws Poco::Exception where the address cannot be used.
    ConnectionManager(Reactor& reactor, const std::string& address, std::uint64_t incarnation, Limits limits,
                      std::function<void(Message&&)> on_message);
    ~ConnectionManager();
    // `to` is numeric. What cannot be sent (longer than 60,000 bytes, or the system refuses) is dropped,
    // counted. Letters to oneself are heard in a later turn.
    void send_datagram(const std::string& destination, Kind kind, std::string_view payload);
    // While the peer cannot be reached, what waited for 3 s is dropped, counted.
    void send_session_message(const std::string& destination, Kind kind, std::string_view payload);
    void set_incarnation(std::uint64_t incarnation);
    // Our own, with the port that the system chose where 0 was asked for.
    const std::string& address() const;
    struct Counters {
        std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0, dropped = 0, malformed = 0;
    };
    const Counters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::transport
