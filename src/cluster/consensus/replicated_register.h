// The agreed register of the lighthouses: a chain of decrees, each chosen by a majority of the voters that
// the one before it names. A decree holds the whole configuration and the voters for the next one. Pure:
// messages and times in, messages, things to store and answers out; no clock, no sockets, no disk.
//
// Decree n+1 is a single round of Paxos among the voters of decree n; nothing starts on n+1 before n is
// known. A voter is a disk: an emptied one has another number and has no vote until it was voted in.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::consensus {

struct Member {
    std::string address;       // "10.1.0.24:7100", the lighthouse's internal one
    std::uint64_t disk = 0;    // 0: a founder's; else drawn when an empty folder was first opened
    auto operator<=>(const Member&) const = default;
};
struct Digest {    // of a configuration's text; two that differ by nothing but blanks differ
    std::uint64_t version = 0, low = 0, high = 0;
    auto operator<=>(const Digest&) const = default;
};
struct Decree {
    std::uint64_t number = 0;      // 0: the founding, nothing decided yet
    std::vector<Member> voters;    // who decides on the next one
    std::uint64_t version = 0;
    std::string text;    // the configuration as the operator sent it
    // Of the versions that were held before, up to kMostEarlier, ascending: follows from the decree before.
    std::vector<Digest> earlier{};
    bool operator==(const Decree&) const = default;
};
struct Ballot {
    std::uint64_t round = 0;
    std::string proposer;
    auto operator<=>(const Ballot&) const = default;
};
// What must be on the disk before anything that follows from it is said.
struct Saved {
    std::uint64_t disk = 0;
    Decree decree;                    // the newest known
    Ballot promised;                  // for decree.number + 1
    Ballot accepted;                  // likewise; round 0: none
    std::optional<Decree> pending;    // what was accepted
};

struct Message;    // see lamp_message.h

struct Settings {
    Member me;
    bool votes = true;                    // false without a disk: never a voter
    std::vector<std::string> founders;    // internal addresses; empty where this is no first start
    std::uint64_t seed =
        0;    // another one in each life: ballots are told apart by it (and by the start time)
    Duration round_time = std::chrono::milliseconds(250);    // after which a round is begun anew
    // The most between two tries: how long after a cut's end the first word of it may take.
    Duration longest_wait = std::chrono::seconds(2);
};

constexpr std::size_t kMostEarlier = 64;

using Ticket = std::uint64_t;
enum class Answer {
    Settled,
    Superseded,
    Conflict,     // its version is or was another text's
    Unsettled,    // no majority in time, may or may not be
};

struct Actions {
    struct Send {
        std::string to;       // a lighthouse's internal address
        std::string bytes;    // an encoded Message
    };
    // To be written and synced in this order; Lamp::stored(token) then releases what waits for it.
    struct Store {
        std::uint64_t token = 0;
        Saved saved;
    };
    struct Done {
        Ticket ticket = 0;
        Answer answer = Answer::Unsettled;
    };
    std::vector<Send> sends;
    std::vector<Store> stores;
    std::vector<Done> done;
    bool changed = false;    // decree() has
};

class Lamp {
public:
    Lamp(Settings settings, Saved saved, TimePoint now);
    ~Lamp();
    Lamp(Lamp&&) noexcept;
    Lamp& operator=(Lamp&&) noexcept;
    Lamp(const Lamp&);    // for exploring what may follow; two that run are two lives

    // Versions begin with 1. Settled once a decree of this version and text is chosen and kept by a majority;
    // Superseded once one of a later version is (acknowledged likewise), unless this version is remembered to
    // have had another text; Conflict where it has. Answered by `until` at the latest.
    void propose(Ticket ticket, std::uint64_t version, std::string text, TimePoint until, TimePoint now,
                 Actions& out);
    // Settled once decree() is known to be the newest that was chosen when this was asked; never after
    // `until`, however late the process gets to run.
    void quorum_read(Ticket ticket, TimePoint until, TimePoint now, Actions& out);
    // Proposes that in the place of `from`, if these vote still, `to` (sorted) vote: all at once, since it is
    // one decree of the old voters, and nothing is answered from it before a majority of the new ones keeps
    // it. It replaces an earlier wish and ends after twenty rounds.
    void change_voters(std::vector<Member> from, std::vector<Member> to, TimePoint now, Actions& out);
    void heard(const std::string& from, const std::string& bytes, TimePoint now, Actions& out);
    void stored(std::uint64_t token, TimePoint now, Actions& out);
    void tick(TimePoint now, Actions& out);
    std::optional<TimePoint> next() const;    // when tick is due
    // To whom new decrees are told, beside the voters: all lighthouses known.
    void others(std::vector<std::string> addresses);

    const Decree& decree() const;    // the newest chosen that is known here
    // When a majority last bore out that decree() was the newest; none: not yet in this life.
    std::optional<TimePoint> confirmed() const;
    bool is_voter() const;
    // Whether it said within this time, on this disk, that it holds the newest decree or nearly so.
    bool follows(const Member& member, Duration within) const;
    std::uint64_t dropped() const;    // messages that could not be read
    std::string picture() const;      // all that matters but times, for exploring and for logs

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::consensus
