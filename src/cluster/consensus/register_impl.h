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

// How many of the voters are a majority.
inline std::size_t majority_size(const std::vector<Replica>& voters) { return voters.size() / 2 + 1; }

// One replica: acceptor, proposer and learner for the next entry of the log. Each public function that takes
// part in a call from outside runs between begin_call() and finish_call().
//
// Invariants: state_ changes only together with has_unsaved_state_; whatever rests on state_ is sent by
// reply_when_stored(); round_, read_ and all votes are about the entry numbered next_instance().
class ReplicatedRegister::Impl {
public:
    Impl(Settings settings, PersistentState state, TimePoint now);

    // Every call from outside is a turn. Turns order requests and confirmations even where the clock stands
    // still.
    void begin_call(TimePoint now, Actions& actions);
    // Does all that is due, issues the write of a changed state, and sends the replies that may be sent.
    void finish_call();

    // As the functions of the same names of ReplicatedRegister.
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
    // --- register_impl.cpp: messages and times

    // The number of the entry to be decided next; 0: this replica knows no entry yet.
    std::uint64_t next_instance() const;
    std::set<std::string> voter_addresses() const;
    bool is_from_voter(const std::string& from, const Message& message) const;
    Message make_message(Message::Kind kind) const;
    void send_message(const std::string& recipient, const Message& message);
    void send_to_all(const std::set<std::string>& recipients, const Message& message);
    // Sends the message once the present state is on disk.
    void reply_when_stored(const std::string& recipient, Message message);
    void handle_message(const std::string& from, const Message& message);
    // Asks the controllers that are no voters how far they have got.
    void probe_peers();
    void advance_all();

    // --- register_requests.cpp: requests of clients

    void complete_request(RequestId request_id, Outcome outcome);
    void complete_proposals();
    void complete_reads();
    void expire_requests();
    // For a proposal whose version is not newer than the committed one.
    Outcome proposal_outcome(const Proposal& proposal) const;
    bool is_newer(const Proposal& proposal) const;
    bool has_pending_requests() const;
    bool needs_round() const;
    bool needs_read() const;

    // --- register_acceptor.cpp: the votes of this replica

    bool may_vote() const;
    // Whether the message is about the next entry and this replica may vote on it. Tells senders that are
    // behind.
    bool concerns_next_instance(const std::string& from, const Message& message);
    void handle_prepare(const std::string& from, const Message& message);
    void handle_accept(const std::string& from, const Message& message);
    void reject_ballot(const std::string& from, const Message& message);

    // --- register_proposer.cpp: rounds of this replica

    void start_round();
    void send_round_messages(const std::set<std::string>& recipients);
    bool matches_round(const std::string& from, const Message& message) const;
    void handle_promise(const std::string& from, const Message& message);
    void handle_accepted(const std::string& from, const Message& message);
    void handle_rejected(const std::string& from, const Message& message);
    // Takes over what the sender of the promise has accepted; false where the entry cannot follow this one.
    bool adopt_accepted_entry(const Message& promise);
    void start_accept_phase();
    std::optional<LogEntry> choose_entry() const;
    const Proposal* newest_proposal() const;
    void back_off_round();
    void commit_round();
    void advance_round();
    void retry_round();

    // --- register_learner.cpp: entries that were chosen

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

    // --- register_reads.cpp: confirmations that the entry is the newest

    void start_read();
    void send_read_requests(const std::set<std::string>& recipients);
    void handle_read_request(const std::string& from, const Message& message);
    void handle_read_reply(const std::string& from, const Message& message);
    void record_confirmation(TimePoint since, std::uint64_t turn);
    bool is_confirmed_since(std::uint64_t turn) const;
    void advance_read();

    Settings settings_;
    PersistentState state_;
    bool has_unsaved_state_ = false;    // state_ has changed since its last write was issued
    RandomSource random_;
    std::string proposer_id_;    // unique to this start of this replica
    std::uint64_t nonce_ = 0;    // of the last read
    std::vector<std::string> peers_;
    PeerProgress peer_progress_;

    TimePoint now_{};               // of the present call; never goes back
    Actions* actions_ = nullptr;    // of the present call
    std::uint64_t turn_ = 0;
    std::uint64_t dropped_messages_ = 0;

    ReplyQueue replies_;
    std::vector<Message> local_messages_;    // from this replica to itself

    std::vector<Proposal> proposals_;
    std::vector<PendingRead> pending_reads_;
    std::optional<VoterChange> voter_change_;
    std::optional<OwnershipTableChange> table_change_;

    bool must_complete_accepted_ = false;    // a round is needed to finish what voters accepted from another
    bool must_confirm_ = false;              // the new voters are not known to have stored their entry yet
    std::optional<BallotRound> round_;
    std::uint64_t highest_round_seen_ = 0;    // in any ballot for the next entry
    int failed_rounds_ = 0;                   // in succession
    TimePoint next_round_at_{}, next_probe_at_{};

    std::optional<QuorumRead> read_;
    std::optional<TimePoint> quorum_confirmed_at_;
    std::uint64_t confirmed_turn_ = 0;        // the turn of the last confirmation
    std::uint64_t confirmed_instance_ = 0;    // next_instance() at the last confirmation

    std::optional<CatchUp> catch_up_;
    Duration catch_up_timeout_{};    // adapts to the time that the last reply took
    std::optional<CommitBroadcast> commit_broadcast_;
    Ballot committed_ballot_;    // under which the committed entry was chosen, where known
};

}    // namespace shaletray::consensus
