// Responses to requests that the gateway answers itself, without forwarding them.
#pragma once

#include <string_view>

#include "base/http/message.h"

namespace shaletray {

// An error response to a request that is not forwarded.
struct ImmediateRejection {
    int status_code = 400;
    std::string_view reason;    // of static storage duration
    // Whether the connection may serve the next request, which needs intact framing. It is closed all the
    // same if the body has not arrived yet.
    bool keep_alive = false;
};

// The response to a message that could not be parsed.
ImmediateRejection rejection_for(http::ParseError error);

}    // namespace shaletray
