// Simulation of key ownership in virtual time: three controllers with replicated registers and coordinators,
// connected as in Controller, and servers that hold keys for a limited time. Controllers are killed, lose
// power or a disk, freeze and are partitioned in one or both directions; heartbeats and responses are
// delayed, lost and repeated; servers crash, leave and join. The invariant is checked on the servers: no two
// that are up hold the same key at the same time.
#pragma once

#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/replicated_register.h"
#include "controller/hold_model.h"
#include "controller/ownership_coordinator.h"

namespace shaletray::controller::test {

using namespace std::chrono_literals;

class VirtualClock final : public Clock {
public:
    TimePoint now() const override { return time; }
    TimePoint time = TimePoint{} + 1000s;
};

class OwnershipSimulation {
public:
    struct Counts {
        std::uint64_t accepted_rows = 0, refused_rows = 0, settled_by_release = 0, unconfirmed_responses = 0,
                      faults = 0;
    };
    // `accepts_late_responses`: servers also accept responses that come after kResponseTimeout.
    OwnershipSimulation(std::uint64_t seed, bool accepts_late_responses);
    ~OwnershipSimulation();

    // Injects faults until `fault_time`, then none until `total_time`.
    void run(Duration fault_time, Duration total_time);
    // Asserts that every key has a settled owner that is up and holds it.
    void check_progress() const;
    const Counts& counts() const { return counts_; }

private:
    struct ControllerNode;
    struct ServerNode {
        std::string id;
        bool is_up = true, is_draining = false;
        double clock_rate = 1.0;
        HoldModel holds;
        std::vector<ownership::ReleasedRange> released;
        std::uint64_t call_count = 0, pending_call = 0;    // 0: no call is pending
        std::size_t controller = 0;
        TimePoint next_call_at{}, call_sent_at{}, ends_at = TimePoint::max();
    };
    struct Event {
        enum class Kind { Consensus, Stored, Heartbeat, Response, RegistryChange };
        TimePoint delivery_time{};
        std::uint64_t sequence = 0;
        Kind kind = Kind::Consensus;
        std::size_t sender = 0, recipient = 0;
        std::uint64_t incarnation = 0;    // of the receiving process; 0: any
        std::uint64_t token = 0;          // of a write, or the call's number
        std::string bytes{};
        registry::Heartbeat heartbeat{};
        KeyGrant grant{};
        TimePoint sent_at{};
        bool operator<(const Event& other) const {
            return std::tie(delivery_time, sequence) > std::tie(other.delivery_time, other.sequence);
        }
    };

    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    bool random_chance(double probability) {
        return std::uniform_real_distribution<>()(random_) < probability;
    }
    // Whether a message is delayed, lost or repeated; never after the time of faults.
    bool random_disturbance(double probability) { return has_disturbances_ && random_chance(probability); }
    Duration random_duration(Duration limit) {
        return Duration(random_below(static_cast<std::uint64_t>(limit.count())));
    }
    void push(Event event);

    void start_controller(std::size_t index, bool is_first);
    void stop_controller(std::size_t index, bool wipe_disk);
    void apply(std::size_t index, consensus::Actions&& actions);
    void tick_controllers();
    // Reports the keys of requests as gateways do: most are in one range of neighbouring keys, which moves
    // every kHotKeyDuration.
    void report_key_samples(OwnershipCoordinator& coordinator);
    void replace_wiped_voter();
    void record_registry(std::size_t controller, const registry::Heartbeat& heartbeat);

    void add_server();
    void step_server(std::size_t index);
    void send_heartbeat(std::size_t index);
    void on_heartbeat(const Event& event);
    void on_response(const Event& event);
    void apply_grant(ServerNode& server, const KeyGrant& grant, TimePoint sent_at);
    void check_sole_holder(const ServerNode& server, const ownership::KeyRange& keys) const;

    void deliver(Event event);
    void inject_fault();
    void repair_links();

    std::uint64_t seed_;
    bool accepts_late_responses_;
    std::mt19937_64 random_;
    VirtualClock clock_;
    std::vector<std::unique_ptr<ControllerNode>> controllers_;
    std::vector<std::unique_ptr<ServerNode>> servers_;
    std::priority_queue<Event> events_;
    std::set<std::pair<std::size_t, std::size_t>> blocked_links_;    // between controllers: sender, recipient
    std::set<std::pair<std::size_t, std::size_t>> blocked_calls_;    // server, controller
    TimePoint links_repaired_at_ = TimePoint::max(), sampling_ends_at_ = TimePoint::max();
    ownership::Key hot_key_ = 0;
    TimePoint next_hot_key_at_{};
    bool has_disturbances_ = true;
    std::optional<consensus::Replica> wiped_voter_;    // its new disk is not a voter yet
    std::uint64_t last_sequence_ = 0, last_incarnation_ = 0;
    Counts counts_;
};

}    // namespace shaletray::controller::test
