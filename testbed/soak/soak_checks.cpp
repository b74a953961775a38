#include "soak/soak_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <sstream>

namespace shaletray::testbed {
namespace {

// A share of fewer requests is not significant.
constexpr std::uint64_t kMinDue = 8;
constexpr double kStarvedShare = 0.25;    // relative to the served share of all requests
// bounds.quota_window and bounds.quota_overshoot of the fixture's settings.
constexpr double kQuotaWindow = 5.0, kQuotaOvershoot = 0.1;

std::size_t max_count_in_window(const std::vector<TimePoint>& times, double window) {
    std::deque<TimePoint> in_window;
    std::size_t max_count = 0;
    for (const TimePoint time : times) {
        in_window.push_back(time);
        while (time - in_window.front() > from_secs(window)) in_window.pop_front();
        max_count = std::max(max_count, in_window.size());
    }
    return max_count;
}

}    // namespace

std::vector<TenantResult> results_by_tenant(const SystemPlan& plan, const ClientStatistics& statistics) {
    std::vector<TenantResult> results;
    for (const TenantPlan& tenant : plan.tenants) results.push_back({tenant.name, 0, 0, 0, 0, tenant.rate});
    for (std::size_t i = 0; i < plan.callers.size(); ++i) {
        TenantResult& result = results[plan.callers[i].tenant];
        const ClientStatistics::CallerCounters& caller = statistics.by_caller[i];
        result.due += caller.due;
        result.served += caller.served;
        result.rejected += caller.rejected;
        result.failed += caller.failed;
    }
    return results;
}

std::vector<TenantResult> starved_tenants(const std::vector<TenantResult>& results) {
    TenantResult all;
    for (const TenantResult& result : results) {
        all.due += result.due;
        all.served += result.served;
    }
    std::vector<TenantResult> starved;
    for (const TenantResult& result : results) {
        if (result.due >= kMinDue && result.served_share() < kStarvedShare * all.served_share())
            starved.push_back(result);
    }
    return starved;
}

std::string worst_route(const SystemPlan& plan, const ClientStatistics& statistics, double min_share) {
    const ClientStatistics::RouteCounters all = statistics.totals();
    for (std::size_t i = 0; i < plan.routes.size(); ++i) {
        const ClientStatistics::RouteCounters& route = statistics.by_route[i];
        // Compared as products, so that nothing is divided by zero.
        const auto served = static_cast<double>(route.served) * static_cast<double>(all.due);
        const auto expected = static_cast<double>(all.served) * static_cast<double>(route.due);
        if (route.due >= kMinDue && served < min_share * expected)
            return fmt::format("route {}: {} of {} served", plan.routes[i].name, route.served, route.due);
    }
    return {};
}

double worst_quota_excess(const SystemPlan& plan, const SoakOptions& options,
                          const std::map<std::string, std::vector<TimePoint>>& executions_by_tenant,
                          std::string& worst_tenant) {
    double worst = -1e9;
    for (const TenantPlan& tenant : plan.tenants) {
        const auto executions = executions_by_tenant.find(tenant.name);
        if (executions == executions_by_tenant.end() || &tenant == &plan.tenants.back()) continue;
        const double permitted =
            (tenant.rate * kQuotaWindow + tenant.burst) * (1.0 + kQuotaOvershoot) + options.quota_slack;
        const double excess =
            static_cast<double>(max_count_in_window(executions->second, kQuotaWindow)) - permitted;
        if (excess <= worst) continue;
        worst = excess;
        worst_tenant = tenant.name;
    }
    return worst;
}

nlohmann::json sum_metrics(const std::map<std::string, std::string>& text_by_gateway) {
    struct Sum {
        double total = 0.0;
        int gateways_above_zero = 0;
    };
    std::map<std::string, Sum> sums;
    for (const auto& [gateway, text] : text_by_gateway) {
        std::map<std::string, double> values;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t space = line.rfind(' ');
            if (space == std::string::npos) continue;
            std::string name = line.substr(0, space);
            const std::size_t tenant = name.find("tenant=\"");
            // The label is removed, so that all tenants are summed.
            if (tenant != std::string::npos) name.erase(tenant, name.find('"', tenant + 8) + 1 - tenant);
            values[name] += std::strtod(line.c_str() + space, nullptr);
        }
        for (const auto& [name, value] : values) {
            sums[name].total += value;
            sums[name].gateways_above_zero += value > 0.0 ? 1 : 0;
        }
    }
    nlohmann::json result;
    for (const auto& [name, sum] : sums)
        result[name] = {{"total", sum.total}, {"gateways", sum.gateways_above_zero}};
    return result;
}

double metric_total(const nlohmann::json& sums, const std::string& name) {
    return sums.contains(name) ? sums[name]["total"].get<double>() : 0.0;
}

}    // namespace shaletray::testbed
