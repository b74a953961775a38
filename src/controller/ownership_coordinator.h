// Drives key ownership at one controller: keeps the committed table, plans its next state, proposes it to the
// replicated register, and says what servers are granted in answers to their heartbeats. The rules stand in
// docs/design/key-ownership.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/common/log.h"
#include "cluster/configuration/sharded_services.h"
#include "cluster/ownership/key_load_table.h"
#include "cluster/ownership/ownership_planner.h"
#include "cluster/ownership/ownership_table.h"
#include "cluster/ownership/settlement_tracker.h"
#include "cluster/registry/service_registry.h"
#include "controller/ownership_register.h"

namespace shaletray::controller {

// What the answer to a server's heartbeat says about its keys.
struct KeyGrant {
    enum class Kind {
        NotSharded,     // nothing: the keys of its service are not divided
        Unconfirmed,    // no quorum confirmed the table lately: it has to ask another controller
        Rows            // these, and it has to let go of all others
    };
    Kind kind = Kind::NotSharded;
    std::vector<ownership::Assignment> rows;
    Duration hold{0};
};

// For the reactor's thread only. What it is constructed with has to outlive it.
class OwnershipCoordinator {
public:
    struct Settings {
        std::string self_address;
        Duration heartbeat_interval{0}, max_hold{0};
    };
    struct Callbacks {
        // tick() is due at this time.
        std::function<void(TimePoint)> tick_due;
        // The committed table is another one.
        std::function<void(const ownership::OwnershipTable&)> table_changed;
    };
    struct Statistics {
        std::uint64_t granted = 0, unconfirmed = 0;    // answers to heartbeats
        std::uint64_t proposals = 0, settled_by_proof = 0;
    };
    OwnershipCoordinator(Settings settings, const Clock& clock, OwnershipRegister& replicated_register,
                         const std::map<std::string, registry::Server>& servers, Callbacks callbacks);

    // The register's entry is another one.
    void on_entry_committed();
    // The services of the newest configuration whose keys are divided.
    void set_sharded_services(configuration::ServiceNames services);
    // A server called; the registry knows of it already.
    void on_heartbeat(const registry::Heartbeat& heartbeat);
    // A gateway told which keys its requests ask for.
    void on_key_samples(const std::vector<ownership::KeySamples>& key_samples);
    // To be asked when the answer is written, after the heartbeat was read.
    KeyGrant grant_for(const std::string& service, const std::string& server_id);
    // Whether keys of a server that leaves are still to be taken from it: a plan is under way.
    bool is_plan_due(const std::string& service, const std::string& server_id) const;
    void tick(TimePoint now);
    TimePoint next_deadline() const { return next_tick_; }

    const ownership::OwnershipTable& table() const { return table_; }
    std::size_t unsettled_rows() const;
    // Of each service of which requests are known: the load of its busiest server, in means of all owners.
    std::map<std::string, double> busiest_loads() const;
    const Statistics& statistics() const { return statistics_; }

private:
    std::map<std::string, ownership::Servers> servers_by_service(TimePoint now);
    void keep_owners_of_mass_loss(const std::string& service, ownership::Servers& servers, TimePoint now);
    bool is_registry_complete(TimePoint now) const;
    ownership::ServerInfo server_info(const registry::Server& server, TimePoint now) const;
    bool is_ready_to_assign(const std::string& service, const ownership::Servers& servers, TimePoint now);
    Duration proposal_delay() const;
    void update_balance(const std::map<std::string, ownership::Servers>& servers, TimePoint now);
    void propose_settled(TimePoint now, bool by_wait);
    void propose_plan(TimePoint now);
    void propose(const ownership::OwnershipTable& next, std::string_view reason);
    void wake_at(TimePoint time);

    Settings settings_;
    const Clock& clock_;
    OwnershipRegister& register_;
    const std::map<std::string, registry::Server>& servers_;
    Callbacks callbacks_;
    TimePoint started_at_;
    std::string table_bytes_;
    ownership::OwnershipTable table_;
    ownership::SettlementTracker tracker_;
    configuration::ServiceNames sharded_services_;
    std::map<std::string, TimePoint> first_seen_;    // services without rows: when their first server was
    std::map<std::string, TimePoint> most_gone_since_;    // by service, where most owners seem to be gone
    ownership::KeyLoadTable key_loads_;
    ownership::Balance balance_;
    TimePoint next_profile_at_{}, table_changed_at_{};
    TimePoint plan_wanted_since_{};    // zero: nothing is to be planned
    bool is_urgent_ = false;           // a server that called here leaves: no delay
    TimePoint next_tick_{};
    LogRateLimiter log_limiter_;
    Statistics statistics_;
};

}    // namespace shaletray::controller
