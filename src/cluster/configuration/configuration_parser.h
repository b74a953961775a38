// Parses and validates the JSON text of a configuration.
#pragma once

#include <boost/leaf/result.hpp>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_error.h"

namespace shaletray::configuration {

// Parses a configuration from JSON of at most 64 MiB. Routes, services and tenants of the result are sorted
// by name, and names are unique. Errors: ConfigurationError.
boost::leaf::result<Configuration> parse_configuration(std::string_view text);

}    // namespace shaletray::configuration
