#include "data_plane/proxy/client_listener.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 512;
constexpr Duration kSweepInterval = 250ms;
constexpr Duration kAcceptPause = 20ms;    // before accepting again after descriptors ran out
constexpr int kMaxAcceptsPerEvent = 16;    // so that many new connections do not delay other events
// Idle connections younger than this are not closed to make room: the client may not have read the response
// yet, a request may be in transit, and clients are told that connections are kept alive for two seconds.
constexpr Duration kMinAgeAfterLastResponse = 100ms, kMinAgeNoRequest = 20ms, kMinAgeKeptAlive = 2s;

}    // namespace

Poco::Net::ServerSocket ClientListener::listen(const std::string& address) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true, true);
    socket.listen(kBacklog);
    return socket;
}

ClientListener::ClientListener(RequestHandler& request_handler, RequestMapping& request_mapping,
                               ClientCapacity capacity, Counters& counters, Reactor& reactor,
                               Poco::Net::ServerSocket socket, std::size_t max_clients,
                               std::function<bool()> is_ready)
    : context_{request_handler,
               request_mapping,
               capacity,
               counters,
               reactor,
               std::move(is_ready),
               {},
               false,
               false},
      max_clients_(max_clients),
      socket_(std::move(socket)) {
    context_.on_connection_closed = [this](ClientConnection& client) {
        const auto it = clients_.find(&client);
        if (it == clients_.end()) return;
        context_.reactor.destroy_later(std::move(it->second));
        clients_.erase(it);
        if (!is_accepting_ && pause_timer_ == 0) set_accepting(true);
    };
    socket_.setBlocking(false);
    set_accepting(true);
    sweep_timer_ = reactor.schedule_after(kSweepInterval, [this] { close_stalled_clients(); });
}

ClientListener::~ClientListener() {
    is_open_ = false;
    set_accepting(false);
    context_.reactor.cancel_timer(sweep_timer_);
    context_.reactor.cancel_timer(pause_timer_);
    clients_.clear();
    context_.reactor.destroy_retired();    // closed connections refer to context_
}

void ClientListener::set_accepting(bool enabled) {
    if (is_accepting_ == enabled || (enabled && !is_open_)) return;
    const Poco::NObserver<ClientListener, Poco::Net::ReadableNotification> observer(
        *this, &ClientListener::on_readable);
    if (enabled) context_.reactor.addEventHandler(socket_, observer);
    else context_.reactor.removeEventHandler(socket_, observer);
    is_accepting_ = enabled;
}

void ClientListener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxAcceptsPerEvent && is_open_ && is_accepting_; ++i) {
        if (!accept_one()) break;
    }
    context_.reactor.update_poll_timeout();
}

// False if there was nothing more to accept.
bool ClientListener::accept_one() {
    if (clients_.size() >= max_clients_ && !evict_client()) {
        // No descriptor is left: clients wait in the backlog until a connection ends or may be closed.
        ++context_.counters.clients_rejected;
        pause_accepting(kAcceptPause);
        return false;
    }
    try {
        auto client = std::make_unique<ClientConnection>(context_, socket_.acceptConnection());
        ClientConnection* const key = client.get();
        clients_.emplace(key, std::move(client));
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK)
            return false;    // the backlog is empty, or the client has disconnected
        // Usually no descriptor is left: the listener stays readable, and retrying at once would be a busy
        // loop.
        if (log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::AcceptFailed, {log_field("why", error.displayText())});
        evict_client();
        pause_accepting(kAcceptPause);
        return false;
    }
}

void ClientListener::pause_accepting(Duration delay) {
    set_accepting(false);
    if (pause_timer_ != 0) return;
    pause_timer_ = context_.reactor.schedule_after(delay, [this] {
        pause_timer_ = 0;
        set_accepting(true);
    });
}

// Closes the first idle connection that is old enough, in the order of EvictionClass.
bool ClientListener::evict_client() {
    const TimePoint now = context_.reactor.clock().now();
    const std::pair<EvictionClass, Duration> eviction_order[] = {
        {EvictionClass::AfterLastResponse, kMinAgeAfterLastResponse},
        {EvictionClass::NoRequestYet, kMinAgeNoRequest},
        {EvictionClass::AfterOneRequest, kMinAgeKeptAlive},
        {EvictionClass::KeptAlive, kMinAgeKeptAlive},
        {EvictionClass::AfterOneRequest, Duration(0)}};
    for (const auto& [eviction_class, min_age] : eviction_order) {
        // A connection on which a request has arrived is removed from the set, so the loop ends.
        while (true) {
            const auto it =
                context_.evictable_connections.lower_bound({eviction_class, TimePoint::min(), nullptr});
            if (it == context_.evictable_connections.end() || std::get<0>(*it) != eviction_class ||
                now - std::get<1>(*it) < min_age)
                break;
            if (std::get<2>(*it)->evict()) return true;
        }
    }
    return false;
}

void ClientListener::close_stalled_clients() {
    std::vector<ClientConnection*> connections;
    for (const auto& [key, client] : clients_) connections.push_back(key);
    const TimePoint now = context_.reactor.clock().now();
    for (ClientConnection* client : connections) {
        client->close_if_stalled(now);
        if (!is_open_) client->close_if_idle();
    }
    sweep_timer_ = context_.reactor.schedule_after(is_open_ ? kSweepInterval : kSweepInterval / 10,
                                                   [this] { close_stalled_clients(); });
}

void ClientListener::resume(Poco::Net::ServerSocket socket) {
    context_.is_stopping = false;
    socket_ = std::move(socket);
    socket_.setBlocking(false);
    is_open_ = true;
    set_accepting(true);
}

void ClientListener::start_shutdown() {
    context_.is_stopping = true;
    close_idle_clients();
}

void ClientListener::set_draining(bool enabled) {
    context_.is_draining = enabled;
    if (enabled) close_idle_clients();
}

void ClientListener::close_idle_clients() {
    std::vector<ClientConnection*> connections;
    for (const auto& [key, client] : clients_) connections.push_back(key);
    for (ClientConnection* client : connections) client->close_if_idle();
}

void ClientListener::stop_accepting() {
    if (!is_open_) return;
    // The kernel has established the connections in the backlog: closing the socket would lose their
    // requests.
    while (accept_one()) {
    }
    set_accepting(false);
    is_open_ = false;
    socket_.close();
    context_.reactor.cancel_timer(sweep_timer_);
    close_stalled_clients();
}

}    // namespace shaletray
