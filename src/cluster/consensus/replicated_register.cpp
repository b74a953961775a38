#include "cluster/consensus/replicated_register.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <set>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {
namespace {

using namespace std::chrono_literals;
using Kind = Message::Kind;

constexpr std::size_t kMaxProposals = 64, kMaxReads = 4096, kMaxDelayedReplies = 512;
constexpr std::size_t kMaxPeers = 256;
constexpr std::uint64_t kMaxEntriesBehind = 2;    // decrees: one may be under way to it
constexpr int kVoterChangeRounds = 20, kMaxCommitAttempts = 6;

std::uint64_t mix_bits(std::uint64_t value) {    // splitmix64's
    value += 0x9e3779b97f4a7c15ull;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

std::string to_hex(std::uint64_t value) {
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4)
        *digit = "0123456789abcdef"[value & 15];
    return text;
}

bool contains_replica(const std::vector<Replica>& voters, const Replica& replica) {
    return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

std::size_t majority_size(const std::vector<Replica>& voters) { return voters.size() / 2 + 1; }

}    // namespace

class ReplicatedRegister::Impl {
public:
    Impl(Settings settings, PersistentState state, TimePoint now)
        : settings_(std::move(settings)), state_(std::move(state)) {
        // An emptied disk's number counts wherever it was given.
        if (state_.disk_id == 0) state_.disk_id = settings_.self.disk_id;
        settings_.self.disk_id = state_.disk_id;
        random_state_ =
            mix_bits(mix_bits(settings_.seed) ^
                     mix_bits(static_cast<std::uint64_t>(now.time_since_epoch().count())) ^ state_.disk_id);
        for (const char character : settings_.self.address)
            random_state_ = mix_bits(random_state_ ^ static_cast<unsigned char>(character));
        proposer_id_ = settings_.self.address + "#" + to_hex(next_random());
        nonce_ = next_random();
        catch_up_timeout_ = settings_.round_timeout;
        if (state_.committed.voters.empty() && !settings_.founders.empty()) {
            std::set<std::string> founders(settings_.founders.begin(), settings_.founders.end());
            for (const std::string& address : founders) state_.committed.voters.push_back({address, 0});
            has_unsaved_state_ = true;
        }
        if (state_.accepted_ballot.round == 0 || !state_.accepted_entry ||
            state_.accepted_entry->number != state_.committed.number + 1) {
            state_.accepted_entry.reset();
            state_.accepted_ballot = {};
        }
    }

    void propose(RequestId request_id, std::uint64_t version, std::string text, TimePoint deadline) {
        if (proposals_.size() >= kMaxProposals) return complete_request(request_id, Outcome::Indeterminate);
        proposals_.push_back({request_id, version, std::move(text), turn_, deadline});
    }
    void quorum_read(RequestId request_id, TimePoint deadline) {
        if (pending_reads_.size() >= kMaxReads) return complete_request(request_id, Outcome::Indeterminate);
        pending_reads_.push_back({request_id, turn_, deadline});
    }
    void change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters) {
        if (new_voters.empty() || current_voters == new_voters || current_voters != state_.committed.voters)
            return;
        voter_change_ = VoterChange{std::move(current_voters), std::move(new_voters),
                                    now_ + settings_.round_timeout * kVoterChangeRounds};
    }
    bool is_caught_up(const Replica& replica, Duration within) const {
        const auto progress = peer_progress_.find(replica.address);
        return progress != peer_progress_.end() && progress->second.disk_id == replica.disk_id &&
               now_ - progress->second.reported_at <= within &&
               progress->second.next_instance + kMaxEntriesBehind >= next_instance();
    }
    void on_message(const std::string& from, const std::string& bytes) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(message, decode(bytes));
                if (from.empty() || from == settings_.self.address) return boost::leaf::new_error();
                handle_message(from, message);
                return {};
            },
            [&] { ++dropped_messages_; });
    }
    void on_stored(std::uint64_t token) {
        stored_token_ = std::max(stored_token_, std::min(token, issued_token_));
    }
    void set_peers(std::vector<std::string> addresses) {
        peers_ = std::move(addresses);
        std::erase_if(peer_progress_, [this](const auto& progress) {
            return std::find(peers_.begin(), peers_.end(), progress.first) == peers_.end();
        });
    }

    // Every call from outside is a turn: what was asked in a later one is asked later, whatever the clock
    // says.
    void begin_call(TimePoint now, Actions& actions) {
        now_ = std::max(now_, now);
        actions_ = &actions;
        ++turn_;
    }
    void finish_call() {
        for (;;) {
            advance_all();
            if (has_unsaved_state_) {
                has_unsaved_state_ = false;
                actions_->writes.push_back({++issued_token_, state_});
            }
            for (DelayedReply& reply : new_replies_) {
                reply.token = issued_token_;
                delayed_replies_.push_back(std::move(reply));
            }
            new_replies_.clear();
            while (delayed_replies_.size() > kMaxDelayedReplies)
                delayed_replies_.pop_front();    // as if lost on the way
            while (!delayed_replies_.empty() && delayed_replies_.front().token <= stored_token_) {
                const DelayedReply reply = std::move(delayed_replies_.front());
                delayed_replies_.pop_front();
                send_message(reply.recipient, reply.message);
            }
            if (local_messages_.empty()) break;
            std::vector<Message> local_messages;
            local_messages.swap(local_messages_);
            for (const Message& message : local_messages) handle_message(settings_.self.address, message);
        }
        actions_ = nullptr;
    }

    std::optional<TimePoint> next_deadline() const {
        std::optional<TimePoint> deadline;
        const auto consider = [&deadline](TimePoint candidate) {
            if (!deadline || candidate < *deadline) deadline = candidate;
        };
        if (has_unsaved_state_) consider(now_);
        for (const Proposal& proposal : proposals_) consider(proposal.deadline);
        for (const PendingRead& read : pending_reads_) consider(read.deadline);
        if (voter_change_) consider(voter_change_->deadline);
        if (round_) consider(round_->retry_at);
        if (!round_ && this->next_instance() > 0 && needs_round()) consider(next_round_at_);
        if (read_)
            consider(read_->contention_deadline ? std::min(read_->retry_at, *read_->contention_deadline)
                                                : read_->retry_at);
        if (this->next_instance() == 0 && has_pending_requests()) consider(next_probe_at_);
        if (catch_up_) consider(catch_up_->retry_at);
        if (commit_broadcast_) consider(commit_broadcast_->retry_at);
        return deadline;
    }
    const LogEntry& committed_entry() const { return state_.committed; }
    std::optional<TimePoint> quorum_confirmed_at() const { return quorum_confirmed_at_; }
    bool is_voter() const { return contains_replica(state_.committed.voters, settings_.self); }
    std::uint64_t dropped_messages() const { return dropped_messages_; }
    std::string describe_state() const;

