// Runs the voter reconciler and proposes the changes of the replicated register's voters that it returns.
#pragma once

#include "base/common/log.h"
#include "cluster/membership/membership.h"
#include "controller/consensus_driver.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller {

// For the reactor's thread only. Clock, consensus and membership must outlive it.
class VoterManager {
public:
    VoterManager(VoterReconciler::Settings settings, const Clock& clock, ConsensusDriver& consensus,
                 const membership::Membership& membership)
        : clock_(clock),
          consensus_(consensus),
          membership_(membership),
          reconciler_(std::move(settings), clock.now()) {}

    // Proposes the next change of the voters if this controller is the one to propose it.
    void reconcile();
    // Call when this controller is about to stop: proposes to hand its vote to another controller.
    void start_handover();
    // Whether the change that removes this controller's vote is not committed yet.
    bool is_handover_pending() const;

private:
    const Clock& clock_;
    ConsensusDriver& consensus_;
    const membership::Membership& membership_;
    VoterReconciler reconciler_;
    LogRateLimiter log_limiter_;    // a change is proposed repeatedly until it is committed
    bool is_leaving_ = false, has_wanted_change_ = false;
};

}    // namespace shaletray::controller
