#include "balancer/platform/peer_socket.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

#include <array>

namespace shaletray {
namespace {

constexpr int kMostAtOnce = 64;    // of mail in one go, so that a flood does not keep clients waiting

}    // namespace

PeerSocket::PeerSocket(Engine& engine, const Config& config, Counters& counters, Reactor& reactor)
    : engine_(engine), counters_(counters), reactor_(reactor) {
    for (const std::string& peer : config.peers) {
        peers_.emplace_back(peer);
        const int number = static_cast<int>(peers_.size()) - 1;
        if (number != config.settings.me) numbers_.emplace(peers_.back(), PeerId{number});
    }
    if (!config.peers_all.empty()) {
        all_ = Poco::Net::SocketAddress(config.peers_all);
        has_all_ = true;
    }
    if (config.peer_listen.empty()) return;
    socket_.bind(Poco::Net::SocketAddress(config.peer_listen), true);
    socket_.setBlocking(false);
    open_ = true;
    reactor_.addEventHandler(socket_, Poco::NObserver<PeerSocket, Poco::Net::ReadableNotification>(
                                          *this, &PeerSocket::on_readable));
}

PeerSocket::~PeerSocket() { close(); }

void PeerSocket::close() {
    if (!std::exchange(open_, false)) return;
    reactor_.removeEventHandler(socket_, Poco::NObserver<PeerSocket, Poco::Net::ReadableNotification>(
                                             *this, &PeerSocket::on_readable));
    socket_.close();
}

void PeerSocket::tell(PeerId to, const std::vector<std::uint8_t>& bytes) {
    const auto number = static_cast<std::int32_t>(to);
    const bool known = number < 0 ? has_all_ : static_cast<std::size_t>(number) < peers_.size();
    // Mail may be lost in any case: what cannot be sent now is not kept.
    if (!open_ || !known || bytes.size() > kLongest) {
        ++counters_.peer_send_failed;
        return;
    }
    try {
        const Poco::Net::SocketAddress& address =
            number < 0 ? all_ : peers_[static_cast<std::size_t>(number)];
        const int sent = socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), address);
        ++(sent < 0 ? counters_.peer_send_failed : counters_.peer_sent);
    } catch (const Poco::Exception&) {
        ++counters_.peer_send_failed;
    }
}

void PeerSocket::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    std::array<std::uint8_t, kLongest + 1> bytes{};    // one more shows what is too long
    for (int i = 0; i < kMostAtOnce; ++i) {
        Poco::Net::SocketAddress from;
        int length = -1;
        try {
            length = socket_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
        } catch (const Poco::Exception&) {
            continue;    // what an earlier datagram met on its way; the next call reads on
        }
        if (length < 0) break;
        const auto it = numbers_.find(from);
        if (it == numbers_.end() || length == 0 || static_cast<std::size_t>(length) > kLongest) {
            ++counters_.peer_dropped;
            continue;
        }
        ++counters_.peer_taken;
        engine_.mail_heard(it->second, {bytes.begin(), bytes.begin() + length});
    }
    reactor_.reckon_timeout();
}

}    // namespace shaletray
