// The register's acceptor: the votes of this replica. No vote is sent before it is on disk.
#include <algorithm>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {

using Kind = Message::Kind;

bool ReplicatedRegister::Impl::may_vote() const { return settings_.can_vote && is_voter(); }

// If the sender is ahead, handle_message() requests its entry.
bool ReplicatedRegister::Impl::concerns_next_instance(const std::string& from, const Message& message) {
    if (next_instance() > 0 && message.instance == next_instance()) return may_vote();
    if (message.instance < next_instance()) send_commit(from);
    return false;
}

void ReplicatedRegister::Impl::handle_prepare(const std::string& from, const Message& message) {
    if (!concerns_next_instance(from, message) || message.ballot.round == 0) return;
    highest_round_seen_ = std::max(highest_round_seen_, message.ballot.round);
    if (message.ballot < state_.promised_ballot) return reject_ballot(from, message);
    if (state_.promised_ballot < message.ballot) {
        state_.promised_ballot = message.ballot;
        has_unsaved_state_ = true;
    }
    Message promise = make_message(Kind::Promise);
    promise.instance = message.instance;
    promise.ballot = message.ballot;
    promise.other_ballot = state_.accepted_ballot;
    if (state_.accepted_entry && state_.accepted_ballot != message.other_ballot)
        set_message_entry(promise, *state_.accepted_entry);
    reply_when_stored(from, std::move(promise));
}

void ReplicatedRegister::Impl::handle_accept(const std::string& from, const Message& message) {
    if (!concerns_next_instance(from, message) || message.ballot.round == 0) return;
    highest_round_seen_ = std::max(highest_round_seen_, message.ballot.round);
    if (message.ballot < state_.promised_ballot) return reject_ballot(from, message);
    if (state_.accepted_ballot != message.ballot) {    // otherwise the message is a duplicate
        std::optional<LogEntry> entry = entry_from_message(message);
        if (!entry) return;
        state_.promised_ballot = state_.accepted_ballot = message.ballot;
        state_.accepted_entry = std::move(entry);
        has_unsaved_state_ = true;
    }
    Message reply = make_message(Kind::Accepted);
    reply.instance = message.instance;
    reply.ballot = message.ballot;
    reply_when_stored(from, std::move(reply));
}

void ReplicatedRegister::Impl::reject_ballot(const std::string& from, const Message& message) {
    Message rejection = make_message(Kind::Rejected);
    rejection.instance = message.instance;
    rejection.ballot = message.ballot;
    rejection.other_ballot = state_.promised_ballot;
    reply_when_stored(from, std::move(rejection));
}

}    // namespace shaletray::consensus
