#include "cluster/ownership/ownership_planner.h"

#include <utility>

#include "cluster/ownership/service_plan.h"

namespace shaletray::ownership {

std::optional<OwnershipTable> OwnershipPlanner::plan(const std::map<std::string, Servers>& servers,
                                                     const Balance& balance) const {
    const LoadProfile uniform_load;
    OwnershipTable next = table_;
    for (const auto& [service, service_servers] : servers) {
        const auto rows = table_.services.find(service);
        const auto known_load = balance.loads.find(service);
        const LoadProfile& load = known_load == balance.loads.end() ? uniform_load : known_load->second;
        Assignments planned =
            rows == table_.services.end()
                ? first_assignment(service_servers)
                : plan_service(rows->second, service_servers, load, balance.due.contains(service));
        if (!planned.empty()) next.services[service] = std::move(planned);
    }
    if (next == table_) return std::nullopt;
    next.version = next_version_;
    return next;
}

// No server has held any of these keys before, so the rows are settled at once.
Assignments OwnershipPlanner::first_assignment(const Servers& servers) const {
    std::vector<std::string> owners;
    for (const auto& [id, server] : servers)
        if (server.state == ServerInfo::State::InService) owners.push_back(id);
    Assignments rows;
    for (std::size_t i = 0; i < owners.size(); ++i) {
        Assignment row;
        row.keys = {static_cast<Key>(i * kKeyCount / owners.size()),
                    static_cast<Key>((i + 1) * kKeyCount / owners.size() - 1)};
        row.owner = owners[i];
        row.fence = row.changed = next_version_;
        row.settled = true;
        rows.push_back(std::move(row));
    }
    return rows;
}

Assignments OwnershipPlanner::plan_service(const Assignments& rows, const Servers& servers,
                                           const LoadProfile& load, bool is_balance_due) const {
    ServicePlan service_plan(rows, servers, load, next_version_);
    if (!service_plan.has_receivers()) return rows;
    service_plan.move_from_gone();
    service_plan.move_from_leaving();
    service_plan.fill_new_servers();
    if (is_balance_due) service_plan.rebalance_overloaded();
    service_plan.merge_rows();
    return service_plan.take_rows();
}

}    // namespace shaletray::ownership
