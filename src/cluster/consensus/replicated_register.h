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
    bool can_vote = true;    // false without a disk: such a controller never votes
    std::vector<std::string>
        founders{};            // internal addresses; empty unless this is the cluster's first start
    std::uint64_t seed = 0;    // differs from one start to the next: it makes ballots unique
    // How long a round or a read waits for answers before it asks again.
    Duration round_timeout = std::chrono::milliseconds(250);
    // Upper bound of the exponential backoff, and so of the time in which a healed partition is noticed.
    Duration max_retry_interval = std::chrono::seconds(2);
};

// A replicated register: a log of entries, each chosen by a majority of the voters that its predecessor
// names.
//
// Entry n+1 is decided by one instance of Paxos among the voters of entry n, and nothing is started for it
// before entry n is known. A vote belongs to a disk (see Replica).
//
// Pure: it takes messages and times and returns messages, state to be stored and completed requests; it uses
// no clock, socket or file. Not thread-safe. `now` never needs to be monotonic: earlier times are ignored.
class ReplicatedRegister {
public:
    // `state` is what the disk holds, empty on a first start.
    ReplicatedRegister(Settings settings, PersistentState state, TimePoint now);
    ~ReplicatedRegister();
    ReplicatedRegister(ReplicatedRegister&&) noexcept;
    ReplicatedRegister& operator=(ReplicatedRegister&&) noexcept;
    // For exploring what may follow a state. Two copies must not both run as the same proposer.
    ReplicatedRegister(const ReplicatedRegister&);

    // Proposes a version, at least 1, with its text. Completes as
    //  - Committed once an entry of this version and text is chosen and stored by a majority;
    //  - Stale once one of a later version is, likewise, unless this version is remembered with another text;
    //  - Conflict where this version has or had another text;
    //  - Indeterminate at the deadline.
    void propose(RequestId request_id, std::uint64_t version, std::string text, TimePoint deadline,
                 TimePoint now, Actions& actions);
    // Completes as Committed once committed_entry() is known to be the newest entry that was chosen when this
    // was called; as Indeterminate at the deadline, and never as Committed after it, however late the process
    // runs.
    void quorum_read(RequestId request_id, TimePoint deadline, TimePoint now, Actions& actions);
    // Proposes to replace the voters by `new_voters` (sorted), provided that they are still `current_voters`.
    // All change at once, by one entry that the old voters decide; nothing is answered from that entry before
    // a majority of the new voters has stored it. Replaces an earlier call that has not succeeded yet and is
    // abandoned after twenty round timeouts.
    void change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters, TimePoint now,
                       Actions& actions);
    // Proposes to replace the ownership table, provided that it is still `current_table`. Abandoned once
    // another table is chosen, and after twenty round timeouts. Replaces an earlier call that has not
    // succeeded yet.
    void change_ownership_table(std::string current_table, std::string new_table, TimePoint now,
                                Actions& actions);
    // Takes a message; `from` is the internal address of the controller that sent it.
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    // Tells that the write with this token, and all before it, are on disk.
    void on_stored(std::uint64_t token, TimePoint now, Actions& actions);
    // Does what is due by now: to be called at next_deadline().
    void tick(TimePoint now, Actions& actions);
    std::optional<TimePoint> next_deadline() const;
    // All known controllers, which are told of new entries as the voters are.
    void set_peers(std::vector<std::string> addresses);

    // The newest entry known here to be chosen.
    const LogEntry& committed_entry() const;
    // When a majority last confirmed that committed_entry() was the newest; none: not yet since the start.
    std::optional<TimePoint> quorum_confirmed_at() const;
    bool is_voter() const;
    // Whether this replica reported, within this time, to have the newest entry or nearly so.
    bool is_caught_up(const Replica& replica, Duration within) const;
    // Messages that could not be decoded.
    std::uint64_t dropped_messages() const;
    // All state that matters except times, for state exploration and for logs.
    std::string describe_state() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::consensus
