// Cluster membership: which processes exist and which of them are reachable, learned from the seeds and then
// from the other members by datagrams, in the manner of SWIM. Each round a process pings a few members, and
// has others ping those that do not answer. Every packet carries recent changes (a new incarnation, a new
// version of a member's information, a suspicion, a departure) to members that may not know them; a change
// also goes to a few members at once. Every packet carries a digest over all members, incarnations and
// versions that the sender knows: when two digests keep differing, one member requests the differing part
// from the other. The load of a process at rest does not grow with the number of members.
//
// Silence does not prove that a process has ended: a member is Alive, Suspect (not heard from, perhaps
// partitioned) or Dead (it announced its departure, or was not heard from for `dead_after`).
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
    std::uint64_t disk_id = 0;          // controllers: the id of its disk among the voters
    std::uint64_t incarnation = 0;      // larger for a later process at the same address
    std::uint32_t quota_divisor = 0;    // gateways: the number it divides quotas by; 0: grants nothing yet
    bool operator==(const MemberInfo&) const = default;
};

// What this process knows of another member.
struct Member {
    MemberInfo info;
    State state = State::Alive;
    // It announced its departure, which is final. A Dead member without it was only unheard and may come
    // back.
    bool departed = false;
    TimePoint last_heard{};    // when anything proved that this incarnation runs; zero: nothing has yet
    // The latest time of this process of which the member proved that it had heard, by an ack or by repeating
    // this process's heartbeat; zero: none yet.
    TimePoint last_acknowledged{};
    // When it last had the same digest as this process, or knew no more members.
    TimePoint last_in_sync{};
    TimePoint state_changed_at{};
};

struct Settings {
    MemberInfo self;                   // its incarnation is raised when an earlier process had a higher one
    std::vector<std::string> seeds;    // internal addresses of controllers to join through
    Duration probe_interval = std::chrono::milliseconds(500);    // between two probe rounds
    Duration suspect_after = std::chrono::milliseconds(2000);    // silence until a member is Suspect
    Duration dead_after = std::chrono::seconds(20);              // silence until a member is Dead
    std::size_t max_datagram_bytes = 1200;                       // stays below common path MTUs
    std::uint64_t random_seed = 0;
};

// What the owner has to do after a call.
struct Actions {
    struct Send {
        std::string to;
        std::string bytes;
    };
    std::vector<Send> sends;
    std::vector<std::string> changed_members;    // addresses of members whose information or state changed
};

// Counters of datagrams and of what was rejected, since the start.
struct Statistics {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t malformed = 0;           // datagrams that could not be decoded
    std::uint64_t rejected_members = 0;    // new members beyond the capacity of the table (8000)
};

// The membership state machine of one process. Does no input or output and reads no clock: the owner passes
// messages and times in, delivers Actions::sends (in any order, each at most once) and calls tick() at
// next_deadline(), which any call may change. Not thread-safe.
//
// A process that was not called for over a second takes itself for paused: it suspects nobody until it could
// have heard them again. A Dead member leaves members() two minutes after its announced departure, or three
// minutes after it was held dead for silence; joining processes are told of the latter too.
class Membership {
public:
    // `settings.self.incarnation` should come from a clock or a file. It may be too low, see self().
    Membership(Settings settings, TimePoint now);
    ~Membership();
    // A datagram arrived from the address.
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    // Something else, such as a message of a session, proved that the member runs.
    void record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now);
    // Does what is due.
    void tick(TimePoint now, Actions& actions);
    // When tick() is due next; TimePoint::max() after the departure.
    TimePoint next_deadline() const;

    // Changes of what this process publishes. Each one goes to all members: where members are many, owners
    // should change values in steps.
    void set_quota_divisor(std::uint32_t divisor);
    void set_disk_id(std::uint64_t disk_id);
    // False: the process is about to end, and its disk should no longer vote.
    void set_voter_eligible(bool eligible);
    // Replaces the seeds after a change of the settings.
    void set_seeds(std::vector<std::string> seeds);
    // Announces the end of this process. Later calls do nothing and send nothing.
    void announce_departure(TimePoint now, Actions& actions);

    // The other members by address.
    const std::map<std::string, Member>& members() const;
    // What this process publishes. Its incarnation rises when it learns of an earlier process at its address
    // with a higher one; it learns of it in the first answers, as a rule before joined().
    const MemberInfo& self() const;
    // The fraction of the other gateways that are not Dead from which this process heard within `window`; 1
    // where there are none. Below 128 members they are counted: a gateway was heard if it sent anything, if a
    // member passed on a later heartbeat of it, or by record_contact(). Without faults every gateway is heard
    // within a second with up to 32 members, and within two seconds with more. From 128 members on the
    // fraction is estimated by the gateways that were pinged in the window (about four a second, at least the
    // last four), less the suspects. A process that just started counts nobody as heard of whom it was only
    // told. A process that is partitioned for longer than `dead_after` holds the others dead and counts none
    // of them; see Member::departed.
    double heard_fraction(TimePoint now, Duration window) const;
    // The fraction of this process's own pings in the window (four to six a second, at least the last four)
    // that were answered, which shows whether others hear it; heard_fraction() shows only that it hears them.
    // 1 where there are no other members.
    double acknowledged_fraction(TimePoint now, Duration window) const;
    // Whether, without faults, the last_heard and last_acknowledged of every member are newer than four
    // seconds. Otherwise only the fractions show a partition within that time.
    bool contacts_every_member() const;
    const Statistics& statistics() const;
    // Whether a controller has answered with all members that it knows, or there is none to ask.
    bool joined() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::membership
