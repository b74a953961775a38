// Updates by which configurations travel between processes: complete ones, and deltas from one to another.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/configuration_error.h"

namespace shaletray::configuration {

// Encodes a complete configuration; its entries keep their order.
std::string write_full(const Configuration& config);
// Encodes the changes from one configuration to another. Entries are identified by their names.
std::string write_delta(const Configuration& from, const Configuration& to);
// Decodes either kind of update; a complete one ignores `current`. A delta's result has its entries in the
// order of their names, shares the unchanged ones with `current`, and takes time in proportion to the
// changes. Errors: ConfigurationError, where the update is malformed or a delta from another configuration
// than `current`; the sender is then to be asked for a complete one.
boost::leaf::result<Configuration> apply_update(const Configuration& current, std::string_view bytes);

}    // namespace shaletray::configuration
