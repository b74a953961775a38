// Datagrams between gateways.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>

#include <map>
#include <vector>

#include "balancer/platform/gateway_config.h"
#include "base/net/reactor.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

class PeerSocket : public PeerMessenger {
public:
    static constexpr std::size_t kMaxDatagramSize = 256;

    // Throws Poco::Exception where an address is no good.
    PeerSocket(Engine& engine, const GatewayConfig& config, Counters& counters, Reactor& reactor);
    ~PeerSocket() override;
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    void send_to_peer(PeerId recipient, const std::vector<std::uint8_t>& bytes) override;
    void close();    // neither hears nor tells from now on
    std::string address() const { return is_open_ ? socket_.address().toString() : std::string(); }

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>& event);

    Engine& engine_;
    Counters& counters_;
    Reactor& reactor_;
    Poco::Net::DatagramSocket socket_;
    bool is_open_ = false;
    std::vector<Poco::Net::SocketAddress> peers_;
    std::map<Poco::Net::SocketAddress, PeerId> peer_ids_;    // without our own
    Poco::Net::SocketAddress broadcast_address_;
    bool has_broadcast_address_ = false;
};

}    // namespace shaletray
