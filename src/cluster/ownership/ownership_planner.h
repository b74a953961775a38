// Plans which server is to own which keys. A pure function of the table and the servers: the same input gives
// the same plan on every controller.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/ownership/load_profile.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// The planner's view of a server of a service. A server that is not listed counts as gone.
struct ServerInfo {
    enum class State {
        InService,
        Leaving,    // keeps serving until its keys have moved to other servers
        Unknown     // possibly running, though without a current registration; keeps its keys
    };
    State state = State::InService;
    // Time until its next heartbeat, whose response tells it which keys it was assigned.
    Duration next_heartbeat_in{0};
};
using Servers = std::map<std::string, ServerInfo>;    // by id

// Maximum number of rows that are planned for a server: the response to a heartbeat has to stay within 4 KiB.
constexpr std::size_t kMaxRowsPerServer = 48;
// Maximum number of rows in a heartbeat response. Above kMaxRowsPerServer, as plans exceed that where all
// servers have reached it. Rows beyond this limit are granted to no server.
constexpr std::size_t kMaxRowsPerAnswer = 64;

// The load by which keys are balanced.
struct Balance {
    LoadProfiles loads{};           // services without a profile are weighed by the number of keys
    std::set<std::string> due{};    // services whose overloaded servers may give keys away now
};

// The first assignment divides the keys evenly. After that:
//  - Rows of servers that are gone are moved whole, and have to wait (see SettlementTracker).
//  - A leaving server keeps one key of each row until the other keys are released, so that the release can be
//    proven.
//  - Rows of little weight go to the owner of an adjacent row, and adjacent rows of one owner are merged
//    where the owner has many.
//  - New servers get an even share, taken from the servers with the most weight, unless moves are in
//    progress.
//  - Servers with far more requests than the mean give keys away, where that is due. A key that alone weighs
//    more than an even share stays on its server, without other keys.
// Shares are measured by the requests for their keys, as far as these are known.
class OwnershipPlanner {
public:
    // `next_version`: the version of the planned table and the fence of its changed rows. Has to be above
    // every fence in `table`.
    OwnershipPlanner(const OwnershipTable& table, std::uint64_t next_version)
        : table_(table), next_version_(next_version) {}

    // Returns the table with all changes that are due now, or none where nothing changes. `servers` holds the
    // services whose keys are to be divided; the rows of other services stay unchanged.
    std::optional<OwnershipTable> plan(const std::map<std::string, Servers>& servers,
                                       const Balance& balance = {}) const;

private:
    Assignments plan_service(const Assignments& rows, const Servers& servers, const LoadProfile& load,
                             bool is_balance_due) const;
    Assignments first_assignment(const Servers& servers) const;

    const OwnershipTable& table_;
    std::uint64_t next_version_;
};

}    // namespace shaletray::ownership
