// The error of a configuration, or of an update to one, that is rejected.
#pragma once

#include <string>

namespace shaletray::configuration {

// Why a configuration is rejected. The operator is given both texts as they stand.
struct ConfigurationError {
    std::string field;     // path of the member at fault, as "routes[3].timeout"
    std::string reason;    // end of a sentence about it, as "is missing"
};

}    // namespace shaletray::configuration
