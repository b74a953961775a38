// Interface to the servers' addresses, and to whether requests may be sent to them.
#pragma once

#include <string>

#include "base/common/clock.h"
#include "decision/control.h"

namespace shaletray {

// Implemented by a platform's server list; used on the reactor's thread.
class HostTable {
public:
    // The current address and process of a server.
    struct Host {
        std::string address;               // numeric, with its port
        TimePoint process_started_at{};    // differs for each process that runs at the address
    };
    virtual ~HostTable() = default;
    // Null if the server is unknown or was removed. Valid until the table changes.
    virtual const Host* find_host(decision::HostId host) const = 0;
    // Whether a request may be sent to the server, also on a connection that was just established.
    virtual bool may_send_to(decision::HostId host, TimePoint now) const = 0;
};

}    // namespace shaletray
