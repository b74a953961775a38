// A gateway's metrics in the Prometheus text format. Pure.
#pragma once

#include <map>
#include <string>

#include "cluster/quota/quota_balancer.h"
#include "gateway/admission_statistics.h"
#include "gateway/service_pipelines.h"

namespace shaletray::gateway {

// What the metrics tell. References are read during format_metrics() only.
struct MetricsSource {
    const std::string& zone;
    const AdmissionStatistics& admissions;
    quota::Statistics quota;                       // of the incarnation
    const std::map<std::string, double>& units;    // that could be granted now, by tenant
    bool ready = false, holds_quota_lease = false;
    std::uint64_t configuration_version = 0;
    std::uint32_t quota_divisor = 0;    // the number of gateways that share the quotas; 0: no lease
    std::size_t known_gateways = 0;     // not dead, this one included
    std::map<std::string, ServicePipelines::MisdirectionCounts> misdirections = {};    // by service
    std::uint64_t ownership_version = 0;    // of the owners of shard keys
    std::size_t owner_rows = 0;
    std::uint64_t without_owner = 0, sent_to_new_owner = 0;    // requests with a shard key
};

std::string format_metrics(const MetricsSource& source);

}    // namespace shaletray::gateway
