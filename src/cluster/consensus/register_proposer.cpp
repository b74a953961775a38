// The register's proposer: the Paxos rounds in which this replica has the next entry chosen.
#include <algorithm>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {
namespace {

// A failed round is followed by a random delay of at most round_timeout / kBackoffDivisor * 2^failed_rounds,
// so that competing proposers do not keep interrupting each other.
constexpr int kBackoffDivisor = 16;
constexpr int kMaxBackoffDoublings = 5;
constexpr int kMinBackoffDivisor = 8;    // the shortest delay is the longest divided by this

}    // namespace

using Kind = Message::Kind;

void ReplicatedRegister::Impl::start_round() {
    BallotRound round;
    const std::uint64_t highest_round =
        std::max({highest_round_seen_, state_.promised_ballot.round, state_.accepted_ballot.round});
    round.ballot = {highest_round + 1, proposer_id_};
    highest_round_seen_ = round.ballot.round;
    round.started_at = now_;
    round.call_number = call_number_;
    round.retry.start(now_, settings_.round_timeout);
    if (state_.accepted_entry) {
        round.own_ballot = state_.accepted_ballot;
        round.own_entry = state_.accepted_entry;
    }
    round_ = std::move(round);
    latest_round_ = {};
    send_round_messages(voter_addresses());
}

void ReplicatedRegister::Impl::send_round_messages(const std::set<std::string>& recipients) {
    const bool accepting = round_->phase == BallotRound::Phase::Accept;
    Message message = make_message(accepting ? Kind::Accept : Kind::Prepare);
    message.instance = next_instance();
    message.ballot = round_->ballot;
    if (accepting) set_message_entry(message, *round_->entry);
    else message.other_ballot = round_->own_ballot;
    send_to_all(recipients, message);
}

bool ReplicatedRegister::Impl::matches_round(const std::string& from, const Message& message) const {
    return round_ && message.instance == next_instance() && message.ballot == round_->ballot &&
           is_from_voter(from, message);
}

void ReplicatedRegister::Impl::handle_promise(const std::string& from, const Message& message) {
    if (!matches_round(from, message) || round_->phase != BallotRound::Phase::Prepare) return;
    if (!adopt_accepted_entry(message)) return;
    if (round_->approvals.insert(from).second) latest_round_.promises.push_back({from, now_});
    if (round_->approvals.size() < majority_size(state_.committed.voters)) return;
    if (round_->highest_ballot.round == 0) {    // no next entry had been chosen when this round began
        record_confirmation(round_->started_at, round_->call_number);
        must_complete_accepted_ = false;
        round_->entry = choose_entry();
        if (!round_->entry) return round_.reset();
    }
    start_accept_phase();
}

bool ReplicatedRegister::Impl::adopt_accepted_entry(const Message& promise) {
    const bool is_highest = promise.other_ballot.round != 0 && round_->highest_ballot < promise.other_ballot;
    if (!is_highest) return true;
    std::optional<LogEntry> entry;
    if (promise.entry) entry = entry_from_message(promise);
    else if (promise.other_ballot == round_->own_ballot) entry = round_->own_entry;
    if (!entry) return false;
    round_->highest_ballot = promise.other_ballot;
    round_->entry = std::move(entry);
    return true;
}

void ReplicatedRegister::Impl::start_accept_phase() {
    round_->phase = BallotRound::Phase::Accept;
    round_->started_at = now_;
    round_->call_number = call_number_;
    round_->retry.start(now_, settings_.round_timeout);
    round_->approvals.clear();
    round_->rejections.clear();
    round_->own_entry.reset();
    send_round_messages(voter_addresses());
}

