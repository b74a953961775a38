// The replicated register of the controllers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "cluster/consensus/actions.h"
#include "cluster/consensus/persistent_state.h"

namespace shaletray::consensus {

struct Settings {
    Replica self;
    bool can_vote = true;    // false on a controller without a disk, which never votes
    // Internal addresses of the founders; empty except at the first start of the cluster.
    std::vector<std::string> founders{};
    std::uint64_t seed = 0;    // must differ between starts, as it makes ballots unique
    // Time without a reply after which a round or a read sends its messages again.
    Duration round_timeout = std::chrono::milliseconds(250);
    // Upper bound of the exponential backoff, and thus of the time until a healed partition is detected.
    Duration max_retry_interval = std::chrono::seconds(2);
};

// A replicated register: a log of entries, each chosen by a majority of the voters that the preceding entry
// names.
//
// Entry n+1 is decided by one instance of single-decree Paxos among the voters of entry n. A replica takes
// part in that instance only once it knows entry n. A vote belongs to a disk (see Replica).
//
// A pure state machine: takes messages and times, and returns messages, state to be stored and completed
// requests; uses no clock, socket or file. Not thread-safe. `now` need not be monotonic: times that go back
// are ignored.
class ReplicatedRegister {
public:
    // `state` is the state on disk, empty at the first start.
    ReplicatedRegister(Settings settings, PersistentState state, TimePoint now);
    ~ReplicatedRegister();
    ReplicatedRegister(ReplicatedRegister&&) noexcept;
    ReplicatedRegister& operator=(ReplicatedRegister&&) noexcept;
    // For state exploration. Two copies must not both run as the same proposer.
    ReplicatedRegister(const ReplicatedRegister&);

    // Proposes a version, at least 1, with its text. Completes as
    //  - Committed once an entry of this version and text is chosen and stored by a majority;
    //  - Stale once an entry of a later version is chosen and stored by a majority, unless it is known that
    //    this version had another text;
    //  - Conflict if this version has or had another text;
    //  - Indeterminate at the deadline.
    void propose(RequestId request_id, std::uint64_t version, std::string text, TimePoint deadline,
                 TimePoint now, Actions& actions);
    // Completes as Committed once committed_entry() is known to be at least as new as any entry chosen before
    // this call; as Indeterminate at the deadline, and never as Committed after it, even if the process was
    // suspended.
    void quorum_read(RequestId request_id, TimePoint deadline, TimePoint now, Actions& actions);
    // Proposes to replace the voters by `new_voters` (sorted), provided that they are still `current_voters`.
    // All voters change at once, by one entry that the old voters decide; no request is answered from that
    // entry before a majority of the new voters has stored it. Replaces an earlier call that has not
    // succeeded yet, and is abandoned after twenty round timeouts.
    void change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters, TimePoint now,
                       Actions& actions);
    // Proposes to replace the ownership table, provided that it is still `current_table`. Abandoned once
    // another table is chosen, and after twenty round timeouts. Replaces an earlier call that has not
    // succeeded yet.
    void change_ownership_table(std::string current_table, std::string new_table, TimePoint now,
                                Actions& actions);
    // Handles a message; `from` is the internal address of the controller that sent it.
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    // Reports that the write with this token, and all earlier ones, are on disk.
    void on_stored(std::uint64_t token, TimePoint now, Actions& actions);
    // Performs the work that is due. Must be called at next_deadline().
    void tick(TimePoint now, Actions& actions);
    std::optional<TimePoint> next_deadline() const;
    // Sets the known controllers, to which new entries are announced like to the voters.
    void set_peers(std::vector<std::string> addresses);

    // The newest entry that this replica knows to be chosen.
    const LogEntry& committed_entry() const;
    // When a majority last confirmed that committed_entry() was the newest; none before the first
    // confirmation.
    std::optional<TimePoint> quorum_confirmed_at() const;
    bool is_voter() const;
    // Whether the replica reported, within this time, that it has the newest entry or one of the few before.
    bool is_caught_up(const Replica& replica, Duration within) const;
    // Number of messages that could not be decoded.
    std::uint64_t dropped_messages() const;
    // Describes all state that influences behavior, except times, for state exploration and logs.
    std::string describe_state() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::consensus
