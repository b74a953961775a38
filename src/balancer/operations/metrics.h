// A gateway's metrics in the Prometheus text format. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "base/common/counters.h"

namespace shaletray::operations {

// Gauges beside the counters.
struct ServiceStatus {
    std::size_t in_progress = 0;        // requests accepted and not ended
    std::size_t known_servers = 0;      // in the list
    std::size_t skipped_servers = 0;    // currently ejected by operators or the decision module
};

// The complete text of a scrape.
std::string format_metrics(const Counters& counters, const ServiceStatus& status);

}    // namespace shaletray::operations
