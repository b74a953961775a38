// SWIM-style cluster membership over datagrams: which processes exist and which of them are reachable.
// Members are discovered through the seeds and then through each other. In each probe round a process pings a
// few members, and asks others to ping those that do not answer. Packets carry recent changes (a new
// incarnation, a new version of a member's information, a suspicion, a departure) as gossip, and a change is
// also sent to a few members at once. Every packet carries a digest over all members, incarnations and
// versions that the sender knows: when two digests keep differing, one member requests the differing part of
// the table from the other. The load of an idle process does not grow with the number of members.
//
// Silence does not prove that a process has ended: a member is Alive, Suspect (nothing received from it,
// perhaps partitioned) or Dead (it announced its departure, or nothing was received from it for
// `dead_after`).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::membership {

enum class Role : std::uint8_t { Gateway, Controller };
enum class State : std::uint8_t { Alive, Suspect, Dead };

// What a member publishes about itself.
struct MemberInfo {
    std::string address;    // internal "ip:port", of datagrams and sessions alike
    Role role = Role::Gateway;
    std::string name;
    std::string zone;
    std::string region;
    std::string control_address;        // controllers: the address that serves control_plane
    bool voter_eligible = false;        // controllers: its disk may vote
    std::uint64_t disk_id = 0;          // controllers: identifies its disk among the voters
    std::uint64_t incarnation = 0;      // higher for a later process at the same address
    std::uint32_t quota_divisor = 0;    // gateways: divisor of the quotas; 0: grants nothing yet
    bool operator==(const MemberInfo&) const = default;
};

// Another member, as this process knows it.
struct Member {
    MemberInfo info;
    State state = State::Alive;
    // The member announced its departure, which is final. A Dead member that has not departed was only silent
    // and may return.
    bool departed = false;
    TimePoint last_heard{};    // last proof that this incarnation runs; zero: none yet
    // The latest time, by this process's clock, from which the member provably received something: it
    // answered a ping sent then, or repeated this process's heartbeat of then; zero: none yet.
    TimePoint last_acknowledged{};
    // When the member last had the same digest as this process, or knew no more members.
    TimePoint last_in_sync{};
    TimePoint state_changed_at{};
};

// Whether the member is a controller that runs and whose disk may vote.
inline bool may_vote(const Member& member) {
    return member.info.role == Role::Controller && member.info.voter_eligible && member.state == State::Alive;
}

struct Settings {
    MemberInfo self;                   // its incarnation is raised if an earlier process had a higher one
    std::vector<std::string> seeds;    // internal addresses of controllers to join through
    Duration probe_interval = std::chrono::milliseconds(500);    // interval between probe rounds
    Duration suspect_after = std::chrono::milliseconds(2000);    // silence after which a member is Suspect
    Duration dead_after = std::chrono::seconds(20);              // silence after which a member is Dead
    std::size_t max_datagram_bytes = 1200;                       // stays below common path MTUs
    std::uint64_t random_seed = 0;
};

// What the owner must do after a call.
struct Actions {
    struct Send {
        std::string to;
        std::string bytes;
    };
    std::vector<Send> sends;
    std::vector<std::string> changed_members;    // addresses of members whose information or state changed
};

// Counters of datagrams and rejections since the start.
struct Statistics {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t malformed = 0;           // datagrams that could not be decoded
    std::uint64_t rejected_members = 0;    // new members rejected because the table was full (8000)
};

// The membership state machine of one process. Performs no I/O and reads no clock: the owner passes messages
// and times in, delivers Actions::sends (in any order, each at most once) and calls tick() at
// next_deadline(), which any call may change. Not thread-safe.
//
// If no call is made for over a second, the process counts as paused: it then suspects no member before that
// member has had time to be received from again. A Dead member is removed from members() two minutes after
// its announced departure, or three minutes after it became Dead for silence; joining processes also receive
// the latter.
class Membership {
public:
    // `settings.self.incarnation` should come from a clock or a file. If it is too low, it is raised: see
    // self().
    Membership(Settings settings, TimePoint now);
    ~Membership();
    // Handles a datagram from this address.
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    // Records that the member provably runs, such as after a message of a session.
    void record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now);
    // Performs the work that is due.
    void tick(TimePoint now, Actions& actions);
    // When tick() must be called next; TimePoint::max() after the departure.
    TimePoint next_deadline() const;

    // Change what this process publishes. Each change is sent to all members, so in large clusters owners
    // should change values in coarse steps.
    void set_quota_divisor(std::uint32_t divisor);
    void set_disk_id(std::uint64_t disk_id);
    // Pass false when the process is about to end and its disk should no longer vote.
    void set_voter_eligible(bool eligible);
    // Replaces the seeds.
    void set_seeds(std::vector<std::string> seeds);
    // Announces the departure of this process. Later calls do nothing and send nothing.
    void announce_departure(TimePoint now, Actions& actions);

    // The other members by address.
    const std::map<std::string, Member>& members() const;
    // What this process publishes. Its incarnation is raised when a packet shows that an earlier process at
    // its address had a higher one; the first replies show this, usually before joined().
    const MemberInfo& self() const;
    // The fraction of the other gateways that are not Dead with which this process had contact within
    // `window`; 1 if there are no such gateways. Contact means that the gateway sent anything, that a member
    // passed on a later heartbeat of it, or a call of record_contact(). Below 128 members, gateways are
    // counted. Without faults there is contact with every gateway within a second with up to 32 members, and
    // within two seconds with more. From 128 members on, the fraction is estimated from the gateways that
    // were pinged in the window (about four a second, at least the last four), and suspects count as without
    // contact. Being listed by other members is not contact. A process that is partitioned for longer than
    // `dead_after` considers the others Dead and counts none of them; see Member::departed.
    double heard_fraction(TimePoint now, Duration window) const;
    // The fraction of this process's own pings in the window (four to six a second, at least the last four)
    // that were answered. It shows whether other members receive what this process sends; heard_fraction()
    // shows only the opposite direction. 1 if there are no other members.
    double acknowledged_fraction(TimePoint now, Duration window) const;
    // Whether, without faults, last_heard and last_acknowledged of every member are less than four seconds
    // old. Otherwise only the fractions show a partition within that time.
    bool contacts_every_member() const;
    const Statistics& statistics() const;
    // Whether a controller has sent all members that it knows, or there is no controller to ask.
    bool joined() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::membership
