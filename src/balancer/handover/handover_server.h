// Where the processes of one gateway meet: a socket in $TMPDIR, named after the gateway's address. A new
// process asks the old one to let go of the clients' address, and then for what it holds. A driver only: what
// is handed over is in handover.h.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/net/line_protocol_server.h"

namespace shaletray::handover {

// Empty where there is no such place: TMPDIR is not set, the port is any, or the path would be too long.
std::string socket_path_for(const std::string& listen_address);

// Asks the process that serves now, and waits for at most two seconds in all. Empty where there is none or it
// does not answer. To be called once the clients' address is listened on, so that nobody is turned away
// meanwhile.
std::string request_predecessor_state(const std::string& place);

// Answers a successor, once.
class HandoverServer {
public:
    // `release` stops taking clients; `state` gives what is handed over, and ends the rest; `resume` undoes
    // the first, where the successor is gone before it asked for the second. Throws as listen_at.
    HandoverServer(Reactor& reactor, std::string place, std::function<void()> release,
                   std::function<std::string()> state, std::function<void()> resume);
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
