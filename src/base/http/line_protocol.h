// Interface of a connection's protocol state machine for short request/response exchanges. It is fed bytes
// and independent of sockets; LineProtocolServer runs one for each connection.
#pragma once

#include <string>

#include "base/http/buffer.h"

namespace shaletray {

// One instance serves one connection.
class LineProtocol {
public:
    // Close: after `output` has been written.
    enum class NextStep { ReadMore, Close };
    virtual ~LineProtocol() = default;
    // Consumes complete messages from `input` and appends the replies to `output`.
    virtual NextStep process_input(http::Buffer& input, std::string& output) = 0;
};

}    // namespace shaletray
