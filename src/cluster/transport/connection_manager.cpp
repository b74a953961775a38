#include "cluster/transport/connection_manager.h"

#include <Poco/NObserver.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/net/stream.h"
#include "cluster/transport/frame.h"
#include "cluster/transport/send_queue.h"

namespace shaletray::transport {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 64;
constexpr int kMaxAcceptsPerEvent = 16;          // in one go
constexpr int kMaxDatagramsPerEvent = 64;        // in one go, so that a flood does not keep others waiting
constexpr int kMaxDrainReads = 64;               // reads of a connection that another one follows
constexpr Duration kAcceptPause = 20ms;          // out of descriptors: the backlog waits
constexpr Duration kMaxQueueAge = 3s;            // of what waits for a peer that is not reached
constexpr Duration kIdleSessionTimeout = 30s;    // then a session is closed
constexpr Duration kInboundTimeout = 60s;        // then a received connection is: its sender did not end it
constexpr Duration kSweepInterval = 5s;
constexpr Duration kStableConnectionTime = 1s;           // a connection that did so is dialled anew at once
constexpr std::size_t kMaxBatchBytes = 64 * 1024;        // bytes of several frames
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;    // bytes; a frame's length is not believed beyond

// Numeric addresses only: there is nobody to look names up with.
std::optional<Poco::Net::SocketAddress> parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
    Poco::Net::IPAddress ip;
    if (error != std::errc{} || parsed_end != end ||
        !Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip))
        return std::nullopt;
    return Poco::Net::SocketAddress(ip, port);
}

}    // namespace

class ConnectionManager::Impl {
public:
    Impl(Reactor& reactor, const std::string& address, std::uint64_t incarnation, Limits limits,
         std::function<void(Message&&)> on_message);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void send_datagram(const std::string& destination, Kind kind, std::string_view payload);
    void send_session_message(const std::string& destination, Kind kind, std::string_view payload);

    std::uint64_t incarnation_;
    std::string address_;
    Counters counters_;

private:
    // A peer that we send to. The connection is dialled while something waits, and only written to.
    class OutboundSession : public StreamOwner {
    public:
        OutboundSession(Impl& manager, std::string destination, std::uint32_t seed)
            : manager_(manager),
              destination_(std::move(destination)),
              send_queue_(manager.limits_.max_queued_bytes),
              backoff_(seed) {}
        ~OutboundSession() override;
        void enqueue(std::string frame);
        // Closes a connection that nobody used since; true where nothing is left to keep.
        bool close_if_idle(TimePoint unused_since);

        void on_connected() override;
        void on_input() override;
        void on_all_sent() override;
        void on_disconnected() override { handle_failure(); }

    private:
        void dial();
        void send_pending();
        void handle_failure();
        void close();
        void watch_progress();

        Impl& manager_;
        std::string destination_;
        SendQueue send_queue_;
        Backoff backoff_;
        std::unique_ptr<Stream> stream_;
        bool connected_ = false;
        TimePoint last_used_{}, connected_at_{}, next_dial_at_{};
        std::size_t last_unsent_bytes_ = 0;    // when progress was looked at last
        Timers::Id dial_timer_ = 0, retry_timer_ = 0, progress_timer_ = 0;
    };
    // A connection that a peer dialled, only read from.
    struct InboundConnection : StreamOwner {
        InboundConnection(Impl& owner) : manager(owner), stream(owner.reactor_, *this) {}
        void on_input() override { manager.receive_messages(*this); }
        void on_disconnected() override { manager.close_connection(*this); }

        Impl& manager;
        Stream stream;
        std::string sender;    // once it said so
        TimePoint last_received{};
        std::list<std::unique_ptr<InboundConnection>>::iterator position;
    };

