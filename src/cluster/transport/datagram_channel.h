// The UDP socket of a process.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <string>
#include <vector>

#include "base/net/reactor.h"
#include "cluster/transport/limits.h"
#include "cluster/transport/message.h"

namespace shaletray::transport {

// Sends and receives envelopes as datagrams. As datagrams may be lost anyway, one that cannot be sent
// immediately is dropped and counted.
class DatagramChannel {
public:
    DatagramChannel(Reactor& reactor, ConnectionCounters& counters,
                    std::function<void(Message&&)> on_message);
    ~DatagramChannel() { close(); }
    DatagramChannel(const DatagramChannel&) = delete;
    DatagramChannel& operator=(const DatagramChannel&) = delete;

    // Starts receiving. Throws Poco::Exception where the address cannot be bound.
    void bind(const Poco::Net::SocketAddress& address);
    void send(const std::string& destination, const std::string& datagram);
    // Stops receiving.
    void close();

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

    Reactor& reactor_;
    ConnectionCounters& counters_;
    std::function<void(Message&&)> on_message_;
    Poco::Net::DatagramSocket socket_;
    bool receiving_ = false;
    std::vector<char> buffer_;    // one byte above the limit, so that longer datagrams are detected
};

}    // namespace shaletray::transport
