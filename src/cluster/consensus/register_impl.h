// The implementation of the replicated register. Internal: only for the register_*.cpp files beside it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/message.h"
#include "cluster/consensus/peer_progress.h"
#include "cluster/consensus/pending_work.h"
#include "cluster/consensus/random_source.h"
#include "cluster/consensus/replicated_register.h"
#include "cluster/consensus/reply_queue.h"

namespace shaletray::consensus {

// The number of voters that form a majority.
inline std::size_t majority_size(const std::vector<Replica>& voters) { return voters.size() / 2 + 1; }

// One replica: acceptor, proposer and learner for the next entry of the log. The public functions that modify
// the replica must be called between begin_call() and finish_call().
//
// Invariants: whenever state_ changes, has_unsaved_state_ is set; every message that depends on state_ being
// durable is sent by reply_when_stored(); round_, read_ and all votes concern the entry numbered
// next_instance().
class ReplicatedRegister::Impl {
public:
    Impl(Settings settings, PersistentState state, TimePoint now);

    // Starts a call from outside and increments the call number. Call numbers order requests and
    // confirmations even if the clock stands still.
    void begin_call(TimePoint now, Actions& actions);
    // Performs all work that is due, issues the write of a changed state, and sends the replies whose state
    // is stored.
    void finish_call();

    // See the functions of the same names in ReplicatedRegister.
    void propose(RequestId request_id, std::uint64_t version, std::string text, TimePoint deadline);
    void quorum_read(RequestId request_id, TimePoint deadline);
    void change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters);
    void change_ownership_table(std::string current_table, std::string new_table);
    void on_message(const std::string& from, const std::string& bytes);
    void on_stored(std::uint64_t token) { replies_.on_stored(token); }
    void set_peers(std::vector<std::string> addresses);
    std::optional<TimePoint> next_deadline() const;
    const LogEntry& committed_entry() const { return state_.committed; }
    std::optional<TimePoint> quorum_confirmed_at() const { return quorum_confirmed_at_; }
    bool is_voter() const;
    bool is_caught_up(const Replica& replica, Duration within) const;
    std::uint64_t dropped_messages() const { return dropped_messages_; }
    std::string describe_state() const;

private:
    // --- register_impl.cpp: messages and deadlines

    // The number of the entry to be decided next; 0 if this replica has no entry yet.
    std::uint64_t next_instance() const;
    std::set<std::string> voter_addresses() const;
    bool is_from_voter(const std::string& from, const Message& message) const;
    Message make_message(Message::Kind kind) const;
    void send_message(const std::string& recipient, const Message& message);
    void send_to_all(const std::set<std::string>& recipients, const Message& message);
    // Sends the message once the current state is on disk.
    void reply_when_stored(const std::string& recipient, Message message);
    void handle_message(const std::string& from, const Message& message);
    // Requests the progress of the controllers that are not voters.
    void probe_peers();
    void advance_all();

    // --- register_requests.cpp: requests of clients

    void complete(const Proposal& proposal, Outcome outcome);
    void complete(const PendingRead& read, Outcome outcome);
    ProposalWait current_wait(const Proposal& proposal) const;
    void complete_proposals();
    void complete_reads();
    void expire_requests();
    // The outcome of a proposal whose version is not newer than the committed one.
    Outcome proposal_outcome(const Proposal& proposal) const;
    bool is_newer(const Proposal& proposal) const;
    bool has_pending_requests() const;
    bool needs_round() const;
    bool needs_read() const;

    // --- register_acceptor.cpp: votes of this replica

    bool may_vote() const;
    // Whether the message is about the next entry and this replica may vote on it. Announces the committed
    // entry to senders that are behind.
    bool concerns_next_instance(const std::string& from, const Message& message);
    void handle_prepare(const std::string& from, const Message& message);
    void handle_accept(const std::string& from, const Message& message);
    void reject_ballot(const std::string& from, const Message& message);

    // --- register_proposer.cpp: ballot rounds of this replica

