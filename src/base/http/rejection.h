// A request that is answered without being passed on, since its message cannot be taken.
#pragma once

#include <string_view>

#include "base/http/message.h"

namespace shaletray {

// The answer to a request that is not passed on.
struct ImmediateRejection {
    int status_code = 400;
    std::string_view reason;    // text that stays
    // Unless something is wrong with how the message was framed, its connection may serve the next one. Where
    // its body is still coming, it ends all the same.
    bool keep_alive = false;
};

// Of a message that cannot be read.
ImmediateRejection rejection_for(http::ParseError error);

}    // namespace shaletray
