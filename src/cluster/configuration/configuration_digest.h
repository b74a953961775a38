// Digests of configurations and hashes of their entries.
#pragma once

#include <cstdint>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// Returns a hash of a configuration's content, by which processes detect whether they hold the same one. It
// does not depend on the order of entries. For parsed or received configurations it costs one addition per
// chunk of about 64 entries, as their chunks cache hash sums.
std::uint64_t digest_of(const Configuration& config);

// Return the hashes of single entries, whose sums enter the digest.
std::uint64_t entry_hash(const Route& route);
std::uint64_t entry_hash(const Service& service);
std::uint64_t entry_hash(const Tenant& tenant);

}    // namespace shaletray::configuration
