// Where servers are, and whether anything may be sent there.
#pragma once

#include <string>

#include "base/common/clock.h"
#include "decision/control.h"

namespace shaletray {

class Hosts {
public:
    struct Host {
        std::string address;    // numeric, with its port
        TimePoint born{};       // its process's start: another one is another process
    };
    virtual ~Hosts() = default;
    virtual const Host* find(decision::HostId host) const = 0;    // none: not known, or gone
    // Whether the first byte of a request may still go there.
    virtual bool may_begin(decision::HostId host, TimePoint now) const = 0;
};

}    // namespace shaletray
