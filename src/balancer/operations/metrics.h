// The figures that a gateway reports, in the Prometheus text format. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "base/common/counters.h"

namespace shaletray::operations {

// Beside what is counted: how things stand now.
struct Standing {
    std::size_t in_progress = 0;        // requests taken and not ended
    std::size_t known_servers = 0;      // in the list
    std::size_t skipped_servers = 0;    // of those, avoided now: taken out by hand, or ejected
};

std::string figures(const Counters& counters, const Standing& standing);

}    // namespace shaletray::operations
