// Text of the Prometheus exposition format.
#pragma once

#include <string>
#include <string_view>

namespace shaletray {

// Escapes backslashes, double quotes and newlines in a label's value.
std::string escape_label(std::string_view text);

}    // namespace shaletray
