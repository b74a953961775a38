// The trace of a proposal, from which the log tells what a late acknowledgement waited for.
#include "cluster/consensus/proposal_trace.h"

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// Proposes at the first replica and returns the trace with which the proposal completes.
ProposalTrace propose_and_wait(Cluster& cluster) {
    std::optional<ProposalTrace> trace;
    cluster.on_trace = [&trace](const ProposalTrace& completed) { trace = completed; };
    cluster.propose(0, 1, "text", 900ms);
    cluster.run(1s);
    cr_assert(trace.has_value());
    return *trace;
}

Test(proposal_trace, names_the_voters_that_stored_the_entry) {
    Cluster cluster(1, 3);
    cluster.run(1s);
    const TimePoint proposed_at = cluster.now;
    const ProposalTrace trace = propose_and_wait(cluster);
    cr_assert(trace.proposed_at == proposed_at);
    cr_assert(trace.latest_round.promises.size() >= 2 && trace.latest_round.acceptances.size() >= 2);
    cr_assert(trace.latest_round.acceptances[0].received_at >= trace.latest_round.promises[1].received_at);
    cr_assert(trace.last_wait == ProposalWait::Confirmation);
}

Test(proposal_trace, says_that_a_majority_has_not_promised) {
    Cluster cluster(1, 3);
    cluster.run(1s);
    cluster.stop(1, false);
    cluster.stop(2, false);
    const ProposalTrace trace = propose_and_wait(cluster);
    cr_assert(trace.last_wait == ProposalWait::Promises);
    cr_assert(trace.latest_round.promises.size() == 1 && trace.latest_round.acceptances.empty());
}

}    // namespace
}    // namespace shaletray::consensus::test
