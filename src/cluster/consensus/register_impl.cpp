// The register's entry points, messages and deadlines.
#include "cluster/consensus/register_impl.h"

#include <algorithm>

namespace shaletray::consensus {

using Kind = Message::Kind;

ReplicatedRegister::Impl::Impl(Settings settings, PersistentState state, TimePoint now)
    : settings_(std::move(settings)), state_(std::move(state)) {
    // The identifier of a replaced or wiped disk applies whether it is in the state or in the settings.
    if (state_.disk_id == 0) state_.disk_id = settings_.self.disk_id;
    settings_.self.disk_id = state_.disk_id;
    random_ = RandomSource(settings_.seed, now, state_.disk_id, settings_.self.address);
    proposer_id_ = settings_.self.address + "#" + to_hex(random_.next());
    nonce_ = random_.next();
    catch_up_timeout_ = settings_.round_timeout;
    if (state_.committed.voters.empty() && !settings_.founders.empty()) {
        const std::set<std::string> founders(settings_.founders.begin(), settings_.founders.end());
        for (const std::string& address : founders) state_.committed.voters.push_back({address, 0});
        has_unsaved_state_ = true;
    }
    if (state_.accepted_ballot.round == 0 || !state_.accepted_entry ||
        state_.accepted_entry->number != state_.committed.number + 1) {
        state_.accepted_entry.reset();
        state_.accepted_ballot = {};
    }
}

void ReplicatedRegister::Impl::begin_call(TimePoint now, Actions& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    ++call_number_;
}

void ReplicatedRegister::Impl::finish_call() {
    for (;;) {
        advance_all();
        if (has_unsaved_state_) {
            has_unsaved_state_ = false;
            actions_->writes.push_back({replies_.issue_token(), state_});
        }
        for (const ReplyQueue::Reply& reply : replies_.take_sendable())
            send_message(reply.recipient, reply.message);
        if (local_messages_.empty()) break;
        std::vector<Message> local_messages;
        local_messages.swap(local_messages_);
        for (const Message& message : local_messages) handle_message(settings_.self.address, message);
    }
    actions_ = nullptr;
}

void ReplicatedRegister::Impl::on_message(const std::string& from, const std::string& bytes) {
    const boost::leaf::result<Message> message = decode(bytes);
    if (message && !from.empty() && from != settings_.self.address) handle_message(from, *message);
    else ++dropped_messages_;
}

void ReplicatedRegister::Impl::set_peers(std::vector<std::string> addresses) {
    peers_ = std::move(addresses);
    peer_progress_.retain(peers_);
}

std::optional<TimePoint> ReplicatedRegister::Impl::next_deadline() const {
    std::optional<TimePoint> deadline;
    const auto consider = [&deadline](TimePoint candidate) {
        if (!deadline || candidate < *deadline) deadline = candidate;
    };
    if (has_unsaved_state_) consider(now_);
    for (const Proposal& proposal : proposals_) consider(proposal.deadline);
    for (const PendingRead& read : pending_reads_) consider(read.deadline);
    if (voter_change_) consider(voter_change_->deadline);
    if (table_change_) consider(table_change_->deadline);
    if (round_) consider(round_->retry.due_at);
    if (!round_ && next_instance() > 0 && needs_round()) consider(next_round_at_);
    if (read_) consider(read_->retry.due_at);
    if (read_ && read_->contention_deadline) consider(*read_->contention_deadline);
    if (next_instance() == 0 && has_pending_requests()) consider(next_probe_at_);
    if (catch_up_) consider(catch_up_->retry_at);
    if (commit_broadcast_) consider(commit_broadcast_->retry.due_at);
    return deadline;
}

bool ReplicatedRegister::Impl::is_voter() const {
    const std::vector<Replica>& voters = state_.committed.voters;
    return std::find(voters.begin(), voters.end(), settings_.self) != voters.end();
}

bool ReplicatedRegister::Impl::is_caught_up(const Replica& replica, Duration within) const {
    return peer_progress_.is_caught_up(replica, next_instance(), now_ - within);
}

std::uint64_t ReplicatedRegister::Impl::next_instance() const {
    return state_.committed.voters.empty() ? 0 : state_.committed.number + 1;
}

std::set<std::string> ReplicatedRegister::Impl::voter_addresses() const {
    std::set<std::string> addresses;
    for (const Replica& voter : state_.committed.voters) addresses.insert(voter.address);
    return addresses;
}

bool ReplicatedRegister::Impl::is_from_voter(const std::string& from, const Message& message) const {
    const std::vector<Replica>& voters = state_.committed.voters;
    return std::find(voters.begin(), voters.end(), Replica{from, message.disk_id}) != voters.end();
}

Message ReplicatedRegister::Impl::make_message(Kind kind) const {
    Message message;
    message.kind = kind;
    message.disk_id = state_.disk_id;
    message.next_instance = next_instance();
    return message;
}

void ReplicatedRegister::Impl::send_message(const std::string& recipient, const Message& message) {
    if (recipient == settings_.self.address) local_messages_.push_back(message);
    else actions_->messages.push_back({recipient, encode(message)});
}

void ReplicatedRegister::Impl::send_to_all(const std::set<std::string>& recipients, const Message& message) {
    std::string bytes;
    for (const std::string& address : recipients) {
        if (address == settings_.self.address) {
            local_messages_.push_back(message);
            continue;
        }
        if (bytes.empty()) bytes = encode(message);
        actions_->messages.push_back({address, bytes});
    }
}

void ReplicatedRegister::Impl::reply_when_stored(const std::string& recipient, Message message) {
    replies_.add(recipient, std::move(message));
}

void ReplicatedRegister::Impl::handle_message(const std::string& from, const Message& message) {
    peer_progress_.record(from, message, now_);
    switch (message.kind) {
        case Kind::Prepare: handle_prepare(from, message); break;
        case Kind::Accept: handle_accept(from, message); break;
        case Kind::Promise: handle_promise(from, message); break;
        case Kind::Accepted: handle_accepted(from, message); break;
        case Kind::Rejected: handle_rejected(from, message); break;
        case Kind::ReadRequest: handle_read_request(from, message); break;
        case Kind::ReadReply: handle_read_reply(from, message); break;
        case Kind::Commit: handle_commit(from, message); break;
        case Kind::FetchRequest: handle_fetch_request(from, message); break;
        case Kind::FetchReply: handle_fetch_reply(from, message); break;
        case Kind::CommitAck: handle_commit_ack(from, message); break;
        case Kind::None: break;
    }
    if (message.next_instance > next_instance()) request_entry(from, message.next_instance);
}

void ReplicatedRegister::Impl::probe_peers() {
    std::set<std::string> recipients(peers_.begin(), peers_.end());
    recipients.insert(settings_.founders.begin(), settings_.founders.end());
    recipients.erase(settings_.self.address);
    for (const Replica& voter : state_.committed.voters) recipients.erase(voter.address);
    send_to_all(recipients, make_message(Kind::ReadRequest));    // every reply contains its sender's progress
}

void ReplicatedRegister::Impl::advance_all() {
    complete_proposals();
    complete_reads();
    expire_requests();
    advance_catch_up();
    advance_commit_broadcast();
    if (next_instance() > 0) {
        advance_round();
        advance_read();
    } else if (has_pending_requests() && now_ >= next_probe_at_) {
        probe_peers();
        next_probe_at_ = now_ + settings_.round_timeout;
    }
}

}    // namespace shaletray::consensus
