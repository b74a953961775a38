// One connection's side of a short talk, fed bytes. It knows no socket.
#pragma once

#include <string>

#include "base/http/buffer.h"

namespace shaletray {

class LineProtocol {
public:
    enum class NextStep { ReadMore, Close };    // for more bytes; once what was said is written
    virtual ~LineProtocol() = default;
    // Consumes what it understood of `in`, and appends what is to be said to `out`.
    virtual NextStep process_input(http::Buffer& input, std::string& output) = 0;
};

}    // namespace shaletray
