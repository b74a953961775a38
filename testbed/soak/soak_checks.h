// What a soak run demands of its results. Pure.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak/soak_plan.h"

namespace shaletray::testbed {

// Of one tenant's requests.
struct TenantResult {
    std::string name;
    std::uint64_t due = 0, served = 0, rejected = 0, failed = 0;
    double quota = 0.0;    // units per second
    double served_share() const {
        return due == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(due);
    }
};

std::vector<TenantResult> results_by_tenant(const SystemPlan& plan, const ClientStatistics& statistics);
// The tenants with a few requests at least that are served less than a quarter as often as all.
std::vector<TenantResult> starved_tenants(const std::vector<TenantResult>& results);
// A line on the first route that is served less than `min_share` as often as all requests; empty: none is.
std::string worst_route(const SystemPlan& plan, const ClientStatistics& statistics, double min_share);
// The largest number of executions in any window of quota_window, less what the quota permits, over all
// tenants but the last; `worst_tenant` is whose it is.
double worst_quota_excess(const SystemPlan& plan, const SoakOptions& options,
                          const std::map<std::string, std::vector<TimePoint>>& executions_by_tenant,
                          std::string& worst_tenant);
// Each metric of the gateways' metrics: the sum over all gateways, and by how many it is above zero. Metrics
// by tenant are summed up over all tenants.
nlohmann::json sum_metrics(const std::map<std::string, std::string>& text_by_gateway);

}    // namespace shaletray::testbed
