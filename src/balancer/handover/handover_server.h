// Hands a gateway's state from a process to its successor over a Unix domain socket in $TMPDIR, named after
// the gateway's address. The successor first asks the old process to stop accepting clients, then for its
// state, whose format is in handover_state.h.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/net/line_protocol_server.h"

namespace shaletray::handover {

// The socket's path; empty if it cannot be used: TMPDIR is not set, the port is 0, or the path is too long.
std::string socket_path_for(const std::string& listen_address);

// Requests the state of the running process and blocks for at most two seconds in total. Empty if there is
// none or it does not reply. To be called after listening on the clients' address, so that no client is
// refused meanwhile.
std::string request_predecessor_state(const std::string& path);

// Serves one successor. Only for the reactor's thread.
class HandoverServer {
public:
    // `release_listeners` stops accepting clients; `export_state` returns the state and ends the service;
    // `resume_service` undoes `release_listeners` if the successor disconnects before it requested the state.
    // Throws like listen_at.
    HandoverServer(Reactor& reactor, std::string path, std::function<void()> release_listeners,
                   std::function<std::string()> export_state, std::function<void()> resume_service);
    ~HandoverServer();
    HandoverServer(const HandoverServer&) = delete;
    HandoverServer& operator=(const HandoverServer&) = delete;

private:
    class HandoverProtocol;
    std::string socket_path_;
    std::function<void()> release_listeners_;
    std::function<std::string()> export_state_;
    std::function<void()> resume_service_;
    bool is_released_ = false, state_sent_ = false;
    std::unique_ptr<LineProtocolServer> line_server_;
};

}    // namespace shaletray::handover
