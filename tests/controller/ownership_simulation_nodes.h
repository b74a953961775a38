// Constants and controllers of OwnershipSimulation, shared by its source files. Internal to this folder.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "controller/ownership_simulation.h"

namespace shaletray::controller::test {

constexpr std::size_t kControllers = 3, kInitialServers = 3, kMaxServers = 7;
constexpr Duration kStepInterval = 10ms, kHeartbeatInterval = 1500ms, kResponseTimeout = 1s,
                   kHeartbeatExpiry = 6s, kDrainTime = 2300ms;
constexpr Duration kReadInterval = 500ms, kReadTimeout = 900ms, kQuorumValidity = 1500ms;
constexpr Duration kSampleInterval = 500ms, kHotKeyDuration = 9s, kSamplingTimeAfterFaults = 12s;
constexpr std::uint32_t kSamplesPerReport = 40;
inline const std::string kService = "saves";

inline std::string address_of(std::size_t index) { return "10.1.0." + std::to_string(index + 1) + ":7100"; }

// A controller: its register, its coordinator and its view of the servers.
struct OwnershipSimulation::ControllerNode final : OwnershipRegister {
    OwnershipSimulation* simulation = nullptr;
    std::size_t index = 0;
    consensus::PersistentState disk;
    std::vector<consensus::Actions::StateWrite> unsynced_writes;
    std::optional<consensus::ReplicatedRegister> replica;
    std::optional<OwnershipCoordinator> coordinator;
    std::map<std::string, registry::Server> servers;
    std::uint64_t incarnation = 0;
    TimePoint frozen_until{}, starts_at = TimePoint::max(), next_read_at{}, next_samples_at{};

    const consensus::LogEntry& committed_entry() const override { return replica->committed_entry(); }
    std::optional<TimePoint> quorum_confirmed_at() const override { return replica->quorum_confirmed_at(); }
    bool is_quorum_held() const override {
        const auto confirmed_at = quorum_confirmed_at();
        return confirmed_at && simulation->clock_.now() - *confirmed_at <= kQuorumValidity;
    }
    bool is_voter() const override { return replica->is_voter(); }
    void change_ownership_table(std::string current_table, std::string new_table) override {
        consensus::Actions actions;
        replica->change_ownership_table(std::move(current_table), std::move(new_table),
                                        simulation->clock_.now(), actions);
        simulation->apply(index, std::move(actions));
    }
    bool is_responsive() const { return replica && frozen_until <= simulation->clock_.now(); }
};

}    // namespace shaletray::controller::test