    void on_datagram(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void on_connection_pending(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept_connection();
    void set_accepting(bool enabled);
    void receive_messages(InboundConnection& connection);
    void supersede_previous(InboundConnection& connection);
    void close_malformed(InboundConnection& connection);
    void close_connection(InboundConnection& connection);
    void send_to_self(Kind kind, std::string_view payload);
    void deliver_to_self();
    void deliver(Message&& message);
    void set_options(Poco::Net::StreamSocket& socket) const;
    void close_idle_connections();

    Reactor& reactor_;
    Limits limits_;
    std::function<void(Message&&)> on_message_;
    Poco::Net::DatagramSocket datagram_socket_;
    Poco::Net::ServerSocket listener_;
    bool accepting_ = false;
    std::vector<char> datagram_buffer_;
    std::unordered_map<std::string, std::unique_ptr<OutboundSession>> sessions_;
    std::list<std::unique_ptr<InboundConnection>> inbound_;            // the longest unheard first
    std::unordered_map<std::string, InboundConnection*> by_sender_;    // the connection it dialled last
    std::deque<Message> self_messages_;
    std::size_t self_bytes_ = 0;
    Timers::Id self_timer_ = 0, sweep_timer_ = 0, pause_timer_ = 0;
};

ConnectionManager::Impl::Impl(Reactor& reactor, const std::string& address, std::uint64_t incarnation,
                              Limits limits, std::function<void(Message&&)> on_message)
    : incarnation_(incarnation),
      reactor_(reactor),
      limits_(limits),
      on_message_(std::move(on_message)),
      datagram_buffer_(kMaxDatagramBytes + 1) {
    const auto bind_address = parse_address(address);
    if (!bind_address) throw Poco::Net::InvalidAddressException(address);
    listener_.bind(*bind_address, true, false);
    listener_.listen(kBacklog);
    listener_.setBlocking(false);
    address_ = listener_.address().toString();
    datagram_socket_.bind(listener_.address(), false, false);
    datagram_socket_.setBlocking(false);
    reactor_.addEventHandler(
        datagram_socket_, Poco::NObserver<Impl, Poco::Net::ReadableNotification>(*this, &Impl::on_datagram));
    set_accepting(true);
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_idle_connections(); });
}

ConnectionManager::Impl::~Impl() {
    set_accepting(false);
    reactor_.removeEventHandler(
        datagram_socket_, Poco::NObserver<Impl, Poco::Net::ReadableNotification>(*this, &Impl::on_datagram));
    for (Timers::Id* timer : {&self_timer_, &sweep_timer_, &pause_timer_}) reactor_.cancel_timer(*timer);
    sessions_.clear();
    inbound_.clear();
    reactor_.destroy_retired();    // what was closed refers to us
}

void ConnectionManager::Impl::set_options(Poco::Net::StreamSocket& socket) const {
    try {
        const auto timeout_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(limits_.peer_timeout).count();
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout_ms));
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
    } catch (const Poco::Exception&) {
        // It broke meanwhile, which the stream will tell; or it ends later than it might.
    }
}

// --- what is sent ---

void ConnectionManager::Impl::send_datagram(const std::string& destination, Kind kind,
                                            std::string_view payload) {
    if (destination == address_) return send_to_self(kind, payload);
    const std::string datagram = write_datagram(kind, address_, incarnation_, payload);
    const auto socket_address = parse_address(destination);
    int sent_bytes = -1;
    try {
        if (socket_address && datagram.size() <= kMaxDatagramBytes)
            sent_bytes =
                datagram_socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()), *socket_address);
    } catch (const Poco::Exception&) {
        // Mail may be lost in any case: what cannot be sent now is not kept.
    }
    if (sent_bytes < 0) {
        ++counters_.dropped;
        return;
    }
    ++counters_.sent;
    counters_.sent_bytes += datagram.size();
}

