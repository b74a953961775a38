// The textual description of the register's state.
#include <type_traits>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {
namespace {

// Joins words and numbers, each followed by a space.
class Description {
public:
    template <class... Parts>
    void add(const Parts&... parts) {
        (add_part(parts), ...);
    }
    void add_entry(const LogEntry& entry) {
        add("entry", entry.number, entry.version, entry.text, entry.earlier_digests.size(),
            entry.ownership_table);
        for (const Replica& voter : entry.voters) add(voter.address, voter.disk_id);
    }
    void add_ballot(const char* name, const Ballot& ballot) { add(name, ballot.round, ballot.proposer); }
    void add_reply(const Message& message) {
        add(static_cast<int>(message.kind), message.next_instance, message.instance, message.ballot.round,
            message.ballot.proposer, message.other_ballot.round, message.has_accepted_entry);
    }
    void add_round(const BallotRound& round) {
        add("round", round.phase == BallotRound::Phase::Accept, round.ballot.round);
        add_ballot("highest", round.highest_ballot);
        for (const std::string& address : round.approvals) add("approval", address);
        for (const std::string& address : round.rejections) add("rejection", address);
        if (round.entry) add_entry(*round.entry);
    }
    std::string take_text() { return std::move(text_); }

private:
    template <class Part>
    void add_part(const Part& part) {
        if constexpr (std::is_arithmetic_v<Part>) text_ += std::to_string(part);
        else text_ += part;
        text_ += ' ';
    }
    std::string text_;
};

}    // namespace

std::string ReplicatedRegister::Impl::describe_state() const {
    Description description;
    description.add(proposer_id_, state_.disk_id, replies_.unstored_writes(), has_unsaved_state_,
                    must_complete_accepted_, must_confirm_, highest_round_seen_);
    description.add_entry(state_.committed);
    description.add_ballot("promised", state_.promised_ballot);
    description.add_ballot("accepted", state_.accepted_ballot);
    if (state_.accepted_entry) description.add_entry(*state_.accepted_entry);
    for (const ReplyQueue::Reply& reply : replies_.delayed()) {
        description.add("delayed", replies_.issued_token() - reply.token, reply.recipient);
        description.add_reply(reply.message);
    }
    for (const Proposal& proposal : proposals_)
        description.add("proposal", proposal.version, proposal.text,
                        proposal.call_number <= confirmed_call_number_);
    for (const PendingRead& read : pending_reads_)
        description.add("pending_read", read.request_id, read_ && read_->call_number >= read.call_number);
    if (voter_change_)
        for (const Replica& replica : voter_change_->new_voters)
            description.add("new_voter", replica.address, replica.disk_id);
    if (table_change_) description.add("new_table", table_change_->new_table);
    if (round_) description.add_round(*round_);
    if (read_) {
        description.add("read", nonce_ - read_->nonce, read_->contention_deadline.has_value());
        for (const auto& [address, has_accepted_entry] : read_->replies)
            description.add(address, has_accepted_entry);
    }
    if (catch_up_)
        description.add("catch_up", catch_up_->target_instance, catch_up_->source, catch_up_->attempts);
    if (commit_broadcast_) {
        description.add("commit_broadcast", commit_broadcast_->next_instance);
        for (const std::string& address : commit_broadcast_->unacknowledged) description.add(address);
    }
    return description.take_text();
}

}    // namespace shaletray::consensus
