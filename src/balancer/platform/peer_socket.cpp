#include "balancer/platform/peer_socket.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

#include <array>

namespace shaletray {
namespace {

constexpr int kMaxDatagramsPerEvent = 64;    // so that a flood of datagrams does not delay clients

}    // namespace

PeerSocket::PeerSocket(Engine& engine, const GatewayConfig& config, Counters& counters, Reactor& reactor)
    : engine_(engine), counters_(counters), reactor_(reactor) {
    for (const std::string& peer : config.peers) {
        peers_.emplace_back(peer);
        const int number = static_cast<int>(peers_.size()) - 1;
        if (number != config.settings.me) peer_ids_.emplace(peers_.back(), PeerId{number});
    }
    if (!config.all_peer_addresses.empty()) {
        broadcast_address_ = Poco::Net::SocketAddress(config.all_peer_addresses);
        has_broadcast_address_ = true;
    }
    if (config.peer_listen_address.empty()) return;
    socket_.bind(Poco::Net::SocketAddress(config.peer_listen_address), true);
    socket_.setBlocking(false);
    is_open_ = true;
    reactor_.addEventHandler(socket_, Poco::NObserver<PeerSocket, Poco::Net::ReadableNotification>(
                                          *this, &PeerSocket::on_readable));
}

PeerSocket::~PeerSocket() { close(); }

void PeerSocket::close() {
    if (!std::exchange(is_open_, false)) return;
    reactor_.removeEventHandler(socket_, Poco::NObserver<PeerSocket, Poco::Net::ReadableNotification>(
                                             *this, &PeerSocket::on_readable));
    socket_.close();
}

void PeerSocket::send_to_peer(PeerId recipient, const std::vector<std::uint8_t>& bytes) {
    const auto number = static_cast<std::int32_t>(recipient);
    const bool is_known =
        number < 0 ? has_broadcast_address_ : static_cast<std::size_t>(number) < peers_.size();
    // Datagrams may be lost anyway: one that cannot be sent now is dropped.
    if (!is_open_ || !is_known || bytes.size() > kMaxDatagramSize) {
        ++counters_.peer_send_failed;
        return;
    }
    try {
        const Poco::Net::SocketAddress& address =
            number < 0 ? broadcast_address_ : peers_[static_cast<std::size_t>(number)];
        const int sent = socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), address);
        ++(sent < 0 ? counters_.peer_send_failed : counters_.peer_messages_sent);
    } catch (const Poco::Exception&) {
        ++counters_.peer_send_failed;
    }
}

void PeerSocket::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    std::array<std::uint8_t, kMaxDatagramSize + 1> bytes{};    // one more, to detect oversized datagrams
    for (int count = 0; count < kMaxDatagramsPerEvent; ++count) {
        Poco::Net::SocketAddress from;
        int length = -1;
        try {
            length = socket_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
        } catch (const Poco::Exception&) {
            continue;    // the error of an earlier datagram; the next call continues
        }
        if (length < 0) break;
        const auto found = peer_ids_.find(from);
        if (found == peer_ids_.end() || length == 0 || static_cast<std::size_t>(length) > kMaxDatagramSize) {
            ++counters_.peer_messages_dropped;
            continue;
        }
        ++counters_.peer_messages_received;
        engine_.on_peer_message(found->second, {bytes.begin(), bytes.begin() + length});
    }
    reactor_.update_poll_timeout();
}

}    // namespace shaletray
