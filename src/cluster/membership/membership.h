// Which processes of the system there are: members learned from the seeds and then from each other, by
// datagrams. Pure: messages and times in, messages and changes out. Nothing here is a list that is given, and
// no silence proves an end: a member is Alive, Suspected (unheard, perhaps cut off) or Gone (it said so, a
// later life at its address was heard, or it was unheard for `forget_after`).
//
// In the manner of SWIM: each round a process pings a few others, directly and where they do not answer
// through third ones. Every packet carries what is new (a life, a version of its facts, a suspicion, a
// goodbye) to those that may not know it; what is new at a process goes to some others at once. Every packet
// also says the sum of all lives and versions that its sender knows: where two differ for a while, one asks
// the other for what differs. What a process does in calm does not grow with their number.
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

struct MemberInfo {         // what a member says of itself
    std::string address;    // internal "ip:port", datagrams and sessions alike
    Role role = Role::Gateway;
    std::string name, zone, region;
    std::string control_address;        // lighthouses: the address that serves control_plane
    bool voter_eligible = false;        // lighthouses: its disk may vote
    std::uint64_t disk_id = 0;          // its number in the lamp's voters
    std::uint64_t incarnation = 0;      // larger for a later life at the same address
    std::uint32_t quota_divisor = 0;    // pilots: how many pilots it divides quotas by; 0: grants nothing yet
    bool operator==(const MemberInfo&) const = default;
};
struct Member {
    MemberInfo info;
    State state = State::Alive;
    bool departed = false;     // Gone by its own word; else Gone is only unheard, and may come back
    TimePoint last_heard{};    // when anything proved that this life ran; zero: nothing has yet
    // The newest moment of this process of which the member proved that it had heard of it, by an answer or
    // by this process's beat in what it sends; zero: none yet.
    TimePoint last_acknowledged{};
    TimePoint last_in_sync{};    // when it last knew the same lives and versions as this process, or no more
                                 // members
    TimePoint state_changed_at{};    // its state
};

struct Settings {
    MemberInfo self;                   // its life is raised where an earlier one is heard of
    std::vector<std::string> seeds;    // internal addresses of lighthouses, to begin with
    Duration probe_interval = std::chrono::milliseconds(500);    // between two rounds of probes
    Duration suspect_after = std::chrono::milliseconds(2000);
    Duration dead_after = std::chrono::seconds(20);
    std::size_t max_datagram_bytes = 1200;    // bytes of a datagram
    std::uint64_t random_seed = 0;
};
struct Actions {
    struct Send {
        std::string to, bytes;
    };
    std::vector<Send> sends;
    std::vector<std::string> changed_members;    // addresses of members whose facts or state changed
};

struct Statistics {    // datagrams, and what was not taken from them
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::uint64_t malformed = 0;           // datagrams that are none of ours
    std::uint64_t rejected_members = 0;    // members beyond the most that are kept (8000)
};

// The owner sends what `sends` holds, in any order and at most once, and calls tick at next(), which any call
// may move. A process that was not called for over a second takes itself for frozen: it suspects nobody until
// it could have heard them again. Once a member is Gone for two minutes it leaves members(), if
// it said no goodbye for three; a joiner is told of these too.
class Membership {
public:
    // `me.life` should come from a clock or a file: it may be too low, see me().
    Membership(Settings settings, TimePoint now);
    ~Membership();
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    // Something else proved that the member ran just now (a session's message).
    void record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now);
    void tick(TimePoint now, Actions& actions);
    TimePoint next_deadline() const;
    // Of the facts of this process. Each change goes to all others: where members are many, change it in
    // steps.
    void set_quota_divisor(std::uint32_t divisor);
    void set_disk_id(std::uint64_t disk_id);
    void set_voter_eligible(
        bool eligible);    // false: it is about to end, and its disk should vote no longer
    void set_seeds(std::vector<std::string> seeds);    // as the settings file now has them
    void announce_departure(TimePoint now,
                            Actions& actions);    // says goodbye to all; nothing is sent after it

    const std::map<std::string, Member>& members() const;    // by address, without this one
    // Its life rises while it runs where an earlier one of this address is heard of that had a higher number;
    // this is heard within the first answers, as a rule before joined().
    const MemberInfo& self() const;
    // Of the other pilots that are not Gone: the part heard within `within`. 1 where there are none. Below
    // 128 members it is counted: heard are those that sent anything, those whose beat another one told is
    // later than the one known, and seen(). Where all is well each is heard within a second with up to 32
    // members, and within two with more. From 128 on it is estimated: of the pilots drawn and pinged in
    // this time (about four a second; the last four at least) the part that was heard since, less the
    // Suspected. A process that just started counts nobody as heard that it only was told of. Who is cut
    // off for longer than `forget_after` has forgotten the others and counts none: see Member::ended.
    double heard_fraction(TimePoint now, Duration window) const;
    // Whether others hear this process: of its own pings in that time (four to six a second, the last four at
    // least) the part that was answered. 1 where there are no others. heard_part says only that it hears
    // them.
    double acknowledged_fraction(TimePoint now, Duration window) const;
    // Whether each member's heard and answered are newer than four seconds where all is well; if not, only
    // heard_part and answered_part tell of a cut within that time.
    bool contacts_every_member() const;
    const Statistics& statistics() const;
    bool joined() const;    // a lighthouse has answered with all that it knows, or none is to be asked

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::membership
