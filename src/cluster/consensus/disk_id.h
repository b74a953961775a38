// Identifiers that tell a disk from the one that it replaced.
#pragma once

#include <cstdint>

namespace shaletray::consensus {

// Of the disk with which a founder of the cluster first started.
constexpr std::uint64_t kFounderDiskId = 0;

// A random identifier, never kFounderDiskId.
std::uint64_t generate_disk_id();

}    // namespace shaletray::consensus
