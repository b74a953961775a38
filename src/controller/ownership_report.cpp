#include "controller/ownership_report.h"

#include <boost/json.hpp>

namespace shaletray::controller {
namespace {

namespace json = boost::json;
using ownership::Assignment;
using ownership::Assignments;

std::string_view state_of(const Assignment& row) {
    if (row.settled) return "granted";
    return row.previous_owner.empty() ? "awaiting_expiry" : "awaiting_release";
}

json::object describe(const Assignment& row) {
    json::object result{{"first", row.keys.first},
                        {"last", row.keys.last},
                        {"owner", row.owner},
                        {"fence", row.fence},
                        {"state", state_of(row)}};
    if (!row.previous_owner.empty()) result["previous_owner"] = row.previous_owner;
    return result;
}

json::array describe(const Assignments& rows) {
    json::array result;
    for (const Assignment& row : rows) result.push_back(describe(row));
    return result;
}

}    // namespace

std::string describe_ownership(const ownership::OwnershipTable& table,
                               const std::map<std::string, double>& busiest_loads) {
    json::array services;
    for (const auto& [name, rows] : table.services) {
        json::object service{{"name", name}};
        if (const auto load = busiest_loads.find(name); load != busiest_loads.end())
            service["busiest_server_load"] = load->second;
        service["rows"] = describe(rows);
        services.push_back(std::move(service));
    }
    const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(table.hold);
    return json::serialize(json::object{
        {"version", table.version}, {"hold_ms", hold.count()}, {"services", std::move(services)}});
}

}    // namespace shaletray::controller
