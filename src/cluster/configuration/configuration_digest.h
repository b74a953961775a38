// Hashes of configurations and of their entries.
#pragma once

#include <cstdint>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// A hash of a configuration's content, by which two processes find out whether they hold the same one. It
// does not depend on the order of entries. For configurations that were parsed or received it takes one
// addition for each chunk of about 64 entries.
std::uint64_t digest_of(const Configuration& config);

// Hashes of single entries; the digest is made of their sums.
std::uint64_t entry_hash(const Route& route);
std::uint64_t entry_hash(const Service& service);
std::uint64_t entry_hash(const Tenant& tenant);

}    // namespace shaletray::configuration
