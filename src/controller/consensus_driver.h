// Runs the replicated register on the event loop: its writes go to the store, its messages to the other
// controllers, its outcomes to whoever made the request. Also tracks the contact with a majority.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/net/waker.h"
#include "cluster/consensus/replicated_register.h"
#include "cluster/consensus/state_store.h"
#include "cluster/transport/connection_manager.h"
#include "controller/ownership_register.h"
#include "controller/quorum_tracker.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller {

// For the reactor's thread only. Reactor and connections have to outlive it. Requests that are open when it
// is destroyed are dropped without their callback.
class ConsensusDriver final : public OwnershipRegister {
public:
    using OutcomeCallback = std::function<void(consensus::Outcome)>;
    struct Callbacks {
        // The newest committed entry is another one. Called before the requests that it completes, so that
        // gateways are notified before anybody is told that the change is in force.
        std::function<void()> entry_committed;
        // tick() is due at this time, which may be earlier than next_deadline() was before.
        std::function<void(TimePoint)> tick_due;
    };
    ConsensusDriver(Reactor& reactor, transport::ConnectionManager& connections,
                    std::unique_ptr<consensus::StateStore> store, consensus::Settings settings,
                    Duration contact_timeout, Callbacks callbacks);
    ~ConsensusDriver() override;
    ConsensusDriver(const ConsensusDriver&) = delete;
    ConsensusDriver& operator=(const ConsensusDriver&) = delete;

    // Each calls back once, after kRequestTimeout at the latest.
    void propose(std::uint64_t version, std::string text, OutcomeCallback on_outcome);
    void quorum_read(OutcomeCallback on_outcome);
    void change_voters(const VoterReconciler::VoterChange& change);
    void change_ownership_table(std::string current_table, std::string new_table) override;
    std::optional<TimePoint> quorum_confirmed_at() const override { return register_.quorum_confirmed_at(); }
    bool is_voter() const override { return register_.is_voter(); }
    void on_message(const std::string& from, const std::string& bytes);
    void set_peers(std::vector<std::string> addresses);
    // Also confirms the quorum from time to time.
    void tick(TimePoint now);
    TimePoint next_deadline() const;

    bool is_quorum_held() const override { return quorum_.is_held(clock_.now()); }
    std::uint64_t quorum_loss_count() const { return quorum_.loss_count(); }
    const consensus::ReplicatedRegister& replicated_register() const { return register_; }
    const consensus::LogEntry& committed_entry() const override { return register_.committed_entry(); }
    const consensus::StateStore& store() const { return *store_; }

private:
    void on_stored();
    void apply_actions(consensus::Actions&& actions);
    void complete_request(const consensus::Actions::Completion& completion);
    void check_quorum();

    const Clock& clock_;
    transport::ConnectionManager& connections_;
    std::unique_ptr<consensus::StateStore> store_;
    QuorumTracker quorum_;
    consensus::ReplicatedRegister register_;
    Callbacks callbacks_;
    Waker stored_waker_;    // woken by the store's thread
    std::map<consensus::RequestId, OutcomeCallback> pending_requests_;
    consensus::RequestId last_request_id_ = 0;
    TimePoint next_quorum_read_{};
};

}    // namespace shaletray::controller