// An entry with the highest version proposed here and the requested change of the ownership table; without
// either, with the requested change of the voters, if any.
std::optional<LogEntry> ReplicatedRegister::Impl::choose_entry() const {
    const Proposal* proposal = newest_proposal();
    if (!proposal && !table_change_ && !voter_change_) return std::nullopt;
    const bool changes_voters = !proposal && !table_change_;
    LogEntry entry;
    entry.number = next_instance();
    entry.voters = changes_voters ? voter_change_->new_voters : state_.committed.voters;
    entry.ownership_table = table_change_ ? table_change_->new_table : state_.committed.ownership_table;
    entry.version = proposal ? proposal->version : state_.committed.version;
    entry.text = proposal ? proposal->text : state_.committed.text;
    entry.earlier_digests = digests_before(entry.version);
    return entry;
}

const Proposal* ReplicatedRegister::Impl::newest_proposal() const {
    const Proposal* newest = nullptr;
    for (const Proposal& proposal : proposals_)
        if (is_newer(proposal) && (!newest || proposal.version > newest->version)) newest = &proposal;
    return newest;
}

void ReplicatedRegister::Impl::handle_accepted(const std::string& from, const Message& message) {
    if (!matches_round(from, message) || round_->phase != BallotRound::Phase::Accept) return;
    if (round_->approvals.insert(from).second) latest_round_.acceptances.push_back({from, now_});
    if (round_->approvals.size() >= majority_size(state_.committed.voters)) commit_round();
}

void ReplicatedRegister::Impl::handle_rejected(const std::string& from, const Message& message) {
    if (message.instance == next_instance() && is_from_voter(from, message))
        highest_round_seen_ = std::max(highest_round_seen_, message.other_ballot.round);
    if (!matches_round(from, message) || round_->approvals.contains(from)) return;
    round_->rejections.insert(from);
    const std::size_t voter_count = state_.committed.voters.size();
    const std::size_t majority = majority_size(state_.committed.voters);
    if (round_->rejections.size() + majority > voter_count) back_off_round();
}

void ReplicatedRegister::Impl::back_off_round() {
    round_.reset();
    failed_rounds_ = std::min(failed_rounds_ + 1, kMaxBackoffDoublings);
    const Duration max_delay = std::min<Duration>(
        settings_.round_timeout / kBackoffDivisor * (1 << failed_rounds_), settings_.max_retry_interval);
    next_round_at_ = now_ + random_.next(max_delay / kMinBackoffDivisor, max_delay);
}

void ReplicatedRegister::Impl::commit_round() {
    const std::set<std::string> previous_voter_addresses = voter_addresses();
    const std::vector<Replica> previous_voters = state_.committed.voters;
    const TimePoint started_at = round_->started_at;
    const std::uint64_t call_number = round_->call_number;
    const Ballot ballot = round_->ballot;
    install_entry(std::move(*round_->entry), ballot);
    if (state_.committed.voters == previous_voters) {
        // Any later entry needs the vote of a voter that has now stored this one, so no later entry had been
        // chosen when this one was sent.
        record_confirmation(started_at, call_number);
    } else {
        must_confirm_ = true;    // no request is answered before a majority of the new voters has stored it
    }
    start_commit_broadcast(previous_voter_addresses);
}

void ReplicatedRegister::Impl::advance_round() {
    if (read_ && read_->contention_deadline && now_ >= *read_->contention_deadline) {
        read_->contention_deadline.reset();
        must_complete_accepted_ = true;
    }
    const bool may_abandon =
        round_ && (round_->retry.is_due(now_) || round_->phase == BallotRound::Phase::Prepare);
    if (may_abandon && !needs_round()) round_.reset();
    if (round_ && round_->retry.is_due(now_)) {
        if (round_->rejections.empty()) retry_round();
        else back_off_round();
    }
    if (!round_ && needs_round() && now_ >= next_round_at_) start_round();
}

void ReplicatedRegister::Impl::retry_round() {
    std::set<std::string> recipients = voter_addresses();
    for (const std::string& address : round_->approvals) recipients.erase(address);
    round_->retry.back_off(now_, settings_.max_retry_interval);
    send_round_messages(recipients);
    probe_peers();
}

}    // namespace shaletray::consensus
