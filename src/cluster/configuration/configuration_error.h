// The error of a rejected configuration or configuration update.
#pragma once

#include <string>

namespace shaletray::configuration {

// Why a configuration is rejected. Both texts are shown to the operator unchanged.
struct ConfigurationError {
    std::string field;     // path of the invalid member, such as "routes[3].timeout"
    std::string reason;    // predicate of a sentence about the field, such as "is missing"
};

}    // namespace shaletray::configuration
