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

enum class Kind : std::uint8_t { Convoy = 1, Lamp, Muster, Watch, Tide };

struct Letter {
    Kind kind{};
    std::string from;          // the sender's internal address, as it says
    std::uint64_t life = 0;    // the sender's
    std::string bytes;
};

class Mailer {
public:
    struct Limits {
        std::size_t most_queued = 8 * 1024 * 1024;    // bytes waiting for one peer
        std::size_t longest = 80 * 1024 * 1024;       // of one session message
        std::size_t most_sessions = 512;              // taken in at once
        Duration dial = std::chrono::milliseconds(1000);
        Duration silence = std::chrono::milliseconds(2000);    // TCP_USER_TIMEOUT and keep-alive
    };
    // Throws Poco::Exception where the address cannot be used.
    Mailer(Reactor& reactor, const std::string& address, std::uint64_t life, Limits limits,
           std::function<void(Letter&&)> heard);
    ~Mailer();
    // `to` is numeric. What cannot be sent (longer than 60,000 bytes, or the system refuses) is dropped,
    // counted. Letters to oneself are heard in a later turn.
    void datagram(const std::string& to, Kind kind, std::string_view bytes);
    // While the peer cannot be reached, what waited for 3 s is dropped, counted.
    void session(const std::string& to, Kind kind, std::string_view bytes);
    void life(std::uint64_t life);
    // Our own, with the port that the system chose where 0 was asked for.
    const std::string& address() const;
    struct Counts {
        std::uint64_t sent = 0, sent_bytes = 0, heard = 0, heard_bytes = 0, dropped = 0, spoilt = 0;
    };
    const Counts& counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::transport
