#include "cluster/consensus/disk_id.h"

#include <sys/random.h>
#include <unistd.h>

#include <chrono>

namespace shaletray::consensus {
namespace {

// Used if the kernel's random generator fails: differs between processes and times.
std::uint64_t fallback_id() {
    const auto ticks = std::chrono::steady_clock::now().time_since_epoch().count();
    return static_cast<std::uint64_t>(ticks) ^ (static_cast<std::uint64_t>(getpid()) << 48);
}

}    // namespace

std::uint64_t generate_disk_id() {
    std::uint64_t disk_id = kFounderDiskId;
    while (disk_id == kFounderDiskId)
        if (getrandom(&disk_id, sizeof disk_id, 0) != sizeof disk_id) disk_id = fallback_id();
    return disk_id;
}

}    // namespace shaletray::consensus
