// Runs the replicated register on the event loop: passes its writes to the store, its messages to the other
// controllers and its outcomes to the callers. Also tracks the contact with a majority of the voters.
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

// For the reactor's thread only. Reactor and connections must outlive it. Requests that are pending when it
// is destroyed are dropped without a callback.
class ConsensusDriver final : public OwnershipRegister {
public:
    // The trace is that of a proposal.
    using OutcomeCallback = std::function<void(consensus::Outcome, const consensus::ProposalTrace&)>;
    struct Callbacks {
        // The newest committed entry has changed. Runs before the callbacks of the requests that the entry
        // completes, so that gateways are notified before a caller learns that the change is in force.
        std::function<void()> entry_committed;
        // tick() is due at this time, which may be earlier than the last next_deadline().
        std::function<void(TimePoint)> tick_due;
    };
    ConsensusDriver(Reactor& reactor, transport::ConnectionManager& connections,
                    std::unique_ptr<consensus::StateStore> store, consensus::Settings settings,
                    Duration contact_timeout, Callbacks callbacks);
    ~ConsensusDriver() override;
    ConsensusDriver(const ConsensusDriver&) = delete;
    ConsensusDriver& operator=(const ConsensusDriver&) = delete;

    // propose() and quorum_read() call back once, after kRequestTimeout at the latest.
    void propose(std::uint64_t version, std::string text, OutcomeCallback on_outcome);
    void quorum_read(OutcomeCallback on_outcome);
    void change_voters(const VoterReconciler::VoterChange& change);
    void change_ownership_table(std::string current_table, std::string new_table) override;
    std::optional<TimePoint> quorum_confirmed_at() const override { return register_.quorum_confirmed_at(); }
    bool is_voter() const override { return register_.is_voter(); }
    void on_message(const std::string& from, const std::string& bytes);
    void set_peers(std::vector<std::string> addresses);
    // Runs the register's timers and issues the periodic quorum read.
    void tick(TimePoint now);
    TimePoint next_deadline() const;

    bool is_quorum_held() const override { return quorum_.is_held(clock_.now()); }
    std::uint64_t quorum_loss_count() const { return quorum_.loss_count(); }
    const consensus::ReplicatedRegister& replicated_register() const { return register_; }
    const consensus::LogEntry& committed_entry() const override { return register_.committed_entry(); }
    const consensus::StateStore& store() const { return *store_; }
    // What the sessions to other processes, of all kinds of messages, hold back now.
    transport::SendBacklog send_backlog() const { return connections_.backlog(); }

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
