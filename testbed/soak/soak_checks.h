// Checks of a soak run's results. Pure functions.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak/soak_plan.h"

namespace shaletray::testbed {

// Results of one tenant's requests.
struct TenantResult {
    std::string name;
    std::uint64_t due = 0, served = 0, rejected = 0, failed = 0;
    double quota = 0.0;    // units per second
    double served_share() const {
        return due == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(due);
    }
};

std::vector<TenantResult> results_by_tenant(const SystemPlan& plan, const ClientStatistics& statistics);
// The tenants with a minimum of requests whose served share is below a quarter of the share of all requests.
std::vector<TenantResult> starved_tenants(const std::vector<TenantResult>& results);
// Describes the first route whose served share is below `min_share` of that of all requests; empty if there
// is none.
std::string worst_route(const SystemPlan& plan, const ClientStatistics& statistics, double min_share);
// The largest excess of executions over the quota in any window of quota_window, over all tenants but the
// last; sets `worst_tenant` to the tenant with this excess.
double worst_quota_excess(const SystemPlan& plan, const SoakOptions& options,
                          const std::map<std::string, std::vector<TimePoint>>& executions_by_tenant,
                          std::string& worst_tenant);
// For each metric of the gateways: the sum over all gateways, and the number of gateways where it is above
// zero. Metrics by tenant are summed over all tenants.
nlohmann::json sum_metrics(const std::map<std::string, std::string>& text_by_gateway);

// The sum of one metric in a result of sum_metrics; 0 where no gateway has it.
double metric_total(const nlohmann::json& sums, const std::string& name);

}    // namespace shaletray::testbed
