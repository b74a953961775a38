// Decides which server is to own which keys. A pure function of the table and the servers: the same input
// gives the same plan at every controller.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/ownership/load_profile.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// A server of a service, as far as a plan needs it. One that is not listed is gone.
struct ServerInfo {
    enum class State {
        InService,
        Leaving,    // it serves on until its keys are with others
        Unknown     // nobody has heard of it yet; not known to be gone
    };
    State state = State::InService;
    // Until its next heartbeat is expected, by which it learns of keys that it gets.
    Duration next_heartbeat_in{0};
};
using Servers = std::map<std::string, ServerInfo>;    // by id

// The rows of an answer to a heartbeat have to stay within 4 KiB.
constexpr std::size_t kMaxRowsPerServer = 48;
// Beyond the planned number for the case that no server has room; what is above is granted to nobody.
constexpr std::size_t kMaxRowsPerAnswer = 64;

// What is known of the requests for the keys.
struct Balance {
    LoadProfiles loads{};           // services without one go by the number of keys
    std::set<std::string> due{};    // services whose servers may be relieved now
};

// A first assignment divides the keys evenly. After that:
//  - keys of servers that are gone go to others whole, and have to wait (see SettlementTracker);
//  - servers that leave keep one key of each row until the others are released, so that the release can be
//  proven;
//  - a few keys go to the owner of those beside them, and adjacent rows of one owner are merged where it has
//  many;
//  - servers that came get an even part, from those that have the most, unless moves are under way;
//  - servers that get far more requests than the mean give keys away, where that is due. A key that weighs
//  more than an even part by itself is left alone on its server.
// Parts are measured by the requests for their keys as far as these are known.
class OwnershipPlanner {
public:
    // `next_version`: above every fence in the table; the version and the fences of what changes.
    OwnershipPlanner(const OwnershipTable& table, std::uint64_t next_version)
        : table_(table), next_version_(next_version) {}

    // The table with all that is to change now; none: nothing is. `servers` has the services whose keys are
    // to be divided; their other services stay as they are.
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