    void start_round();
    void send_round_messages(const std::set<std::string>& recipients);
    bool matches_round(const std::string& from, const Message& message) const;
    void handle_promise(const std::string& from, const Message& message);
    void handle_accepted(const std::string& from, const Message& message);
    void handle_rejected(const std::string& from, const Message& message);
    // Adopts the entry that the sender of the promise has accepted, if its ballot is the highest so far;
    // returns false if that entry cannot follow the committed one.
    bool adopt_accepted_entry(const Message& promise);
    void start_accept_phase();
    std::optional<LogEntry> choose_entry() const;
    const Proposal* newest_proposal() const;
    void back_off_round();
    void commit_round();
    void advance_round();
    void retry_round();

    // --- register_learner.cpp: chosen entries

    void set_message_entry(Message& message, const LogEntry& entry) const;
    std::optional<LogEntry> entry_from_message(const Message& message) const;
    std::vector<Digest> digests_before(std::uint64_t version) const;
    void install_entry(LogEntry entry, const Ballot& ballot);
    Message make_commit() const;
    void send_commit(const std::string& recipient);
    void start_commit_broadcast(const std::set<std::string>& previous_voter_addresses);
    void handle_commit(const std::string& from, const Message& message);
    void handle_commit_ack(const std::string& from, const Message& message);
    void handle_fetch_request(const std::string& from, const Message& message);
    void handle_fetch_reply(const std::string& from, const Message& message);
    void request_entry(const std::string& source, std::uint64_t target_instance);
    void start_catch_up(std::string source, std::uint64_t target_instance);
    void send_fetch_request();
    void advance_catch_up();
    void advance_commit_broadcast();

    // --- register_reads.cpp: confirmations that the committed entry is the newest

    void start_read();
    void send_read_requests(const std::set<std::string>& recipients);
    void handle_read_request(const std::string& from, const Message& message);
    void handle_read_reply(const std::string& from, const Message& message);
    void record_confirmation(TimePoint since, std::uint64_t call_number);
    bool is_confirmed_since(std::uint64_t call_number) const;
    void advance_read();

    Settings settings_;
    PersistentState state_;
    bool has_unsaved_state_ = false;    // state_ has changed since its last write was issued
    RandomSource random_;
    std::string proposer_id_;    // unique to this start of this replica
    std::uint64_t nonce_ = 0;    // of the latest read
    std::vector<std::string> peers_;
    PeerProgress peer_progress_;

    TimePoint now_{};                  // of the current call; never decreases
    Actions* actions_ = nullptr;       // of the current call
    std::uint64_t call_number_ = 0;    // of the current call
    std::uint64_t dropped_messages_ = 0;

    ReplyQueue replies_;
    std::vector<Message> local_messages_;    // sent by this replica to itself

    std::vector<Proposal> proposals_;
    std::vector<PendingRead> pending_reads_;
    std::optional<VoterChange> voter_change_;
    std::optional<OwnershipTableChange> table_change_;

    // A round is needed to complete an entry that voters have accepted from another proposer.
    bool must_complete_accepted_ = false;
    // A majority of the new voters is not yet known to have stored the entry.
    bool must_confirm_ = false;
    std::optional<BallotRound> round_;
    RoundTrace latest_round_;                 // for the log
    std::uint64_t highest_round_seen_ = 0;    // of any ballot for the next entry
    int failed_rounds_ = 0;                   // consecutive
    TimePoint next_round_at_{}, next_probe_at_{};

    std::optional<QuorumRead> read_;
    std::optional<TimePoint> quorum_confirmed_at_;
    std::uint64_t confirmed_call_number_ = 0;    // of the last confirmation
    std::uint64_t confirmed_instance_ = 0;       // next_instance() at the last confirmation

    std::optional<CatchUp> catch_up_;
    Duration catch_up_timeout_{};    // adapts to the duration of the last fetch
    std::optional<CommitBroadcast> commit_broadcast_;
    Ballot committed_ballot_;    // under which the committed entry was chosen, if known
};

}    // namespace shaletray::consensus
