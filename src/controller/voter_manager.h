// Keeps the voters of the replicated register as they should be: asks the reconciler from time to time, and
// proposes the changes that it wants.
#pragma once

#include "base/common/log.h"
#include "cluster/membership/membership.h"
#include "controller/consensus_driver.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller {

// For the reactor's thread only. Consensus and membership have to outlive it.
class VoterManager {
public:
    VoterManager(VoterReconciler::Settings settings, const Clock& clock, ConsensusDriver& consensus,
                 const membership::Membership& membership)
        : clock_(clock),
          consensus_(consensus),
          membership_(membership),
          reconciler_(std::move(settings), clock.now()) {}

    // Proposes the next change of the voters, if there is one to be proposed by this controller.
    void reconcile();
    // This controller is about to stop: it proposes to hand its vote to another one.
    void start_handover();
    // Whether a change that frees this controller of its vote is still to be committed.
    bool is_handover_pending() const;

private:
    const Clock& clock_;
    ConsensusDriver& consensus_;
    const membership::Membership& membership_;
    VoterReconciler reconciler_;
    LogRateLimiter log_limiter_;    // a change is proposed again until it is committed
    bool is_leaving_ = false, has_wanted_change_ = false;
};

}    // namespace shaletray::controller
