// Accepts clients and owns their connections.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "base/common/log.h"
#include "data_plane/proxy/client_connection.h"

namespace shaletray {

class ClientListener {
public:
    // Throws Poco::Exception where the address cannot be listened on. The processes of one gateway may all
    // listen there; whoever comes from then on waits until he is accepted.
    static Poco::Net::ServerSocket listen(const std::string& address);
    ClientListener(RequestHandler& request_handler, RequestMapping& request_mapping, ClientCapacity capacity,
                   Counters& counters, Reactor& reactor, Poco::Net::ServerSocket socket,
                   std::size_t max_clients, std::function<bool()> is_ready);
    ~ClientListener();
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    std::string address() const { return socket_.address().toString(); }
    std::size_t client_count() const { return clients_.size(); }
    // As begin_stop, for as long as it is wanted.
    void set_draining(bool enabled);
    bool is_draining() const { return context_.is_draining; }
    // Answers end their connections from now on, and idle ones are closed; new ones are still accepted.
    void start_shutdown();
    // Takes what is still waiting to be accepted, and then nothing more.
    void stop_accepting();
    // After that: takes clients again, from this socket.
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
