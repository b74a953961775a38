// Identifiers that distinguish a disk from the one that it replaced.
#pragma once

#include <cstdint>

namespace shaletray::consensus {

// The identifier of the disk with which a founder of the cluster first started.
constexpr std::uint64_t kFounderDiskId = 0;

// Returns a random identifier other than kFounderDiskId.
std::uint64_t generate_disk_id();

}    // namespace shaletray::consensus
