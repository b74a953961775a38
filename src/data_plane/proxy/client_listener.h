// Accepts clients and owns their connections, limits their number, enforces their timeouts and closes idle
// ones to make room for new clients. Only for the reactor's thread.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "base/common/log.h"
#include "data_plane/proxy/client_connection.h"

namespace shaletray {

// `request_handler`, `request_mapping`, `counters` and `reactor` must outlive it.
class ClientListener {
public:
    // Throws Poco::Exception if the address cannot be bound. Several processes of one gateway may listen on
    // it during a handover; clients wait in the backlog until they are accepted.
    static Poco::Net::ServerSocket listen(const std::string& address);
    ClientListener(RequestHandler& request_handler, RequestMapping& request_mapping, ClientCapacity capacity,
                   Counters& counters, Reactor& reactor, Poco::Net::ServerSocket socket,
                   std::size_t max_clients, std::function<bool()> is_ready);
    ~ClientListener();
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // The bound address, with the actual port.
    std::string address() const { return socket_.address().toString(); }
    std::size_t client_count() const { return clients_.size(); }
    // Like start_shutdown, but reversible.
    void set_draining(bool enabled);
    bool is_draining() const { return context_.is_draining; }
    // Closes idle connections, and the others after their next response; new ones are still accepted.
    void start_shutdown();
    // Accepts the connections in the backlog and then closes the listening socket.
    void stop_accepting();
    // Undoes stop_accepting with a new listening socket.
    void resume(Poco::Net::ServerSocket socket);

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>& event);
    bool accept_one();
    void set_accepting(bool enabled);
    bool evict_client();
    void pause_accepting(Duration delay);
    void close_stalled_clients();
    void close_idle_clients();

    ClientContext context_;
    std::size_t max_clients_;
    Poco::Net::ServerSocket socket_;
    bool is_open_ = true, is_accepting_ = false;
    Timers::Id sweep_timer_ = 0, pause_timer_ = 0;
    LogRateLimiter log_limiter_;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
};

}    // namespace shaletray
