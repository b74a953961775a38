// Text of the Prometheus exposition format.
#pragma once

#include <string>
#include <string_view>

namespace shaletray {

// A label's value, with what would end it escaped.
std::string escape_label(std::string_view text);

}    // namespace shaletray
