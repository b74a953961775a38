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

// Sends and receives envelopes as datagrams. Datagrams may be lost in any case, so what cannot be sent at
// once is dropped and counted.
class DatagramChannel {
public:
    DatagramChannel(Reactor& reactor, ConnectionCounters& counters,
                    std::function<void(Message&&)> on_message);
    ~DatagramChannel() { close(); }
    DatagramChannel(const DatagramChannel&) = delete;
    DatagramChannel& operator=(const DatagramChannel&) = delete;

    // Starts to receive. Throws Poco::Exception where the address cannot be used.
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
    std::vector<char> buffer_;    // one byte longer than any datagram, so that longer ones are recognised
};

}    // namespace shaletray::transport
