// Where servers are, and whether anything may be sent there.
#pragma once

#include <string>

#include "base/common/clock.h"
#include "decision/control.h"

namespace shaletray {

class HostTable {
public:
    struct Host {
        std::string address;               // numeric, with its port
        TimePoint process_started_at{};    // its process's start: another one is another process
    };
    virtual ~HostTable() = default;
    virtual const Host* find_host(decision::HostId host) const = 0;    // none: not known, or gone
    // Whether the first byte of a request may still go there.
    virtual bool may_send_to(decision::HostId host, TimePoint now) const = 0;
};

}    // namespace shaletray
