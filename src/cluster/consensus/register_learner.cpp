// The register's learner: announces chosen entries, and fetches those that others have.
#include <algorithm>

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {
namespace {

// Number of announcements after which a replica that has not acknowledged gets no more. It learns of the
// entry from the next message of any replica.
constexpr int kMaxCommitAttempts = 6;
// Number of retries after which the fetch is abandoned; it restarts with the next replica that reports the
// entry.
constexpr int kMaxFetchRetries = 3;

}    // namespace

using Kind = Message::Kind;

// Puts the entry into a message about the next instance. Omits what the receiver, which has the same
// committed entry, can derive.
void ReplicatedRegister::Impl::set_message_entry(Message& message, const LogEntry& entry) const {
    message.text_omitted = entry.version == state_.committed.version && entry.text == state_.committed.text;
    message.entry = entry;
    message.entry->earlier_digests.clear();
    if (message.text_omitted) message.entry->text.clear();
    message.ownership_table_omitted = entry.ownership_table == state_.committed.ownership_table;
    if (message.ownership_table_omitted) message.entry->ownership_table.clear();
}

// The complete entry of a message from set_message_entry(); none if it cannot follow the committed entry.
std::optional<LogEntry> ReplicatedRegister::Impl::entry_from_message(const Message& message) const {
    if (!message.entry || message.entry->number != next_instance()) return std::nullopt;
    LogEntry entry = *message.entry;
    const LogEntry& current = state_.committed;
    if (message.text_omitted) entry.text = current.text;
    if (message.ownership_table_omitted) entry.ownership_table = current.ownership_table;
    if (entry.version < current.version) return std::nullopt;
    if (entry.version == current.version && entry.text != current.text) return std::nullopt;
    entry.earlier_digests = digests_before(entry.version);
    return entry;
}

// The digests of the next entry if that has this version. The result is the same at every voter.
std::vector<Digest> ReplicatedRegister::Impl::digests_before(std::uint64_t version) const {
    const LogEntry& current = state_.committed;
    std::vector<Digest> digests = current.earlier_digests;
    if (version == current.version || current.version == 0) return digests;
    digests.push_back(make_digest(current.version, current.text));
    if (digests.size() > kMaxEarlierDigests) digests.erase(digests.begin());
    return digests;
}

// Makes the entry the committed one, and discards all work and votes for the previous instance.
void ReplicatedRegister::Impl::install_entry(LogEntry entry, const Ballot& ballot) {
    state_.committed = std::move(entry);
    state_.promised_ballot = state_.accepted_ballot = {};
    state_.accepted_entry.reset();
    committed_ballot_ = ballot;
    has_unsaved_state_ = true;
    actions_->entry_changed = true;
    round_.reset();
    read_.reset();
    must_complete_accepted_ = must_confirm_ = false;
    failed_rounds_ = 0;
    highest_round_seen_ = 0;
    next_round_at_ = now_;
    if (voter_change_ && voter_change_->current_voters != state_.committed.voters)
        voter_change_.reset();    // the voters have changed
    if (table_change_ && table_change_->current_table != state_.committed.ownership_table)
        table_change_.reset();    // the table has changed, by this request or another
    if (commit_broadcast_ && commit_broadcast_->next_instance < next_instance()) commit_broadcast_.reset();
}

Message ReplicatedRegister::Impl::make_commit() const {
    Message commit = make_message(Kind::Commit);
    commit.ballot = committed_ballot_;
    return commit;
}

void ReplicatedRegister::Impl::send_commit(const std::string& recipient) {
    send_message(recipient, make_commit());
}

// Old and new voters get the announcement until they acknowledge it, the other peers once.
void ReplicatedRegister::Impl::start_commit_broadcast(const std::set<std::string>& previous_voter_addresses) {
    CommitBroadcast broadcast;
    broadcast.next_instance = next_instance();
    broadcast.unacknowledged = previous_voter_addresses;
    broadcast.unacknowledged.merge(voter_addresses());
    broadcast.unacknowledged.erase(settings_.self.address);
    broadcast.retry.start(now_, settings_.round_timeout);
    std::set<std::string> recipients = broadcast.unacknowledged;
    recipients.insert(peers_.begin(), peers_.end());
    recipients.erase(settings_.self.address);
    if (!broadcast.unacknowledged.empty()) commit_broadcast_ = std::move(broadcast);
    else commit_broadcast_.reset();
    send_to_all(recipients, make_commit());
}

void ReplicatedRegister::Impl::handle_commit(const std::string& from, const Message& message) {
    // If this replica accepted an entry under the ballot under which the next entry was chosen, that is the
    // chosen one.
    if (next_instance() > 0 && message.next_instance == next_instance() + 1 && state_.accepted_entry &&
        state_.accepted_ballot == message.ballot)
        install_entry(LogEntry(*state_.accepted_entry), message.ballot);
    if (message.next_instance == next_instance()) reply_when_stored(from, make_message(Kind::CommitAck));
    else if (message.next_instance < next_instance()) send_commit(from);
}

void ReplicatedRegister::Impl::handle_commit_ack(const std::string& from, const Message& message) {
    if (commit_broadcast_ && message.next_instance >= commit_broadcast_->next_instance)
        commit_broadcast_->unacknowledged.erase(from);
    if (commit_broadcast_ && commit_broadcast_->unacknowledged.empty()) commit_broadcast_.reset();
    // A voter that was behind at the read request has caught up: send the request again.
    if (read_ && message.next_instance == next_instance() && is_from_voter(from, message) &&
        !read_->replies.contains(from))
        send_read_requests({from});
}

void ReplicatedRegister::Impl::handle_fetch_request(const std::string& from, const Message& message) {
    if (message.next_instance >= next_instance()) return;
    Message reply = make_message(Kind::FetchReply);
    reply.nonce = message.nonce;
    reply.ballot = committed_ballot_;
    reply.entry = state_.committed;
    reply.text_omitted = message.next_instance > 0 && message.nonce == state_.committed.version;
    if (reply.text_omitted) reply.entry->text.clear();
    send_message(from, reply);
}

void ReplicatedRegister::Impl::handle_fetch_reply(const std::string& from, const Message& message) {
    if (!message.entry || message.entry->number + 1 != message.next_instance) return;
    const bool expected =
        catch_up_ &&
        message.nonce == catch_up_->known_version;    // otherwise this replies to an earlier request
    if (expected) {
        const Duration allowance = (now_ - catch_up_->requested_at) * 2;
        catch_up_timeout_ =
            std::min(std::max(allowance, settings_.round_timeout), settings_.max_retry_interval);
    }
    if (message.next_instance > next_instance()) {
        LogEntry entry = *message.entry;
        if (message.text_omitted) {
            if (next_instance() == 0 || entry.version != state_.committed.version) return;
            entry.text = state_.committed.text;
        }
        install_entry(std::move(entry), message.ballot);
    }
    if (expected && catch_up_->target_instance > next_instance())    // an even newer entry was reported
        start_catch_up(catch_up_->source, catch_up_->target_instance);
    else if (expected) catch_up_.reset();
    if (message.next_instance == next_instance()) reply_when_stored(from, make_message(Kind::CommitAck));
}

void ReplicatedRegister::Impl::request_entry(const std::string& source, std::uint64_t target_instance) {
    if (!catch_up_) return start_catch_up(source, target_instance);
    // An older report counts only after the current source has failed to answer.
    if (target_instance < catch_up_->target_instance && catch_up_->attempts == 0) return;
    catch_up_->target_instance = target_instance;
    catch_up_->source = source;
}

void ReplicatedRegister::Impl::start_catch_up(std::string source, std::uint64_t target_instance) {
    CatchUp catch_up;
    catch_up.target_instance = target_instance;
    catch_up.source = std::move(source);
    catch_up.requested_at = now_;
    catch_up.retry_at = now_ + catch_up_timeout_;
    catch_up_ = std::move(catch_up);
    send_fetch_request();
}

void ReplicatedRegister::Impl::send_fetch_request() {
    catch_up_->known_version = state_.committed.version;
    Message request = make_message(Kind::FetchRequest);
    request.nonce = catch_up_->known_version;
    send_message(catch_up_->source, request);
}

void ReplicatedRegister::Impl::advance_catch_up() {
    if (!catch_up_ || now_ < catch_up_->retry_at) return;
    if (catch_up_->target_instance <= next_instance())
        return catch_up_.reset();    // the entry arrived by other messages
    if (++catch_up_->attempts > kMaxFetchRetries) {
        catch_up_.reset();
        catch_up_timeout_ = settings_.round_timeout;
        return;
    }
    catch_up_timeout_ = std::min(catch_up_timeout_ * 2, settings_.max_retry_interval);
    catch_up_->retry_at = now_ + catch_up_timeout_;
    send_fetch_request();
}

void ReplicatedRegister::Impl::advance_commit_broadcast() {
    if (!commit_broadcast_ || !commit_broadcast_->retry.is_due(now_)) return;
    if (++commit_broadcast_->attempts >= kMaxCommitAttempts) return commit_broadcast_.reset();
    commit_broadcast_->retry.back_off(now_, settings_.max_retry_interval);
    send_to_all(commit_broadcast_->unacknowledged, make_commit());
}

}    // namespace shaletray::consensus
