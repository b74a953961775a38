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

class Listener {
public:
    // Throws Poco::Exception where the address cannot be listened on. The processes of one gateway may all
    // listen there; whoever comes from then on waits until he is accepted.
    static Poco::Net::ServerSocket listen(const std::string& address);
    Listener(Intake& intake, Door& door, ClientRoom room, Counters& counters, Reactor& reactor,
             Poco::Net::ServerSocket socket, std::size_t most_clients, std::function<bool()> ready);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    std::string address() const { return socket_.address().toString(); }
    std::size_t clients() const { return clients_.size(); }
    // As begin_stop, for as long as it is wanted.
    void drain(bool wanted);
    bool draining() const { return context_.draining; }
    // Answers end their connections from now on, and idle ones are closed; new ones are still accepted.
    void begin_stop();
    // Takes what is still waiting to be accepted, and then nothing more.
    void end_accepting();
    // After that: takes clients again, from this socket.
    void begin_anew(Poco::Net::ServerSocket socket);

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>& event);
    bool accept();
    void accept_on(bool wanted);
    bool make_room();
    void pause_accepting(Duration wait);
    void sweep();
    void close_idle();

    ClientContext context_;
    std::size_t most_clients_;
    Poco::Net::ServerSocket socket_;
    bool open_ = true, accepting_ = false;
    Timers::Id sweep_timer_ = 0, pause_timer_ = 0;
    LogGate gate_;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
};

}    // namespace shaletray
