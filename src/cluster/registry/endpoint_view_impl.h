// The implementation of EndpointView, one class in several source files: endpoint_view.cpp (heartbeats and
// expiry), record_changes.cpp, update_merge.cpp (received updates) and update_encoder.cpp (sent updates).
#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/endpoint_records.h"
#include "cluster/registry/endpoint_view.h"
#include "cluster/registry/registry.capnp.h"

namespace shaletray::registry {

class EndpointView::Impl {
public:
    explicit Impl(Settings settings);

    // See EndpointView for the contracts of these functions.
    void set_incarnation(std::uint64_t new_incarnation);
    bool record_heartbeat(const Server& server, TimePoint now);
    bool deregister(std::string_view id, TimePoint now);
    boost::leaf::result<std::vector<std::string>> apply_changes(const std::string& from,
                                                                std::string_view bytes, TimePoint now);
    std::vector<std::string> tick(TimePoint now);
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;
    std::uint64_t sequence() const { return sequence_; }
    std::uint64_t own_sequence() const { return own_sequence_; }
    std::uint64_t known_sequence(const std::string& owner_address, std::uint64_t incarnation) const;
    const Servers& servers() const { return servers_; }

private:
    enum class ExpiryReason { MissedHeartbeats, OwnerUnreachable };

    // ---- ownership (endpoint_view.cpp) ----

    // Updates this process's own entry among the owners. Called at the start of each modifying operation.
    void record_activity(TimePoint now);
    Ownership self_ownership() const { return {kSelfOwner, settings_.incarnation}; }
    // Time without contact after which an owner counts as unreachable. No connected process lags that far.
    Duration owner_timeout() const { return 2 * settings_.heartbeat_timeout; }
    bool is_owned(const Record& record) const;
    // Whether the record is a deregistration that its owner lost in a restart.
    bool is_orphaned(const Record& record) const;
    // Whether this controller tells the others of the record.
    bool is_announced_to_peers(const Record& record) const {
        return is_owned(record) || record.was_owned || is_orphaned(record);
    }
    // Whether no process announces the server any more: its owner is unreachable, or has restarted and all
    // running servers have registered again without this one.
    bool is_owner_lost(const Record& record, TimePoint now) const;
    // Whether the heartbeat changes more than the time of the last heartbeat.
    bool is_change(RecordIterator it, const Server& server, TimePoint now) const;
    // Whether another running server has the same address. Other processes may take that one for the later
    // one until this server's next heartbeat is announced.
    bool has_address_conflict(RecordIterator it) const;
    bool has_expired(const Record& record, TimePoint now) const;
    bool is_retention_over(const Record& record, TimePoint now) const;

    // ---- changes of records (record_changes.cpp) ----

    void mark_changed(RecordIterator it);
    void mark_checked(RecordIterator it, TimePoint now);
    RecordIterator add_record(Server server, Ownership ownership, TimePoint first_heartbeat_at,
                              bool deregistered, TimePoint now);
    void replace_server(RecordIterator it, Server server, Ownership ownership, TimePoint first_heartbeat_at,
                        TimePoint now);
    void mark_deregistered(RecordIterator it, Ownership ownership, TimePoint now);
    void mark_expired(RecordIterator it, ExpiryReason reason, TimePoint now);
    void erase_record(RecordIterator it);
    // Where two servers have the same address, displaces the one whose last heartbeat precedes the first
    // heartbeat of the other. Delayed entries have times that are too late, so the conclusion may be wrong:
    // it is not announced to other processes, and the next heartbeat reverts it.
    void displace_older(RecordIterator it, TimePoint now);
    // Sets the server to Departed in this view only.
    void displace(RecordIterator it, TimePoint now);

    // ---- received updates (update_merge.cpp) ----

    boost::leaf::result<void> validate(const std::string& from, wire::RegistryUpdate::Reader update) const;
    std::uint32_t find_or_add_owner(std::string_view address);
    void update_owner(std::uint32_t index, std::uint64_t incarnation, bool registrations_complete,
                      TimePoint contact_at, TimePoint now);
    // Restores the servers of an owner that is reachable again.
    void restore_servers(Ownership ownership);
    void apply_update(wire::RegistryUpdate::Reader update, TimePoint now);
    void apply_entry(wire::Entry::Reader entry, const std::vector<std::string>& names, Ownership ownership,
                     TimePoint now);
    // Merges an entry for the heartbeat that is already known.
    void apply_same_heartbeat(RecordIterator it, wire::Entry::Reader entry, Ownership ownership,
                              TimePoint now);

    // ---- sent updates (update_encoder.cpp) ----

    std::vector<const Record*> announced_records(std::uint64_t since, bool own_only) const;
    class OwnerList;
    // Returns the owners of these records, and periodically all owners.
    OwnerList owners_to_announce(const std::vector<const Record*>& announced) const;
    void write_owners(wire::RegistryUpdate::Builder update, const OwnerList& owners, TimePoint now) const;
    void write_entry(const Record& record, const OwnerList& owners, wire::Entry::Builder builder,
                     TimePoint now) const;
    void write_entries(wire::RegistryUpdate::Builder update, const std::vector<const Record*>& announced,
                       const OwnerList& owners, TimePoint now) const;

    Settings settings_;
    Servers servers_;
    Records records_;
    std::vector<Owner> owners_;    // the first is this process, with an empty address in a gateway
    std::uint64_t sequence_ = 0;
    std::uint64_t own_sequence_ = 0;    // of the latest change of a record for which is_announced_to_peers()
    mutable std::uint64_t encoded_updates_ = 0;    // see owners_to_announce()
    TimePoint started_at_{};                       // time of the first operation; zero before it
};

}    // namespace shaletray::registry