void ConnectionManager::Impl::send_session_message(const std::string& destination, Kind kind,
                                                   std::string_view payload) {
    if (destination == address_) return send_to_self(kind, payload);
    if (payload.size() > limits_.max_message_bytes || !parse_address(destination)) {
        ++counters_.dropped;
        return;
    }
    auto& peer = sessions_[destination];
    if (!peer) {
        const std::size_t seed = std::hash<std::string>()(address_ + destination) ^ incarnation_;
        peer = std::make_unique<OutboundSession>(*this, destination, static_cast<std::uint32_t>(seed));
    }
    peer->enqueue(write_frame(kind, address_, incarnation_, payload));
}

void ConnectionManager::Impl::send_to_self(Kind kind, std::string_view payload) {
    for (; !self_messages_.empty() && self_bytes_ + payload.size() > limits_.max_queued_bytes;
         ++counters_.dropped) {
        self_bytes_ -= self_messages_.front().payload.size();
        self_messages_.pop_front();
    }
    self_bytes_ += payload.size();
    self_messages_.push_back({kind, address_, incarnation_, std::string(payload)});
    if (self_timer_ == 0) self_timer_ = reactor_.schedule_after(Duration(0), [this] { deliver_to_self(); });
}

// What is sent meanwhile waits for the next turn.
void ConnectionManager::Impl::deliver_to_self() {
    self_timer_ = 0;
    self_bytes_ = 0;
    for (Message& message : std::exchange(self_messages_, {})) on_message_(std::move(message));
}

ConnectionManager::Impl::OutboundSession::~OutboundSession() { close(); }

void ConnectionManager::Impl::OutboundSession::enqueue(std::string frame) {
    const TimePoint now = manager_.reactor_.clock().now();
    last_used_ = now;
    manager_.counters_.dropped += send_queue_.push(std::move(frame), now);
    if (connected_) send_pending();
    else if (stream_ || retry_timer_ != 0) return;
    else if (now >= next_dial_at_) dial();
    else retry_timer_ = manager_.reactor_.schedule_at(next_dial_at_, [this] { dial(); });
}

void ConnectionManager::Impl::OutboundSession::dial() {
    retry_timer_ = 0;
    manager_.counters_.dropped += send_queue_.expire(manager_.reactor_.clock().now() - kMaxQueueAge);
    if (send_queue_.empty()) return;
    stream_ = std::make_unique<Stream>(manager_.reactor_, *this);
    if (!stream_->connect(destination_)) return handle_failure();
    manager_.set_options(stream_->socket());
    dial_timer_ = manager_.reactor_.schedule_after(manager_.limits_.dial_timeout, [this] {
        dial_timer_ = 0;
        handle_failure();
    });
}

void ConnectionManager::Impl::OutboundSession::on_connected() {
    manager_.reactor_.cancel_timer(dial_timer_);
    connected_ = true;
    connected_at_ = manager_.reactor_.clock().now();
    send_pending();
}

void ConnectionManager::Impl::OutboundSession::send_pending() {
    while (connected_ && stream_->all_sent()) {
        send_queue_.mark_written();
        if (send_queue_.empty()) return manager_.reactor_.cancel_timer(progress_timer_);
        std::string batch = send_queue_.take_batch(kMaxBatchBytes);
        manager_.counters_.sent += send_queue_.batch_frames();
        manager_.counters_.sent_bytes += batch.size();
        if (!stream_->write_bytes(std::move(batch))) return handle_failure();
    }
    if (progress_timer_ == 0) watch_progress();
}

// A peer whose machine takes nothing, yet answers for its kernel, is as good as gone.
void ConnectionManager::Impl::OutboundSession::watch_progress() {
    last_unsent_bytes_ = stream_->unsent_bytes();
    progress_timer_ = manager_.reactor_.schedule_after(manager_.limits_.peer_timeout, [this] {
        progress_timer_ = 0;
        if (stream_->all_sent()) return;
        if (stream_->unsent_bytes() == last_unsent_bytes_) handle_failure();
        else watch_progress();
    });
}

