#include "cluster/transport/inbound_listener.h"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/transport/frame.h"

namespace shaletray::transport {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 64;
// Connections accepted per event, so that they do not starve other sockets.
constexpr int kMaxAcceptsPerEvent = 16;
// Maximum reads from a replaced connection: enough to empty its socket buffer.
constexpr int kMaxDrainReads = 64;
// Pause after accepting failed for lack of file descriptors. Connections wait in the backlog.
constexpr Duration kAcceptPause = 20ms;
// Maximum buffer space reserved ahead for a frame, regardless of the length in its header.
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;

}    // namespace

InboundListener::InboundListener(Reactor& reactor, const ConnectionLimits& limits,
                                 ConnectionCounters& counters, std::function<void(Message&&)> on_message)
    : reactor_(reactor), limits_(limits), counters_(counters), on_message_(std::move(on_message)) {}

void InboundListener::bind(const Poco::Net::SocketAddress& address) {
    socket_.bind(address, true, false);
    socket_.listen(kBacklog);
    socket_.setBlocking(false);
}

void InboundListener::close() {
    set_accepting(false);
    reactor_.cancel_timer(pause_timer_);
    connections_.clear();
    by_sender_.clear();
}

// ---- accepting ----

void InboundListener::set_accepting(bool enabled) {
    if (accepting_ == enabled) return;
    const Poco::NObserver<InboundListener, Poco::Net::ReadableNotification> observer(
        *this, &InboundListener::on_connection_pending);
    if (enabled) reactor_.addEventHandler(socket_, observer);
    else reactor_.removeEventHandler(socket_, observer);
    accepting_ = enabled;
}

void InboundListener::on_connection_pending(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
        if (!accept_connection()) break;
    }
    reactor_.update_poll_timeout();
}

bool InboundListener::accept_connection() {
    try {
        const Poco::Net::StreamSocket socket = socket_.acceptConnection();
        if (connections_.size() >= limits_.max_inbound_connections) close_connection(*connections_.front());
        connections_.push_back(std::make_unique<Connection>(*this));
        Connection& connection = *connections_.back();
        connection.position = std::prev(connections_.end());
        connection.last_received = reactor_.clock().now();
        connection.stream.attach(socket);
        return true;
    } catch (const Poco::Exception& error) {
        // No connection is pending, or the peer closed it before it was accepted.
        if (error.code() == POCO_EWOULDBLOCK) return false;
        pause_accepting();
        return false;
    }
}

// The usual cause is a lack of file descriptors. The socket stays readable, so without a pause the loop would
// spin.
void InboundListener::pause_accepting() {
    if (!connections_.empty()) close_connection(*connections_.front());
    set_accepting(false);
    if (pause_timer_ != 0) return;
    pause_timer_ = reactor_.schedule_after(kAcceptPause, [this] {
        pause_timer_ = 0;
        set_accepting(true);
    });
}

// ---- receiving ----

void InboundListener::receive_messages(Connection& connection) {
    connection.last_received = reactor_.clock().now();
    connections_.splice(connections_.end(), connections_, connection.position);
    while (connection.stream.is_open()) {
        if (!receive_message(connection)) return;
    }
}

bool InboundListener::receive_message(Connection& connection) {
    http::Buffer& input = connection.stream.input_buffer();
    if (input.size() < kFrameHeaderBytes) return false;
    const std::size_t length = frame_length(input.unread());
    if (length == 0 || length > limits_.max_message_bytes + kMaxEnvelopeOverhead) {
        close_malformed(connection);
        return false;
    }
    if (input.size() < kFrameHeaderBytes + length) {
        const std::size_t missing = kFrameHeaderBytes + length - input.size();
        input.reserve(std::min(missing, std::max(kMaxReadAheadBytes, input.size())));
        return false;
    }
    auto message = read_message(input.unread().substr(kFrameHeaderBytes, length));
    input.consume(kFrameHeaderBytes + length);
    if (!message || (!connection.sender.empty() && connection.sender != message->sender)) {
        close_malformed(connection);
        return false;
    }
    if (connection.sender.empty()) {
        connection.sender = message->sender;
        replace_previous(connection);
    }
    on_message_(std::move(*message));
    return true;
}

// Unread messages on the previous connection were sent before those on the new one, and are delivered first.
void InboundListener::replace_previous(Connection& connection) {
    Connection* const previous = std::exchange(by_sender_[connection.sender], &connection);
    if (previous == nullptr) return;
    for (int i = 0; i < kMaxDrainReads && previous->stream.is_open() && !previous->stream.is_quiet(); ++i)
        previous->stream.read_available();
    if (previous->stream.is_open()) close_connection(*previous);
}

// ---- closing ----

void InboundListener::close_malformed(Connection& connection) {
    ++counters_.malformed;
    close_connection(connection);
}

void InboundListener::close_connection(Connection& connection) {
    struct RetiredConnection : RetiredObject {    // the connection may be on the call stack
        explicit RetiredConnection(std::unique_ptr<Connection> retired) : owned(std::move(retired)) {}
        std::unique_ptr<Connection> owned;
    };
    connection.stream.close();
    const auto known = by_sender_.find(connection.sender);
    if (known != by_sender_.end() && known->second == &connection) by_sender_.erase(known);
    const auto position = connection.position;
    reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*position)));
    connections_.erase(position);
}

void InboundListener::close_inactive_connections(TimePoint cutoff) {
    while (!connections_.empty() && connections_.front()->last_received < cutoff)
        close_connection(*connections_.front());
}

}    // namespace shaletray::transport
