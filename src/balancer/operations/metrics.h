// The figures that a gateway reports, in the Prometheus text format. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "base/common/counters.h"

namespace shaletray::operations {

// Beside what is counted: how things stand now.
struct ServiceStatus {
    std::size_t in_progress = 0;        // requests taken and not ended
    std::size_t known_servers = 0;      // in the list
    std::size_t skipped_servers = 0;    // of those, avoided now: taken out by hand, or ejected
};

std::string format_metrics(const Counters& counters, const ServiceStatus& standing);

}    // namespace shaletray::operations