void ConnectionManager::Impl::OutboundSession::on_all_sent() {
    last_used_ = manager_.reactor_.clock().now();
    send_pending();
}

// Nothing is ever answered on a session.
void ConnectionManager::Impl::OutboundSession::on_input() {
    ++manager_.counters_.malformed;
    handle_failure();
}

void ConnectionManager::Impl::OutboundSession::close() {
    for (Timers::Id* timer : {&dial_timer_, &retry_timer_, &progress_timer_})
        manager_.reactor_.cancel_timer(*timer);
    if (stream_) destroy_stream_later(manager_.reactor_, std::move(stream_));
    manager_.counters_.dropped += send_queue_.discard_batch();
    connected_ = false;
}

// What was being written is lost: nobody knows how much of it was read. What waits is kept.
void ConnectionManager::Impl::OutboundSession::handle_failure() {
    const TimePoint now = manager_.reactor_.clock().now();
    const bool was_stable = connected_ && now - connected_at_ >= kStableConnectionTime;
    close();
    if (was_stable) backoff_.reset();
    next_dial_at_ = was_stable ? now : now + backoff_.next_delay();
    manager_.counters_.dropped += send_queue_.expire(now - kMaxQueueAge);
    if (!send_queue_.empty()) retry_timer_ = manager_.reactor_.schedule_at(next_dial_at_, [this] { dial(); });
}

bool ConnectionManager::Impl::OutboundSession::close_if_idle(TimePoint unused_since) {
    if (last_used_ >= unused_since || !send_queue_.empty() || (stream_ && !connected_)) return false;
    if (stream_ && !stream_->all_sent()) return false;
    send_queue_.mark_written();
    close();
    return true;
}

// --- what is heard ---

void ConnectionManager::Impl::deliver(Message&& message) {
    ++counters_.received;
    counters_.received_bytes += message.payload.size();
    on_message_(std::move(message));
}

void ConnectionManager::Impl::on_datagram(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
        Poco::Net::SocketAddress source;
        int length = -1;
        try {
            length = datagram_socket_.receiveFrom(datagram_buffer_.data(),
                                                  static_cast<int>(datagram_buffer_.size()), source);
        } catch (const Poco::Exception&) {
            continue;    // what an earlier datagram met on its way; the next call reads on
        }
        if (length < 0) break;
        auto message = read_message({datagram_buffer_.data(), static_cast<std::size_t>(length)});
        if (message) deliver(std::move(*message));
        else ++counters_.malformed;
    }
    reactor_.update_poll_timeout();
}

void ConnectionManager::Impl::set_accepting(bool enabled) {
    if (accepting_ == enabled) return;
    const Poco::NObserver<Impl, Poco::Net::ReadableNotification> observer(*this,
                                                                          &Impl::on_connection_pending);
    if (enabled) reactor_.addEventHandler(listener_, observer);
    else reactor_.removeEventHandler(listener_, observer);
    accepting_ = enabled;
}

void ConnectionManager::Impl::on_connection_pending(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
        if (!accept_connection()) break;
    }
    reactor_.update_poll_timeout();
}

bool ConnectionManager::Impl::accept_connection() {
    try {
        const Poco::Net::StreamSocket socket = listener_.acceptConnection();
        if (inbound_.size() >= limits_.max_inbound_connections) close_connection(*inbound_.front());
        inbound_.push_back(std::make_unique<InboundConnection>(*this));
        InboundConnection& connection = *inbound_.back();
        connection.position = std::prev(inbound_.end());
        connection.last_received = reactor_.clock().now();
        connection.stream.attach(socket);
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK) return false;    // none waits, or it left before that
        // Out of descriptors, above all: the listener stays readable, and trying on would spin.
        if (!inbound_.empty()) close_connection(*inbound_.front());
        set_accepting(false);
        if (pause_timer_ == 0) {
            pause_timer_ = reactor_.schedule_after(kAcceptPause, [this] {
                pause_timer_ = 0;
                set_accepting(true);
            });
        }
        return false;
    }
}

