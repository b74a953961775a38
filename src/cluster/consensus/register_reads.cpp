// The register's reads: how a majority confirms that the committed entry is the newest.
#include <algorithm>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {
namespace {

// Bounds, as fractions of round_timeout, of the random time that another proposer is given to finish its
// round.
constexpr int kMinContentionDivisor = 16;
constexpr int kMaxContentionDivisor = 4;

}    // namespace

using Kind = Message::Kind;

void ReplicatedRegister::Impl::start_read() {
    QuorumRead read;
    read.nonce = ++nonce_;
    read.started_at = now_;
    read.call_number = call_number_;
    read.retry.start(now_, settings_.round_timeout);
    read_ = std::move(read);
    send_read_requests(voter_addresses());
}

void ReplicatedRegister::Impl::send_read_requests(const std::set<std::string>& recipients) {
    Message request = make_message(Kind::ReadRequest);
    request.nonce = read_->nonce;
    send_to_all(recipients, request);
}

void ReplicatedRegister::Impl::handle_read_request(const std::string& from, const Message& message) {
    Message reply = make_message(Kind::ReadReply);
    reply.nonce = message.nonce;
    reply.has_accepted_entry = state_.accepted_ballot.round != 0;
    reply_when_stored(from, std::move(reply));
}

void ReplicatedRegister::Impl::handle_read_reply(const std::string& from, const Message& message) {
    if (!read_ || message.nonce != read_->nonce || !is_from_voter(from, message)) return;
    if (message.next_instance < next_instance())
        return send_commit(from);    // the request is sent again at its CommitAck
    if (message.next_instance > next_instance()) return;
    read_->replies[from] = message.has_accepted_entry;
    const std::size_t majority = majority_size(state_.committed.voters);
    const auto without_accepted = static_cast<std::size_t>(std::count_if(
        read_->replies.begin(), read_->replies.end(), [](const auto& reply) { return !reply.second; }));
    if (without_accepted >= majority) {
        record_confirmation(read_->started_at, read_->call_number);
        read_.reset();
    } else if (read_->replies.size() >= majority && !read_->contention_deadline) {
        read_->contention_deadline = now_ + random_.next(settings_.round_timeout / kMinContentionDivisor,
                                                         settings_.round_timeout / kMaxContentionDivisor);
    }
}

// Records that each voter of a majority, at some time after `since`, had stored the committed entry and
// accepted no later one.
void ReplicatedRegister::Impl::record_confirmation(TimePoint since, std::uint64_t call_number) {
    quorum_confirmed_at_ = quorum_confirmed_at_ ? std::max(*quorum_confirmed_at_, since) : since;
    confirmed_call_number_ = std::max(confirmed_call_number_, call_number);
    confirmed_instance_ = next_instance();
    must_confirm_ = false;
}

bool ReplicatedRegister::Impl::is_confirmed_since(std::uint64_t call_number) const {
    return next_instance() > 0 && confirmed_instance_ == next_instance() &&
           confirmed_call_number_ >= call_number;
}

void ReplicatedRegister::Impl::advance_read() {
    if (read_ && !needs_read()) read_.reset();
    if (read_ && read_->retry.is_due(now_)) {
        std::set<std::string> recipients = voter_addresses();
        for (const auto& [address, has_accepted_entry] : read_->replies) recipients.erase(address);
        read_->retry.back_off(now_, settings_.max_retry_interval);
        send_read_requests(recipients);
        probe_peers();
    }
    // During the accept phase of this replica's own round, a read would only find that round's entry
    // accepted.
    const bool is_accepting = round_ && round_->phase == BallotRound::Phase::Accept &&
                              now_ < round_->started_at + settings_.round_timeout;
    if (!read_ && needs_read() && !is_accepting) start_read();
}

}    // namespace shaletray::consensus
