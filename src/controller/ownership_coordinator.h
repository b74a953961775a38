// Drives key ownership at one controller: keeps the committed table, plans its next state, proposes it to the
// replicated register, and decides which keys the response to a server's heartbeat grants. The rules are in
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

// What the response to a server's heartbeat states about its keys.
struct KeyGrant {
    enum class Kind {
        NotSharded,     // nothing: the keys of its service are not sharded
        Unconfirmed,    // no recent quorum confirmation of the table: the server must ask another controller
        Rows            // the server holds `rows` and must release all other keys
    };
    Kind kind = Kind::NotSharded;
    std::vector<ownership::Assignment> rows;
    Duration hold{0};
};

// For the reactor's thread only. Clock, register and servers must outlive it.
class OwnershipCoordinator {
public:
    struct Settings {
        std::string self_address;
        Duration heartbeat_interval{0}, max_hold{0};
    };
    struct Callbacks {
        // tick() is due at this time.
        std::function<void(TimePoint)> tick_due;
        // The committed table has changed.
        std::function<void(const ownership::OwnershipTable&)> table_changed;
    };
    struct Statistics {
        std::uint64_t granted = 0, unconfirmed = 0;    // responses to heartbeats
        std::uint64_t proposals = 0, settled_by_release = 0;
    };
    OwnershipCoordinator(Settings settings, const Clock& clock, OwnershipRegister& replicated_register,
                         const std::map<std::string, registry::Server>& servers, Callbacks callbacks);

    // The register's committed entry has changed.
    void on_entry_committed();
    // Sets the services whose keys are sharded according to the newest configuration.
    void set_sharded_services(configuration::ServiceNames services);
    // Handles a server's heartbeat, which the registry must have recorded already.
    void on_heartbeat(const registry::Heartbeat& heartbeat);
    // Handles a gateway's samples of the keys that its requests ask for.
    void on_key_samples(const std::vector<ownership::KeySamples>& key_samples);
    // Call when the response is written, after the heartbeat was read.
    KeyGrant grant_for(const std::string& service, const std::string& server_id);
    // Whether the server is draining and a plan that reassigns its keys is still pending.
    bool is_plan_due(const std::string& service, const std::string& server_id) const;
    void tick(TimePoint now);
    TimePoint next_deadline() const { return next_tick_; }

    const ownership::OwnershipTable& table() const { return table_; }
    std::size_t unsettled_rows() const;
    // Load of the busiest server of each service with key samples, as a multiple of its owners' mean load.
    std::map<std::string, double> busiest_loads() const;
    const Statistics& statistics() const { return statistics_; }

private:
    std::map<std::string, ownership::Servers> servers_by_service(TimePoint now);
    void keep_missing_owners(const std::string& service, ownership::Servers& servers, TimePoint now);
    bool is_registry_complete(TimePoint now) const;
    ownership::ServerInfo server_info(const registry::Server& server, TimePoint now) const;
    bool is_ready_to_assign(const std::string& service, const ownership::Servers& servers, TimePoint now);
    Duration proposal_delay() const;
    void update_balancing_input(const std::map<std::string, ownership::Servers>& servers, TimePoint now);
    void propose_settled(TimePoint now, bool by_expired_wait);
    void propose_plan(TimePoint now);
    void propose(const ownership::OwnershipTable& next, std::string_view reason);
    void request_tick_at(TimePoint time);

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
    std::map<std::string, TimePoint> first_seen_;    // by service without rows: its first server's appearance
    std::map<std::string, TimePoint> mass_loss_since_;    // by service, while most of its owners are missing
    ownership::KeyLoadTable key_loads_;
    ownership::Balance balancing_input_;
    TimePoint next_load_profile_at_{}, table_changed_at_{};
    TimePoint plan_wanted_since_{};    // zero: no plan is wanted
    bool is_urgent_ = false;           // a server that called here is draining: propose without delay
    TimePoint next_tick_{};
    LogRateLimiter log_limiter_;
    Statistics statistics_;
};

}    // namespace shaletray::controller
