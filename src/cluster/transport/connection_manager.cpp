#include "cluster/transport/connection_manager.h"

#include <Poco/Net/NetException.h>

#include <unordered_map>
#include <utility>

#include "cluster/transport/datagram_channel.h"
#include "cluster/transport/frame.h"
#include "cluster/transport/inbound_listener.h"
#include "cluster/transport/loopback_queue.h"
#include "cluster/transport/outbound_session.h"
#include "cluster/transport/socket_address.h"

namespace shaletray::transport {
namespace {

using namespace std::chrono_literals;

// Unused sessions are closed after this time, so that former peers use no resources.
constexpr Duration kIdleSessionTimeout = 30s;
// Inbound connections without input are closed after this time: a running sender would have closed its idle
// session before.
constexpr Duration kInboundTimeout = 60s;
constexpr Duration kSweepInterval = 5s;

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
    void set_incarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
    const std::string& address() const { return address_; }
    const Counters& counters() const { return counters_; }
    SendBacklog backlog() const;

private:
    void send_to_self(Kind kind, std::string_view payload);
    void count_sent(Kind kind, std::string_view payload);
    OutboundSession& session_to(const std::string& destination);
    void deliver(Message&& message);
    void schedule_sweep();
    void close_idle_connections();

    Reactor& reactor_;
    Limits limits_;
    Counters counters_;
    std::uint64_t incarnation_;
    std::string address_;
    std::function<void(Message&&)> on_message_;
    InboundListener listener_;
    DatagramChannel datagrams_;
    LoopbackQueue loopback_;
    std::unordered_map<std::string, std::unique_ptr<OutboundSession>> sessions_;    // by destination
    Timers::Id sweep_timer_ = 0;
};

ConnectionManager::Impl::Impl(Reactor& reactor, const std::string& address, std::uint64_t incarnation,
                              Limits limits, std::function<void(Message&&)> on_message)
    : reactor_(reactor),
      limits_(limits),
      incarnation_(incarnation),
      on_message_(std::move(on_message)),
      listener_(reactor, limits_, counters_, [this](Message&& message) { deliver(std::move(message)); }),
      datagrams_(reactor, counters_, [this](Message&& message) { deliver(std::move(message)); }),
      loopback_(reactor, limits_.max_queued_bytes, counters_, on_message_) {
    const auto bind_address = parse_address(address);
    if (!bind_address) throw Poco::Net::InvalidAddressException(address);
    listener_.bind(*bind_address);
    address_ = listener_.address().toString();
    datagrams_.bind(listener_.address());
    listener_.start();
    schedule_sweep();
}

ConnectionManager::Impl::~Impl() {
    listener_.close();
    datagrams_.close();
    reactor_.cancel_timer(sweep_timer_);
    sessions_.clear();
    reactor_.destroy_retired();    // closed connections still refer to this object
}

void ConnectionManager::Impl::send_datagram(const std::string& destination, Kind kind,
                                            std::string_view payload) {
    if (destination == address_) return send_to_self(kind, payload);
    count_sent(kind, payload);
    datagrams_.send(destination, write_datagram(kind, address_, incarnation_, payload));
}

void ConnectionManager::Impl::send_session_message(const std::string& destination, Kind kind,
                                                   std::string_view payload) {
    if (destination == address_) return send_to_self(kind, payload);
    if (payload.size() > limits_.max_message_bytes || !parse_address(destination)) {
        ++counters_.dropped;
        return;
    }
    count_sent(kind, payload);
    session_to(destination).enqueue(write_frame(kind, address_, incarnation_, payload));
}

void ConnectionManager::Impl::send_to_self(Kind kind, std::string_view payload) {
    loopback_.send({kind, address_, incarnation_, std::string(payload)});
}

SendBacklog ConnectionManager::Impl::backlog() const {
    SendBacklog backlog;
    for (const auto& [destination, session] : sessions_) session->add_backlog(backlog);
    return backlog;
}

void ConnectionManager::Impl::count_sent(Kind kind, std::string_view payload) {
    KindTraffic& traffic = counters_.of(kind);
    ++traffic.sent;
    traffic.sent_bytes += payload.size();
}

OutboundSession& ConnectionManager::Impl::session_to(const std::string& destination) {
    auto& session = sessions_[destination];
    if (!session) {
        const std::size_t seed = std::hash<std::string>()(address_ + destination) ^ incarnation_;
        session = std::make_unique<OutboundSession>(reactor_, limits_, counters_, destination,
                                                    static_cast<std::uint32_t>(seed));
    }
    return *session;
}

void ConnectionManager::Impl::deliver(Message&& message) {
    ++counters_.received;
    counters_.received_bytes += message.payload.size();
    KindTraffic& traffic = counters_.of(message.kind);
    ++traffic.received;
    traffic.received_bytes += message.payload.size();
    on_message_(std::move(message));
}

void ConnectionManager::Impl::schedule_sweep() {
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_idle_connections(); });
}

void ConnectionManager::Impl::close_idle_connections() {
    const TimePoint now = reactor_.clock().now();
    std::erase_if(sessions_,
                  [&](const auto& entry) { return entry.second->close_if_idle(now - kIdleSessionTimeout); });
    listener_.close_inactive_connections(now - kInboundTimeout);
    schedule_sweep();
}

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
void ConnectionManager::set_incarnation(std::uint64_t incarnation) { impl_->set_incarnation(incarnation); }
const std::string& ConnectionManager::address() const { return impl_->address(); }
const ConnectionManager::Counters& ConnectionManager::counters() const { return impl_->counters(); }
SendBacklog ConnectionManager::backlog() const { return impl_->backlog(); }

}    // namespace shaletray::transport
