// Parsing and validation of the operator's configuration text.
#pragma once

#include <boost/leaf/result.hpp>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_error.h"

namespace shaletray::configuration {

// Reads a configuration from JSON of at most 64 MiB. Routes, services and tenants of the result ascend by
// name, each name once. Errors: ConfigurationError.
boost::leaf::result<Configuration> parse_configuration(std::string_view text);

}    // namespace shaletray::configuration
