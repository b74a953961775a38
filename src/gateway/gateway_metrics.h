// Formats a gateway's metrics in the Prometheus text format. Does no I/O.
#pragma once

#include <map>
#include <string>

#include "base/common/counters.h"
#include "cluster/quota/quota_balancer.h"
#include "gateway/admission_statistics.h"
#include "gateway/service_pipelines.h"

namespace shaletray::gateway {

// Values of the metrics. References are read only during format_metrics().
struct MetricsSource {
    const std::string& zone;
    const AdmissionStatistics& admissions;
    quota::Statistics quota;                       // of this incarnation
    const std::map<std::string, double>& units;    // that can be granted now, by tenant
    const Counters& data_plane;
    bool ready = false, holds_quota_lease = false;
    std::uint64_t configuration_version = 0;
    std::uint32_t quota_divisor = 0;    // the number of gateways that share the quotas; 0: no lease
    std::size_t known_gateways = 0;     // not dead, including this one
    std::map<std::string, ServicePipelines::MisdirectionCounts> misdirections = {};    // by service
    std::uint64_t ownership_version = 0;    // of the table of shard key owners
    std::size_t owner_rows = 0;
    std::uint64_t without_owner = 0, sent_to_new_owner = 0;    // requests with a shard key
};

std::string format_metrics(const MetricsSource& source);

}    // namespace shaletray::gateway