private:
    struct Proposal {
        RequestId request_id = 0;
        std::uint64_t version = 0;
        std::string text;
        std::uint64_t turn = 0;    // turn
        TimePoint deadline;
    };
    struct PendingRead {
        RequestId request_id = 0;
        std::uint64_t turn = 0;
        TimePoint deadline;
    };
    struct VoterChange {
        std::vector<Replica> current_voters, new_voters;    // voters
        TimePoint deadline;
    };
    struct PeerProgress {    // what a lighthouse last said of itself
        std::uint64_t disk_id = 0, next_instance = 0;
        TimePoint reported_at;
    };
    struct BallotRound {    // about the next decree
        bool in_accept_phase = false;
        Ballot ballot;
        TimePoint started_at, retry_at;    // of the phase
        std::uint64_t turn = 0;
        Duration retry_interval{};
        std::set<std::string> approvals, rejections;
        Ballot own_ballot;    // what was accepted here when it began
        std::optional<LogEntry> own_entry;
        Ballot highest_ballot;    // the highest that was accepted by any who promised
        std::optional<LogEntry> entry;
    };
    struct QuorumRead {
        std::uint64_t nonce = 0;
        TimePoint started_at, retry_at;
        std::uint64_t turn = 0;
        Duration retry_interval{};
        std::map<std::string, bool> replies;    // of those that hold this decree: is something accepted?
        std::optional<TimePoint>
            contention_deadline;    // until which another's work is left to end by itself
    };
    struct DelayedReply {
        std::uint64_t token = 0;
        std::string recipient;
        Message message;
    };
    struct CatchUp {    // one answer at a time, as a link may be slow and texts long
        std::uint64_t target_instance = 0;
        std::string source;                 // who told of it last
        std::uint64_t known_version = 0;    // the version, when asked
        TimePoint requested_at, retry_at;
        int attempts = 0;
    };
    struct CommitBroadcast {    // of a decree that was decided here, to the sets of voters
        std::uint64_t next_instance = 0;
        std::set<std::string> unacknowledged;
        TimePoint retry_at;
        Duration retry_interval{};
        int attempts = 0;
    };

    std::uint64_t next_instance() const {
        return state_.committed.voters.empty() ? 0 : state_.committed.number + 1;
    }
    bool may_vote() const { return settings_.can_vote && is_voter(); }
    std::uint64_t next_random() { return mix_bits(random_state_ += 0x9e3779b97f4a7c15ull); }
    Duration next_random(Duration lower, Duration upper) {
        return lower + Duration(static_cast<Duration::rep>(
                           next_random() %
                           static_cast<std::uint64_t>(std::max<Duration::rep>((upper - lower).count(), 1))));
    }
    void complete_request(RequestId request_id, Outcome outcome) {
        actions_->completions.push_back({request_id, outcome});
    }

    Message make_message(Kind kind) const {
        Message message;
        message.kind = kind;
        message.disk_id = state_.disk_id;
        message.next_instance = next_instance();
        return message;
    }
    void set_message_entry(Message& message, const LogEntry& entry) const {
        message.text_omitted =
            entry.version == state_.committed.version && entry.text == state_.committed.text;
        message.entry = entry;
        message.entry->earlier_digests.clear();
        if (message.text_omitted) message.entry->text.clear();
    }
    // The value with its text in place, or none where it is not one that can follow the decree held.
    std::optional<LogEntry> entry_from_message(const Message& message) const {
        if (!message.entry || message.entry->number != next_instance()) return std::nullopt;
        LogEntry entry = *message.entry;
        const LogEntry& current = state_.committed;
        if (message.text_omitted) entry.text = current.text;
        if (entry.version < current.version ||
            (entry.version == current.version && entry.text != current.text))
            return std::nullopt;
        entry.earlier_digests = digests_before(entry.version);
        return entry;
    }
    // What a decree of this version remembers that follows the one held: the same at every voter.
    std::vector<Digest> digests_before(std::uint64_t version) const {
        const LogEntry& current = state_.committed;
        std::vector<Digest> digests = current.earlier_digests;
        if (version == current.version || current.version == 0) return digests;
        digests.push_back(make_digest(current.version, current.text));
        if (digests.size() > kMaxEarlierDigests) digests.erase(digests.begin());
        return digests;
    }
    void send_message(const std::string& recipient, const Message& message) {
        if (recipient == settings_.self.address) local_messages_.push_back(message);
        else actions_->messages.push_back({recipient, encode(message)});
    }
    template <class Addresses>
    void send_to_all(const Addresses& recipients, const Message& message) {
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
    // Waits for all that the answer may rest on to be on the disk.
    void reply_when_stored(const std::string& recipient, Message message) {
        new_replies_.push_back({0, recipient, std::move(message)});
    }

    std::set<std::string> voter_addresses() const {
        std::set<std::string> addresses;
        for (const Replica& voter : state_.committed.voters) addresses.insert(voter.address);
        return addresses;
    }
    bool is_from_voter(const std::string& from, const Message& message) const {
        return contains_replica(state_.committed.voters, {from, message.disk_id});
    }

    void handle_message(const std::string& from, const Message& message) {
        if (peer_progress_.contains(from) || peer_progress_.size() < kMaxPeers)
            peer_progress_[from] = {message.disk_id, message.next_instance, now_};
        switch (message.kind) {
            case Kind::Prepare: handle_prepare(from, message); break;
            case Kind::Accept: handle_accept(from, message); break;
            case Kind::Promise: handle_promise(from, message); break;
            case Kind::Accepted: handle_accepted(from, message); break;
            case Kind::Rejected: handle_rejected(from, message); break;
            case Kind::ReadRequest: {
                Message reply = make_message(Kind::ReadReply);
                reply.nonce = message.nonce;
                reply.has_accepted_entry = state_.accepted_ballot.round != 0;
                reply_when_stored(from, std::move(reply));
                break;
            }
            case Kind::ReadReply: handle_read_reply(from, message); break;
            case Kind::Commit:
                // What was accepted under the ballot under which the next decree was chosen is that decree.
                if (next_instance() > 0 && message.next_instance == next_instance() + 1 &&
                    state_.accepted_entry && state_.accepted_ballot == message.ballot)
                    install_entry(LogEntry(*state_.accepted_entry), message.ballot);
                if (message.next_instance == next_instance())
                    reply_when_stored(from, make_message(Kind::CommitAck));
                else if (message.next_instance < next_instance()) send_commit(from);
                break;
            case Kind::FetchRequest:
                if (message.next_instance < next_instance()) {
                    Message fetch_reply = make_message(Kind::FetchReply);
                    fetch_reply.nonce = message.nonce;
                    fetch_reply.ballot = committed_ballot_;
                    fetch_reply.entry = state_.committed;
                    fetch_reply.text_omitted =
                        message.next_instance > 0 && message.nonce == state_.committed.version;
                    if (fetch_reply.text_omitted) fetch_reply.entry->text.clear();
                    send_message(from, fetch_reply);
                }
                break;
            case Kind::FetchReply: handle_fetch_reply(from, message); break;
            case Kind::CommitAck:
                if (commit_broadcast_ && message.next_instance >= commit_broadcast_->next_instance)
                    commit_broadcast_->unacknowledged.erase(from);
                if (commit_broadcast_ && commit_broadcast_->unacknowledged.empty()) commit_broadcast_.reset();
                if (read_ && message.next_instance == next_instance() && is_from_voter(from, message) &&
                    !read_->replies.contains(from)) {
                    Message request = make_message(Kind::ReadRequest);
                    request.nonce = read_->nonce;
                    send_message(from, request);
                }
                break;
            case Kind::None: break;
        }
        if (message.next_instance > next_instance()) request_entry(from, message.next_instance);
    }

    // --- the voter

    // Who is behind is told so; who is ahead is asked by hear() itself.
    bool concerns_next_instance(const std::string& from, const Message& message) {
        if (next_instance() > 0 && message.instance == next_instance()) return may_vote();
        if (message.instance < next_instance()) send_commit(from);
        return false;
    }
    void handle_prepare(const std::string& from, const Message& message) {
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
    void handle_accept(const std::string& from, const Message& message) {
        if (!concerns_next_instance(from, message) || message.ballot.round == 0) return;
        highest_round_seen_ = std::max(highest_round_seen_, message.ballot.round);
        if (message.ballot < state_.promised_ballot) return reject_ballot(from, message);
        if (state_.accepted_ballot != message.ballot) {    // else a copy
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
    void reject_ballot(const std::string& from, const Message& message) {
        Message rejection = make_message(Kind::Rejected);
        rejection.instance = message.instance;
        rejection.ballot = message.ballot;
        rejection.other_ballot = state_.promised_ballot;
        reply_when_stored(from, std::move(rejection));
    }

    // --- decrees that others decided

    void send_commit(const std::string& recipient) {
        Message commit = make_message(Kind::Commit);
        commit.ballot = committed_ballot_;
        send_message(recipient, commit);
    }
    void handle_fetch_reply(const std::string& from, const Message& message) {
        if (!message.entry || message.entry->number + 1 != message.next_instance) return;
        const bool expected =
            catch_up_ && message.nonce == catch_up_->known_version;    // else the answer to an earlier one
        if (expected)
            catch_up_timeout_ =
                std::min(std::max((now_ - catch_up_->requested_at) * 2, settings_.round_timeout),
                         settings_.max_retry_interval);
        if (message.next_instance > next_instance()) {
            LogEntry entry = *message.entry;
            if (message.text_omitted) {
                if (next_instance() == 0 || entry.version != state_.committed.version) return;
                entry.text = state_.committed.text;
            }
            install_entry(std::move(entry), message.ballot);
        }
        if (expected && catch_up_->target_instance > next_instance())
            start_catch_up(catch_up_->source, catch_up_->target_instance);    // it was overtaken
        else if (expected) catch_up_.reset();
        if (message.next_instance == next_instance()) reply_when_stored(from, make_message(Kind::CommitAck));
    }
    void request_entry(const std::string& source, std::uint64_t target_instance) {
        if (!catch_up_) return start_catch_up(source, target_instance);
        if (target_instance < catch_up_->target_instance && catch_up_->attempts == 0)
            return;    // else who told of that may be gone
        catch_up_->target_instance = target_instance;
        catch_up_->source = source;
    }
    void start_catch_up(std::string source, std::uint64_t target_instance) {
        catch_up_ = {
            target_instance, std::move(source), state_.committed.version, now_, now_ + catch_up_timeout_, 0};
        send_fetch_request();
    }
    void send_fetch_request() {
        Message message = make_message(Kind::FetchRequest);
        message.nonce = catch_up_->known_version = state_.committed.version;
        send_message(catch_up_->source, message);
    }
    // All that is about the decree that follows begins anew with each decree.
    void install_entry(LogEntry entry, const Ballot& ballot) {
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
            voter_change_.reset();    // another's change came first
        if (commit_broadcast_ && commit_broadcast_->next_instance < next_instance())
            commit_broadcast_.reset();
    }
    void probe_peers() {
        std::set<std::string> recipients(peers_.begin(), peers_.end());
        recipients.insert(settings_.founders.begin(), settings_.founders.end());
        recipients.erase(settings_.self.address);
        for (const Replica& voter : state_.committed.voters) recipients.erase(voter.address);
        Message request = make_message(Kind::ReadRequest);    // any answer says how far its sender is
        send_to_all(recipients, request);
    }

    // --- the proposer

    bool is_newer(const Proposal& proposal) const { return proposal.version > state_.committed.version; }
    bool needs_round() const {
        return must_complete_accepted_ || voter_change_ ||
               std::any_of(proposals_.begin(), proposals_.end(),
                           [this](const auto& proposal) { return is_newer(proposal); });
    }
    bool needs_read() const {
        return must_confirm_ || !pending_reads_.empty() ||
               std::any_of(proposals_.begin(), proposals_.end(),
                           [this](const auto& proposal) { return !is_newer(proposal); });
    }
    bool has_pending_requests() const { return !proposals_.empty() || !pending_reads_.empty(); }

    void start_round() {
        BallotRound round;
        round.ballot = {
            std::max({highest_round_seen_, state_.promised_ballot.round, state_.accepted_ballot.round}) + 1,
            proposer_id_};
        highest_round_seen_ = round.ballot.round;
        round.started_at = now_;
        round.turn = turn_;
        round.retry_interval = settings_.round_timeout;
        round.retry_at = now_ + round.retry_interval;
        if (state_.accepted_entry) {
            round.own_ballot = state_.accepted_ballot;
            round.own_entry = state_.accepted_entry;
        }
        round_ = std::move(round);
        send_round_messages(voter_addresses());
    }
    void send_round_messages(const std::set<std::string>& recipients) {
        Message message = make_message(round_->in_accept_phase ? Kind::Accept : Kind::Prepare);
        message.instance = next_instance();
        message.ballot = round_->ballot;
        if (round_->in_accept_phase) set_message_entry(message, *round_->entry);
        else message.other_ballot = round_->own_ballot;
        send_to_all(recipients, message);
    }
    bool matches_round(const std::string& from, const Message& message) const {
        return round_ && message.instance == next_instance() && message.ballot == round_->ballot &&
               is_from_voter(from, message);
    }
    void handle_promise(const std::string& from, const Message& message) {
        if (!matches_round(from, message) || round_->in_accept_phase) return;
        if (message.other_ballot.round != 0 && round_->highest_ballot < message.other_ballot) {
            std::optional<LogEntry> entry;
            if (message.entry) entry = entry_from_message(message);
            else if (message.other_ballot == round_->own_ballot) entry = round_->own_entry;
            if (!entry) return;    // no vote that could be followed
            round_->highest_ballot = message.other_ballot;
            round_->entry = std::move(entry);
        }
        round_->approvals.insert(from);
        if (round_->approvals.size() < majority_size(state_.committed.voters)) return;
        if (round_->highest_ballot.round == 0) {    // nothing was chosen when this round began
            record_confirmation(round_->started_at, round_->turn);
            must_complete_accepted_ = false;
            round_->entry = choose_entry();
            if (!round_->entry) return round_.reset();
        }
        round_->in_accept_phase = true;
        round_->started_at = now_;
        round_->turn = turn_;
        round_->retry_interval = settings_.round_timeout;
        round_->retry_at = now_ + round_->retry_interval;
        round_->approvals.clear();
        round_->rejections.clear();
        round_->own_entry.reset();
        send_round_messages(voter_addresses());
    }
    // The highest version asked for here; with none, the voters's change.
    std::optional<LogEntry> choose_entry() {
        const Proposal* newest_proposal = nullptr;
        for (const Proposal& proposal : proposals_)
            if (is_newer(proposal) && (!newest_proposal || proposal.version > newest_proposal->version))
                newest_proposal = &proposal;
        LogEntry entry;
        entry.number = next_instance();
        entry.voters = state_.committed.voters;
        entry.earlier_digests =
            digests_before(newest_proposal ? newest_proposal->version : state_.committed.version);
        if (newest_proposal) {
            entry.version = newest_proposal->version;
            entry.text = newest_proposal->text;
            return entry;
        }
        if (!voter_change_) return std::nullopt;
        entry.voters = voter_change_->new_voters;
        entry.version = state_.committed.version;
        entry.text = state_.committed.text;
        return entry;
    }
    void handle_accepted(const std::string& from, const Message& message) {
        if (!matches_round(from, message) || !round_->in_accept_phase) return;
        round_->approvals.insert(from);
        if (round_->approvals.size() >= majority_size(state_.committed.voters)) commit_round();
    }
    void handle_rejected(const std::string& from, const Message& message) {
        if (message.instance == next_instance() && is_from_voter(from, message))
            highest_round_seen_ = std::max(highest_round_seen_, message.other_ballot.round);
        if (!matches_round(from, message) || round_->approvals.contains(from)) return;
        round_->rejections.insert(from);
        if (round_->rejections.size() + majority_size(state_.committed.voters) >
            state_.committed.voters.size())
            back_off_round();
    }
    void back_off_round() {
        round_.reset();
        failed_rounds_ = std::min(failed_rounds_ + 1, 5);
        const Duration max_delay = std::min<Duration>(settings_.round_timeout / 16 * (1 << failed_rounds_),
                                                      settings_.max_retry_interval);
        next_round_at_ = now_ + next_random(max_delay / 8, max_delay);
    }
    void commit_round() {
        std::set<std::string> recipients = voter_addresses();
        const std::vector<Replica> previous_voters = state_.committed.voters;
        const TimePoint started_at = round_->started_at;
        const std::uint64_t turn = round_->turn;
        const Ballot ballot = round_->ballot;
        install_entry(std::move(*round_->entry), ballot);
        if (state_.committed.voters == previous_voters) {
            // Whoever keeps it now is asked for each later one, so none was chosen when it was sent out.
            record_confirmation(started_at, turn);
        } else must_confirm_ = true;    // nothing is answered before a majority of the new voters keeps it
        recipients.merge(voter_addresses());
        recipients.erase(settings_.self.address);
        commit_broadcast_ = {next_instance(), recipients, now_ + settings_.round_timeout,
                             settings_.round_timeout, 0};
        recipients.insert(peers_.begin(), peers_.end());
        recipients.erase(settings_.self.address);
        Message commit = make_message(Kind::Commit);
        commit.ballot = committed_ballot_;
        send_to_all(recipients, commit);
        if (commit_broadcast_->unacknowledged.empty()) commit_broadcast_.reset();
    }

    // --- reading

    void start_read() {
        read_ = QuorumRead{};
        read_->nonce = ++nonce_;
        read_->started_at = now_;
        read_->turn = turn_;
        read_->retry_interval = settings_.round_timeout;
        read_->retry_at = now_ + read_->retry_interval;
        send_read_requests(voter_addresses());
    }
    void send_read_requests(const std::set<std::string>& recipients) {
        Message request = make_message(Kind::ReadRequest);
        request.nonce = read_->nonce;
        send_to_all(recipients, request);
    }
    void handle_read_reply(const std::string& from, const Message& message) {
        if (!read_ || message.nonce != read_->nonce || !is_from_voter(from, message)) return;
        if (message.next_instance < next_instance()) return send_commit(from);    // Kept has it asked again
        if (message.next_instance > next_instance()) return;
        read_->replies[from] = message.has_accepted_entry;
        const std::size_t needed = majority_size(state_.committed.voters);
        const auto without_accepted = static_cast<std::size_t>(std::count_if(
            read_->replies.begin(), read_->replies.end(), [](const auto& reply) { return !reply.second; }));
        if (without_accepted >= needed) {
            record_confirmation(read_->started_at, read_->turn);
            read_.reset();
        } else if (read_->replies.size() >= needed && !read_->contention_deadline)
            read_->contention_deadline =
                now_ + next_random(settings_.round_timeout / 16, settings_.round_timeout / 4);
    }
    // A majority, each of which keeps the decree, said since then that it has accepted none to follow it.
    void record_confirmation(TimePoint since, std::uint64_t turn) {
        quorum_confirmed_at_ = quorum_confirmed_at_ ? std::max(*quorum_confirmed_at_, since) : since;
        confirmed_turn_ = std::max(confirmed_turn_, turn);
        confirmed_instance_ = next_instance();
        must_confirm_ = false;
    }

    bool is_confirmed_since(std::uint64_t turn) const {
        return next_instance() > 0 && confirmed_instance_ == next_instance() && confirmed_turn_ >= turn;
    }

    // --- answers and times

    void complete_proposals() {
        std::erase_if(proposals_, [&](const Proposal& proposal) {
            if (is_newer(proposal) || !is_confirmed_since(proposal.turn)) return false;
            complete_request(proposal.request_id, proposal_outcome(proposal));
            return true;
        });
    }
    Outcome proposal_outcome(
        const Proposal& proposal) const {    // of a version that is not over the one held
        const LogEntry& current = state_.committed;
        if (proposal.version == current.version)
            return proposal.text == current.text ? Outcome::Committed : Outcome::Conflict;
        const auto known_digest =
            std::find_if(current.earlier_digests.begin(), current.earlier_digests.end(),
                         [&proposal](const Digest& known) { return known.version == proposal.version; });
        return known_digest == current.earlier_digests.end() ||
                       *known_digest == make_digest(proposal.version, proposal.text)
                   ? Outcome::Stale
                   : Outcome::Conflict;
    }
    void advance_all() {
        complete_proposals();
        // What was borne out before a freeze is of no use after it.
        std::erase_if(pending_reads_, [&](const PendingRead& read) {
            if (!is_confirmed_since(read.turn) || now_ >= read.deadline) return false;
            complete_request(read.request_id, Outcome::Committed);
            return true;
        });
        const auto expire_if_late = [&](const auto& request) {
            if (now_ < request.deadline) return false;
            complete_request(request.request_id, Outcome::Indeterminate);
            return true;
        };
        std::erase_if(proposals_, expire_if_late);
        std::erase_if(pending_reads_, expire_if_late);
        if (voter_change_ && now_ >= voter_change_->deadline) voter_change_.reset();
        advance_catch_up();
        if (next_instance() == 0) {
            if (has_pending_requests() && now_ >= next_probe_at_) {
                probe_peers();
                next_probe_at_ = now_ + settings_.round_timeout;
            }
            return;
        }
        advance_round();
        advance_read();
    }
    void advance_catch_up() {
        if (catch_up_ && now_ >= catch_up_->retry_at) {
            if (catch_up_->target_instance <= next_instance()) catch_up_.reset();    // came another way
            else if (++catch_up_->attempts > 3) {
                catch_up_.reset();
                catch_up_timeout_ = settings_.round_timeout;
            } else {
                catch_up_timeout_ = std::min(catch_up_timeout_ * 2, settings_.max_retry_interval);
                catch_up_->retry_at = now_ + catch_up_timeout_;
                send_fetch_request();
            }
        }
        if (commit_broadcast_ && now_ >= commit_broadcast_->retry_at) {
            if (++commit_broadcast_->attempts >= kMaxCommitAttempts) return commit_broadcast_.reset();
            commit_broadcast_->retry_interval =
                std::min(commit_broadcast_->retry_interval * 2, settings_.max_retry_interval);
            commit_broadcast_->retry_at = now_ + commit_broadcast_->retry_interval;
            Message commit = make_message(Kind::Commit);
            commit.ballot = committed_ballot_;
            send_to_all(commit_broadcast_->unacknowledged, commit);
        }
    }
    void advance_round() {
        if (read_ && read_->contention_deadline && now_ >= *read_->contention_deadline) {
            read_->contention_deadline.reset();
            must_complete_accepted_ = true;
        }
        if (round_ && (now_ >= round_->retry_at || !round_->in_accept_phase) && !needs_round())
            round_.reset();
        if (round_ && now_ >= round_->retry_at) {
            if (!round_->rejections.empty()) back_off_round();
            else {
                std::set<std::string> recipients = voter_addresses();
                for (const std::string& address : round_->approvals) recipients.erase(address);
                round_->retry_interval = std::min(round_->retry_interval * 2, settings_.max_retry_interval);
                round_->retry_at = now_ + round_->retry_interval;
                send_round_messages(recipients);
                probe_peers();
            }
        }
        if (!round_ && needs_round() && now_ >= next_round_at_) start_round();
    }
    void advance_read() {
        if (read_ && !needs_read()) read_.reset();
        if (read_ && now_ >= read_->retry_at) {
            std::set<std::string> recipients = voter_addresses();
            for (const auto& [address, pending] : read_->replies) recipients.erase(address);
            read_->retry_interval = std::min(read_->retry_interval * 2, settings_.max_retry_interval);
            read_->retry_at = now_ + read_->retry_interval;
            send_read_requests(recipients);
            probe_peers();
        }
        // What is being accepted here would only be found to be under way.
        const bool busy =
            round_ && round_->in_accept_phase && now_ < round_->started_at + settings_.round_timeout;
        if (!read_ && needs_read() && !busy) start_read();
    }

    Settings settings_;
    PersistentState state_;
    std::string proposer_id_;
    std::uint64_t random_state_ = 0, nonce_ = 0;
    std::vector<std::string> peers_;

    TimePoint now_{};
    Actions* actions_ = nullptr;
    std::uint64_t turn_ = 0, dropped_messages_ = 0;

    bool has_unsaved_state_ = false;    // saved_ has changed since it was last given out to be stored
    std::uint64_t issued_token_ = 0, stored_token_ = 0;
    std::vector<DelayedReply> new_replies_;
    std::deque<DelayedReply> delayed_replies_;
    std::vector<Message> local_messages_;    // to this lighthouse's own voter or proposer

    std::vector<Proposal> proposals_;
    std::vector<PendingRead> pending_reads_;
    std::optional<VoterChange> voter_change_;
    std::map<std::string, PeerProgress> peer_progress_;
    bool must_complete_accepted_ = false;    // what others accepted is to be decided
    bool must_confirm_ = false;              // new voters are not known to keep their decree yet
    std::optional<BallotRound> round_;
    std::uint64_t highest_round_seen_ = 0;    // the highest round heard of
    int failed_rounds_ = 0;
    TimePoint next_round_at_{}, next_probe_at_{};
    std::optional<QuorumRead> read_;
    std::optional<CatchUp> catch_up_;
    Duration catch_up_timeout_{};    // with an answer to that, by how long the last one took
    std::optional<CommitBroadcast> commit_broadcast_;
    Ballot committed_ballot_;    // under which the decree was, where known
    std::optional<TimePoint> quorum_confirmed_at_;
    std::uint64_t confirmed_turn_ = 0;        // the turn of that
    std::uint64_t confirmed_instance_ = 0;    // which decree it was about
};

std::string ReplicatedRegister::Impl::describe_state() const {
    std::string description;
    const auto append_parts = [&description](const auto&... parts) {
        const auto append_part = [&description](const auto& part) {
            if constexpr (std::is_arithmetic_v<std::decay_t<decltype(part)>>)
                description += std::to_string(part);
            else description += part;
            description += ' ';
        };
        (append_part(parts), ...);
    };
    const auto append_entry = [&](const LogEntry& entry) {
        append_parts("decree", entry.number, entry.version, entry.text, entry.earlier_digests.size());
        for (const Replica& voter : entry.voters) append_parts(voter.address, voter.disk_id);
    };
    append_parts(proposer_id_, state_.disk_id, issued_token_ - stored_token_, has_unsaved_state_,
                 must_complete_accepted_, must_confirm_, highest_round_seen_);
    append_entry(state_.committed);
    append_parts("promised", state_.promised_ballot.round, state_.promised_ballot.proposer, "accepted",
                 state_.accepted_ballot.round, state_.accepted_ballot.proposer);
    if (state_.accepted_entry) append_entry(*state_.accepted_entry);
    for (const DelayedReply& reply : delayed_replies_)
        append_parts("held", issued_token_ - reply.token, reply.recipient,
                     static_cast<int>(reply.message.kind), reply.message.next_instance,
                     reply.message.instance, reply.message.ballot.round, reply.message.ballot.proposer,
                     reply.message.other_ballot.round, reply.message.has_accepted_entry);
    for (const Proposal& proposal : proposals_)
        append_parts("proposal", proposal.version, proposal.text, proposal.turn <= confirmed_turn_);
    for (const PendingRead& read : pending_reads_)
        append_parts("confirm", read.request_id, read_ && read_->turn >= read.turn);
    if (voter_change_)
        for (const Replica& replica : voter_change_->new_voters)
            append_parts("wish", replica.address, replica.disk_id);
    if (round_) {
        append_parts("round", round_->in_accept_phase, round_->ballot.round, round_->highest_ballot.round,
                     round_->highest_ballot.proposer);
        for (const auto& approver : round_->approvals) append_parts("yes", approver);
        for (const auto& rejecter : round_->rejections) append_parts("no", rejecter);
        if (round_->entry) append_entry(*round_->entry);
    }
    if (read_) {
        append_parts("read", nonce_ - read_->nonce, read_->contention_deadline.has_value());
        for (const auto& [address, pending] : read_->replies) append_parts(address, pending);
    }
    if (catch_up_) append_parts("wanted", catch_up_->target_instance, catch_up_->source, catch_up_->attempts);
    if (commit_broadcast_) {
        append_parts("telling", commit_broadcast_->next_instance);
        for (const auto& recipient : commit_broadcast_->unacknowledged) append_parts(recipient);
    }
    return description;
}

ReplicatedRegister::ReplicatedRegister(Settings settings, PersistentState state, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(state), now)) {}
ReplicatedRegister::~ReplicatedRegister() = default;
ReplicatedRegister::ReplicatedRegister(ReplicatedRegister&&) noexcept = default;
ReplicatedRegister& ReplicatedRegister::operator=(ReplicatedRegister&&) noexcept = default;
ReplicatedRegister::ReplicatedRegister(const ReplicatedRegister& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}

void ReplicatedRegister::propose(RequestId request_id, std::uint64_t version, std::string text,
                                 TimePoint deadline, TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->propose(request_id, version, std::move(text), deadline);
    impl_->finish_call();
}
void ReplicatedRegister::quorum_read(RequestId request_id, TimePoint deadline, TimePoint now,
                                     Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->quorum_read(request_id, deadline);
    impl_->finish_call();
}
void ReplicatedRegister::change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters,
                                       TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->change_voters(std::move(current_voters), std::move(new_voters));
    impl_->finish_call();
}
void ReplicatedRegister::on_message(const std::string& from, const std::string& bytes, TimePoint now,
                                    Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->on_message(from, bytes);
    impl_->finish_call();
}
void ReplicatedRegister::on_stored(std::uint64_t token, TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->on_stored(token);
    impl_->finish_call();
}
void ReplicatedRegister::tick(TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->finish_call();
}
std::optional<TimePoint> ReplicatedRegister::next_deadline() const { return impl_->next_deadline(); }
void ReplicatedRegister::set_peers(std::vector<std::string> addresses) {
    impl_->set_peers(std::move(addresses));
}
const LogEntry& ReplicatedRegister::committed_entry() const { return impl_->committed_entry(); }
std::optional<TimePoint> ReplicatedRegister::quorum_confirmed_at() const {
    return impl_->quorum_confirmed_at();
}
bool ReplicatedRegister::is_caught_up(const Replica& replica, Duration within) const {
    return impl_->is_caught_up(replica, within);
}
bool ReplicatedRegister::is_voter() const { return impl_->is_voter(); }
std::uint64_t ReplicatedRegister::dropped_messages() const { return impl_->dropped_messages(); }
std::string ReplicatedRegister::describe_state() const { return impl_->describe_state(); }

}    // namespace shaletray::consensus
