// One connection's side of a short talk, fed bytes. It knows no socket.
#pragma once

#include <string>

#include "base/http/buffer.h"

namespace shaletray {

class Talk {
public:
    enum class Next { Wait, End };    // for more bytes; once what was said is written
    virtual ~Talk() = default;
    // Consumes what it understood of `in`, and appends what is to be said to `out`.
    virtual Next take(http::Buffer& in, std::string& out) = 0;
};

}    // namespace shaletray