void ConnectionManager::Impl::receive_messages(InboundConnection& connection) {
    connection.last_received = reactor_.clock().now();
    inbound_.splice(inbound_.end(), inbound_, connection.position);
    http::Buffer& input = connection.stream.input_buffer();
    while (connection.stream.is_open()) {
        const std::size_t length = frame_length(input.unread());
        if (input.size() < kFrameHeaderBytes) break;
        if (length == 0 || length > limits_.max_message_bytes + kMaxEnvelopeOverhead)
            return close_malformed(connection);
        if (input.size() < kFrameHeaderBytes + length) {
            const std::size_t missing = kFrameHeaderBytes + length - input.size();
            input.reserve(std::min(missing, std::max(kMaxReadAheadBytes, input.size())));
            break;
        }
        auto message = read_message(input.unread().substr(kFrameHeaderBytes, length));
        input.consume(kFrameHeaderBytes + length);
        if (!message || (!connection.sender.empty() && connection.sender != message->sender))
            return close_malformed(connection);
        if (connection.sender.empty()) {
            connection.sender = message->sender;
            supersede_previous(connection);
        }
        deliver(std::move(*message));
    }
}

// A sender has one connection at a time: where a new one speaks, an earlier one of it is over. What it still
// holds came before.
void ConnectionManager::Impl::supersede_previous(InboundConnection& connection) {
    InboundConnection* const previous = std::exchange(by_sender_[connection.sender], &connection);
    if (previous == nullptr) return;
    for (int i = 0; i < kMaxDrainReads && previous->stream.is_open() && !previous->stream.is_quiet(); ++i)
        previous->stream.read_available();
    if (previous->stream.is_open()) close_connection(*previous);
}

void ConnectionManager::Impl::close_malformed(InboundConnection& connection) {
    ++counters_.malformed;
    close_connection(connection);
}

void ConnectionManager::Impl::close_connection(InboundConnection& connection) {
    struct RetiredConnection : RetiredObject {    // it may be on the call stack
        explicit RetiredConnection(std::unique_ptr<InboundConnection> retired) : owned(std::move(retired)) {}
        std::unique_ptr<InboundConnection> owned;
    };
    connection.stream.close();
    const auto known = by_sender_.find(connection.sender);
    if (known != by_sender_.end() && known->second == &connection) by_sender_.erase(known);
    const auto position = connection.position;
    reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*position)));
    inbound_.erase(position);
}

void ConnectionManager::Impl::close_idle_connections() {
    const TimePoint now = reactor_.clock().now();
    std::erase_if(sessions_,
                  [&](const auto& peer) { return peer.second->close_if_idle(now - kIdleSessionTimeout); });
    while (!inbound_.empty() && inbound_.front()->last_received < now - kInboundTimeout)
        close_connection(*inbound_.front());
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_idle_connections(); });
}

// --- the contract ---

ConnectionManager::ConnectionManager(Reactor& reactor, const std::string& address, std::uint64_t incarnation,
                                     Limits limits, std::function<void(Message&&)> on_message)
    : impl_(std::make_unique<Impl>(reactor, address, incarnation, limits, std::move(on_message))) {}
ConnectionManager::~ConnectionManager() = default;
void ConnectionManager::send_datagram(const std::string& destination, Kind kind, std::string_view payload) {
    impl_->send_datagram(destination, kind, payload);
}
void ConnectionManager::send_session_message(const std::string& destination, Kind kind,
                                             std::string_view payload) {
    impl_->send_session_message(destination, kind, payload);
}
void ConnectionManager::set_incarnation(std::uint64_t incarnation) { impl_->incarnation_ = incarnation; }
const std::string& ConnectionManager::address() const { return impl_->address_; }
const ConnectionManager::Counters& ConnectionManager::counters() const { return impl_->counters_; }

}    // namespace shaletray::transport
