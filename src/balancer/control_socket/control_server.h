// Serves operators' plan commands on a Unix domain socket, whose file mode controls access. Each request and
// reply is one line of JSON; connections are few, and closed when idle. Only for the reactor's thread.
#pragma once

#include <memory>
#include <string>

#include "balancer/control_socket/plan_command_handler.h"
#include "base/net/line_protocol_server.h"

namespace shaletray::control_socket {

// Removes the socket when destroyed.
class ControlServer {
public:
    // Replaces a socket that a dead process left behind. Throws std::runtime_error if another process listens
    // there, and Poco::Exception if the path cannot be used.
    ControlServer(PlanCommandHandler command_handler, Reactor& reactor, std::string path, int mode);
    ~ControlServer();
    ControlServer(const ControlServer&) = delete;
    ControlServer& operator=(const ControlServer&) = delete;

    // Lines received since the start.
    std::uint64_t commands_received() const { return commands_received_; }

private:
    PlanCommandHandler command_handler_;
    std::string path_;
    std::uint64_t commands_received_ = 0;
    std::unique_ptr<LineProtocolServer> line_server_;
};

}    // namespace shaletray::control_socket
