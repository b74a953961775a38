// UDP datagrams between the gateways of one installation. Lost or dropped datagrams are not repeated. Only
// for the reactor's thread.
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

// Accepts datagrams only from the configured peers.
class PeerSocket : public PeerMessenger {
public:
    static constexpr std::size_t kMaxDatagramSize = 256;    // bytes

    // Throws Poco::Exception if an address is not valid.
    PeerSocket(Engine& engine, const GatewayConfig& config, Counters& counters, Reactor& reactor);
    ~PeerSocket() override;
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    void send_to_peer(PeerId recipient, const std::vector<std::uint8_t>& bytes) override;
    void close();    // neither receives nor sends from now on
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
