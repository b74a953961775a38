// The register's proposals, reads and changes, from the request to its outcome.
#include <algorithm>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {
namespace {

// Further requests complete as Indeterminate immediately, so that a lost quorum cannot exhaust the memory.
constexpr std::size_t kMaxProposals = 64;
constexpr std::size_t kMaxReads = 4096;
// Round timeouts until a change is abandoned: enough for several attempts. After that, the caller decides
// again from the current state.
constexpr int kVoterChangeRounds = 20;

}    // namespace

void ReplicatedRegister::Impl::propose(RequestId request_id, std::uint64_t version, std::string text,
                                       TimePoint deadline) {
    Proposal proposal{request_id, version, std::move(text), call_number_, now_, deadline};
    if (proposals_.size() >= kMaxProposals) return complete(proposal, Outcome::Indeterminate);
    proposals_.push_back(std::move(proposal));
}

void ReplicatedRegister::Impl::quorum_read(RequestId request_id, TimePoint deadline) {
    const PendingRead read{request_id, call_number_, deadline};
    if (pending_reads_.size() >= kMaxReads) return complete(read, Outcome::Indeterminate);
    pending_reads_.push_back(read);
}

void ReplicatedRegister::Impl::change_voters(std::vector<Replica> current_voters,
                                             std::vector<Replica> new_voters) {
    if (new_voters.empty() || current_voters == new_voters || current_voters != state_.committed.voters)
        return;
    const TimePoint deadline = now_ + settings_.round_timeout * kVoterChangeRounds;
    voter_change_ = VoterChange{std::move(current_voters), std::move(new_voters), deadline};
}

void ReplicatedRegister::Impl::change_ownership_table(std::string current_table, std::string new_table) {
    if (current_table == new_table || current_table != state_.committed.ownership_table) return;
    const TimePoint deadline = now_ + settings_.round_timeout * kVoterChangeRounds;
    table_change_ = OwnershipTableChange{std::move(current_table), std::move(new_table), deadline};
}

void ReplicatedRegister::Impl::complete(const Proposal& proposal, Outcome outcome) {
    const ProposalTrace trace{proposal.proposed_at, current_wait(proposal), latest_round_};
    actions_->completions.push_back({proposal.request_id, outcome, trace});
}

void ReplicatedRegister::Impl::complete(const PendingRead& read, Outcome outcome) {
    actions_->completions.push_back({read.request_id, outcome, {}});
}

ProposalWait ReplicatedRegister::Impl::current_wait(const Proposal& proposal) const {
    if (next_instance() == 0 || catch_up_) return ProposalWait::Entry;
    if (!is_newer(proposal)) return ProposalWait::Confirmation;
    if (!round_) return ProposalWait::Round;
    return round_->phase == BallotRound::Phase::Prepare ? ProposalWait::Promises : ProposalWait::Acceptances;
}

void ReplicatedRegister::Impl::complete_proposals() {
    std::erase_if(proposals_, [this](const Proposal& proposal) {
        if (is_newer(proposal) || !is_confirmed_since(proposal.call_number)) return false;
        complete(proposal, proposal_outcome(proposal));
        return true;
    });
}

// A read whose deadline has passed, such as while the process was suspended, is not answered by a
// confirmation.
void ReplicatedRegister::Impl::complete_reads() {
    std::erase_if(pending_reads_, [this](const PendingRead& read) {
        if (!is_confirmed_since(read.call_number) || now_ >= read.deadline) return false;
        complete(read, Outcome::Committed);
        return true;
    });
}

void ReplicatedRegister::Impl::expire_requests() {
    const auto expire_if_late = [this](const auto& request) {
        if (now_ < request.deadline) return false;
        complete(request, Outcome::Indeterminate);
        return true;
    };
    std::erase_if(proposals_, expire_if_late);
    std::erase_if(pending_reads_, expire_if_late);
    if (voter_change_ && now_ >= voter_change_->deadline) voter_change_.reset();
    if (table_change_ && now_ >= table_change_->deadline) table_change_.reset();
}

Outcome ReplicatedRegister::Impl::proposal_outcome(const Proposal& proposal) const {
    const LogEntry& current = state_.committed;
    if (proposal.version == current.version)
        return proposal.text == current.text ? Outcome::Committed : Outcome::Conflict;
    const auto known_digest =
        std::find_if(current.earlier_digests.begin(), current.earlier_digests.end(),
                     [&proposal](const Digest& known) { return known.version == proposal.version; });
    if (known_digest == current.earlier_digests.end()) return Outcome::Stale;
    return *known_digest == make_digest(proposal.version, proposal.text) ? Outcome::Stale : Outcome::Conflict;
}

bool ReplicatedRegister::Impl::is_newer(const Proposal& proposal) const {
    return proposal.version > state_.committed.version;
}

bool ReplicatedRegister::Impl::has_pending_requests() const {
    return !proposals_.empty() || !pending_reads_.empty();
}

bool ReplicatedRegister::Impl::needs_round() const {
    return must_complete_accepted_ || voter_change_ || table_change_ ||
           std::any_of(proposals_.begin(), proposals_.end(),
                       [this](const Proposal& proposal) { return is_newer(proposal); });
}

bool ReplicatedRegister::Impl::needs_read() const {
    return must_confirm_ || !pending_reads_.empty() ||
           std::any_of(proposals_.begin(), proposals_.end(),
                       [this](const Proposal& proposal) { return !is_newer(proposal); });
}

}    // namespace shaletray::consensus
