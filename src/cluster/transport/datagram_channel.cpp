#include "cluster/transport/datagram_channel.h"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <string_view>
#include <utility>

#include "cluster/transport/frame.h"
#include "cluster/transport/socket_address.h"

namespace shaletray::transport {
namespace {

// Datagrams read per event, so that a flood of them does not starve other sockets.
constexpr int kMaxDatagramsPerEvent = 64;

}    // namespace

DatagramChannel::DatagramChannel(Reactor& reactor, ConnectionCounters& counters,
                                 std::function<void(Message&&)> on_message)
    : reactor_(reactor),
      counters_(counters),
      on_message_(std::move(on_message)),
      buffer_(kMaxDatagramBytes + 1) {}

void DatagramChannel::bind(const Poco::Net::SocketAddress& address) {
    socket_.bind(address, false, false);
    socket_.setBlocking(false);
    reactor_.addEventHandler(socket_, Poco::NObserver<DatagramChannel, Poco::Net::ReadableNotification>(
                                          *this, &DatagramChannel::on_readable));
    receiving_ = true;
}

void DatagramChannel::close() {
    if (!std::exchange(receiving_, false)) return;
    reactor_.removeEventHandler(socket_, Poco::NObserver<DatagramChannel, Poco::Net::ReadableNotification>(
                                             *this, &DatagramChannel::on_readable));
}

void DatagramChannel::send(const std::string& destination, const std::string& datagram) {
    const auto address = parse_address(destination);
    int sent_bytes = -1;
    try {
        if (address && datagram.size() <= kMaxDatagramBytes)
            sent_bytes = socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()), *address);
    } catch (const Poco::Exception&) {
        // Counted as dropped below.
    }
    if (sent_bytes < 0) {
        ++counters_.dropped;
        return;
    }
    ++counters_.sent;
    counters_.sent_bytes += datagram.size();
}

void DatagramChannel::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
        Poco::Net::SocketAddress source;
        int length = -1;
        try {
            length = socket_.receiveFrom(buffer_.data(), static_cast<int>(buffer_.size()), source);
        } catch (const Poco::Exception&) {
            continue;    // the error of an earlier sent datagram; the next call continues to read
        }
        if (length < 0) break;
        auto message = read_message({buffer_.data(), static_cast<std::size_t>(length)});
        if (message) on_message_(std::move(*message));
        else ++counters_.malformed;
    }
    reactor_.update_poll_timeout();
}

}    // namespace shaletray::transport
