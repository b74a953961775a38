// A simulated cluster of controllers in virtual time. Each has a membership, a replicated register and a
// voter reconciler, connected as in Controller. Machines crash, freeze, are partitioned, lose power or disks,
// and are replaced by empty ones at other addresses.
#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "cluster/consensus/register_cluster.h"
#include "cluster/membership/membership.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller::test {

using namespace std::chrono_literals;
using consensus::test::kSanitizerDivisor;

struct ControllerCluster {
    static constexpr Duration kCatchUpTime = 4s, kContactTimeout = 3s, kAckTimeout = 4s;
    struct Machine {
        std::string address;
        consensus::PersistentState persisted_state;    // what survives a loss of power
        std::vector<consensus::Actions::StateWrite> unsynced_writes;
        std::optional<consensus::ReplicatedRegister> replica;
        std::unique_ptr<membership::Membership> member_view;
        std::optional<VoterReconciler> reconciler;
        std::uint64_t incarnation = 0;
        TimePoint frozen_until{}, starts_at{}, next_read_at{}, next_check_at{}, leaves_at{},
            unavailable_until{};
        bool is_removed = false;    // permanently
        bool is_counted = true;     // false: its successor is counted instead
        bool has_vote_handover = false;
    };
    struct Event {
        TimePoint delivery_time;
        std::uint64_t sequence = 0;
        std::size_t recipient = 0, sender = 0;
        std::uint64_t incarnation = 0;    // with a token: of the process that wrote; otherwise 0
        std::uint64_t token = 0, sender_incarnation = 0;
        bool is_membership = false;
        std::string bytes;
        bool operator<(const Event& other) const {
            return std::tie(delivery_time, sequence) > std::tie(other.delivery_time, other.sequence);
        }
    };
    struct PendingRequest {
        std::uint64_t version = 0, min_version = 0;    // min_version: acknowledged before the request
        TimePoint requested_at;
        bool is_read = false;
    };

    std::mt19937_64 random;
    TimePoint now = TimePoint{} + 1000s;
    std::vector<Machine> machines;
    std::priority_queue<Event> events;
    std::set<std::pair<std::size_t, std::size_t>> partitioned_links;
    std::map<consensus::RequestId, PendingRequest> requests;
    consensus::test::CommittedEntries committed;
    std::size_t max_failures;
    bool is_diskless = false;    // a restart loses all state and yields another voter
    std::uint64_t last_sequence = 0, last_request_id = 0, last_version = 0, indeterminate_count = 0,
                  committed_count = 0;

    ControllerCluster(std::uint64_t seed, std::size_t founder_count, std::size_t machine_count,
                      std::size_t tolerated_failures);
    static Machine make_machine(std::size_t index);
    std::uint64_t random_below(std::uint64_t bound) { return random() % bound; }
    bool random_chance(double probability);
    bool is_up(std::size_t index) const;

    void start_machine(std::size_t index, std::size_t founder_count = 0);
    // After a crash the disk has what was synced and possibly some unsynced writes; after a loss of power
    // only what was synced.
    void stop_machine(std::size_t index, bool power_loss);
    void crash_machine(std::size_t index, Duration downtime, bool power_loss, bool disk_wiped);
    void mark_unavailable(std::size_t index, Duration downtime);
    // SIGTERM: the machine hands over its vote, announces its departure and stops.
    void start_departure(std::size_t index);
    std::size_t add_machine();
    // The removed machine is no longer counted; its successor is, and is unavailable until it has caught up.
    std::size_t replace_machine(std::size_t index);
    std::size_t unavailable_count() const;

    void apply_actions(std::size_t index, const membership::Actions& actions);
    void apply_actions(std::size_t index, consensus::Actions& actions);
    void record_committed_entry(std::size_t index);
    void send_message(std::size_t sender, const std::string& recipient_address, bool is_membership,
                      const std::string& bytes);
    void update_peers(std::size_t index);
    void reconcile_voters(std::size_t index);
    void submit_request(std::size_t index, bool is_read);

    TimePoint next_deadline(std::size_t index) const;
    void tick_machine(std::size_t index);
    void run(TimePoint deadline);
    void run(Duration duration) { run(now + duration); }
    void deliver_event(Event event);

    // ---- invariants once every restarted or new machine has had its catch-up time ----
    const consensus::LogEntry& newest_entry() const { return committed.entries.rbegin()->second; }
    const Machine* machine_of_voter(const consensus::Replica& voter) const;
    // The voters tolerate the promised failures, and acknowledged changes are on more disks than may fail.
    void check_fault_tolerance(const char* phase) const;
    double elapsed_seconds() const;
    // Any running machine acknowledges a proposal and completes a read within kAckTimeout.
    void check_progress(const char* phase);
};

}    // namespace shaletray::controller::test
