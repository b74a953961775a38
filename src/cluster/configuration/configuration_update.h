// Encoded configuration updates between processes: complete configurations, and deltas between two of them.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_error.h"

namespace shaletray::configuration {

// Encodes a complete configuration; the order of its entries is kept.
std::string write_full(const Configuration& config);
// Encodes the changes from one configuration to another. Entries are identified by name.
std::string write_delta(const Configuration& from, const Configuration& to);
// Decodes either kind of update. A complete update ignores `current`. The result of a delta is sorted by
// name, shares unchanged chunks with `current`, and takes time proportional to the changes. Errors:
// ConfigurationError, where the update is malformed or is a delta from another configuration than `current`;
// the caller should then request a complete update.
boost::leaf::result<Configuration> apply_update(const Configuration& current, std::string_view bytes);

}    // namespace shaletray::configuration
