// The operators' way in by the file system: a socket whose mode says who may use it. A line each way; few
// connections, short lines, and none that says nothing for long.
#pragma once

#include <memory>
#include <string>

#include "balancer/control_socket/plan_command_handler.h"
#include "base/net/line_protocol_server.h"

namespace shaletray::control_socket {

class ControlServer {
public:
    // Takes over the path from a process that is gone. Throws std::runtime_error where another one listens
    // there, and Poco::Exception where the path cannot be used.
    ControlServer(PlanCommandHandler office, Reactor& reactor, std::string path, int mode);
    ~ControlServer();
    ControlServer(const ControlServer&) = delete;
    ControlServer& operator=(const ControlServer&) = delete;

    std::uint64_t commands_received() const { return commands_received_; }

private:
    PlanCommandHandler command_handler_;
    std::string path_;
    std::uint64_t commands_received_ = 0;
    std::unique_ptr<LineProtocolServer> line_server_;
};

}    // namespace shaletray::control_socket
