// The laboratory's world: fronts with customers that ask, gateways with the program's own engine, servers
// that work, queue, fall over and come back, and a network between them. In virtual time, from one seed.
// Pure.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/control.h"

namespace shaletray::testbed {

using decision::Duration;
using decision::TimePoint;

struct ServerModel {
    int cores = 4, queue = 64;
    double work_ms = 20.0;          // median of a request's work
    double tail = 0.5;              // sigma of its logarithm
    double heavy = 0.0;             // part of the requests that take ten times as long
    double loss_when_full = 0.3;    // of its speed, with the queue full
    double cold_speed = 0.5;        // at its start, growing to 1
    Duration cold{2'000'000};
    bool cancel_stops = true;     // work that is called off ends, also where it runs
    Duration connect{0};          // work of a new connection, on top of its first request's
    Duration report_late{0};      // what it says of its load is up to so old
    double report_noise = 0.0;    // and off by a factor of this sigma of its logarithm
    // A cold one that is sent more than so many times what it can do, for so long, falls over and stays down.
    double fall_multiple = 4.0;
    Duration fall{1'500'000};
};

struct Fault {
    enum class Kind {
        Crash,
        Slow,
        Hang,
        Errors,
        Drain,
        RoomLost,
        LinkLoss,
        Heavy,              // part of a class's requests cost `by` times as much, at all servers
        GatewayLost,        // its process ends; fronts notice late
        DiscoverySilent,    // what changes is told once it speaks again
        MailLoss,           // part of the datagrams between gateways
        StoreLost           // the shared counter answers nobody
    };
    Kind kind{};
    Duration at{0}, lasts{0};
    int server = -1, room = -1;    // which; RoomLost: a room
    double by = 1.0;               // Slow, Heavy: times slower; Errors, LinkLoss, MailLoss: part of them
    double part = 1.0;             // Heavy: of the requests
    int cls = -1;                  // Heavy: of this class; -1: of all
    int gateway = -1;              // GatewayLost
    bool with_gateways = false;    // RoomLost: those of the room too
    double share = 0.0;            // instead of one server: this part of them, drawn anew for each seed
    // Above the above: drawn between, anew for each seed.
    Duration at_to{0}, lasts_to{0};
    double by_to = 0.0, part_to = 0.0;
};
bool of_servers(Fault::Kind kind);
struct Scenario;
// Whether a fault that is drawn is one of that server.
bool touches(const Scenario& s, const Fault& f, int server);
const char* name_of(Fault::Kind kind);

// A plan that changes in service, by the plan book; takes effect a lead after `at`.
struct PlanChange {
    Duration at{0};
    int plan = 0;
    double rate = 0.0, burst = 0.0, ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0;
};

struct Scenario {
    // How gateways share what customers use: their own datagrams, or a counter that all reach.
    enum class Sharing { Mail, Counter };
    std::string name = "calm";
    std::uint64_t seed = 1;
    Duration time{30'000'000};
    int gateways = 3, servers = 9, rooms = 3, fronts = 4;
    std::uint64_t customers = 1000;
    double zipf = 1.1;      // skew of who asks
    double rate = 300.0;    // requests a second, all customers together
    double burst = 0.0;     // part of the time at which a front asks three times as much
    double uneven = 0.3;    // of a front's requests, to one gateway that changes
    double units = 1.0;
    int tries = 3;                   // of a client, refusals and failures together
    double leaves = 0.0;             // part of the clients that leave before their answer
    Duration patience{2'000'000};    // of a client, over all of its tries
    Duration delay{300};             // one way, and up to twice that; the lookahead
    Duration list_delay{50'000};     // until a gateway hears of a server's change, and up to twice that
    double mail_loss = 0.0;          // part of the datagrams between gateways
    Sharing sharing = Sharing::Mail;
    ServerModel model;
    std::vector<PlanChange> changes;    // Sharing::Counter only
    std::vector<decision::PlanSettings>
        plans;    // customers by number, one after the other; empty: one wide one
    std::vector<Fault> faults;

    // Throws std::invalid_argument with what is wrong, naming the field.
    void check() const;
    // With what is drawn for each seed drawn: faults without ranges and shares, each of one server or room.
    Scenario drawn() const;
};

// A customer's set of gateways, as its requests name it.
inline int set_width(const Scenario& s) { return s.gateways < 3 ? s.gateways : 3; }
inline int first_of(const Scenario& s, decision::CustomerId customer) {
    return static_cast<int>(static_cast<std::uint64_t>(customer) % static_cast<std::uint64_t>(s.gateways));
}

// What a scenario's gateways are told; the same in virtual time and on sockets.
enum LabClass : int { ClaimRead, Approve, ClaimSubmit };
const std::vector<decision::ClassSettings>& lab_classes();
decision::Settings gateway_settings(const Scenario& s, int me);
// All as discovery has them at the start.
decision::HostList all_servers(const Scenario& s);
inline decision::HostId host_of(int server) {
    return decision::HostId{static_cast<std::uint32_t>(server + 1)};
}
// What discovery comes to say in the course of a scenario that is drawn.
struct Listing {
    Duration at{0};    // when discovery knows it
    int server = 0;
    decision::HostState state{};
    Duration born{-1};    // below 0: long ago
};
std::vector<Listing> listings(const Scenario& s);

// Bins an eighth wide, for each second of a run.
using Coarse = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint32_t>(),
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e5)));
Coarse no_coarse();

struct Figures {
    std::uint64_t requests = 0, tries = 0;                                      // of clients
    std::uint64_t served = 0, in_aim = 0, refused = 0, failed = 0, left = 0;    // how requests ended
    std::uint64_t refusals = 0;                                                 // tries that were refused
    std::uint64_t attempts = 0, called_off = 0;
    std::uint64_t wasted_work_us = 0, work_us = 0;    // for nobody any more; all
    std::uint64_t events = 0, messages = 0;
    std::uint64_t customers_seen = 0;
    double p50_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;    // of those served, from the client's first try
    struct Rule {
        std::uint64_t checked = 0, broken = 0;
        std::string first;            // what broke it first
        std::uint64_t request = 0;    // and whose request that was, of its front; 0: nobody's
    };
    std::map<std::string, Rule> rules;
    std::vector<std::uint64_t> served_by_second, refused_by_second, failed_by_second;
    std::vector<Coarse> latency_by_second;                  // of those served
    std::vector<std::uint64_t> waste_by_second;             // us of work for nobody
    std::vector<std::uint64_t> mail_by_second;              // messages between gateways, or with the store
    std::vector<double> work_by_second, units_by_second;    // us of work begun; units let in
    std::vector<std::pair<double, std::string>> course;     // of the traced request: seconds, what
    std::uint64_t digest = 0;    // of all of the above and each request's end, in their order
    bool kept() const;
};

// Counts a rule's case, and keeps the first that broke it.
template <class Course>
void count(Figures::Rule& rule, bool kept, const Course& course, std::uint64_t request = 0) {
    ++rule.checked;
    if (kept) return;
    if (rule.broken++ > 0) return;
    rule.first = course();
    rule.request = request;
}
// A request that was let in, for the rule on ceilings.
struct Sent {
    TimePoint at;
    decision::CustomerId customer;
    float units;
};
// Terms of plans as they held from then on.
struct Terms {
    TimePoint from;
    int plan;
    double ceiling_rate, ceiling_burst, ceiling_slack;
};
// One store that sees all gateways. `late`: of what is told of a send, at most.
void check_ceilings(const Scenario& s, std::vector<Sent>&& sent, const std::vector<Terms>& changes,
                    TimePoint start, Duration late, Figures& figures);
// All rules, so that one that nothing called for is told as such.
void name_rules(Figures& figures);
// Takes what one front, server or gateway counted into the whole.
void add_figures(Figures& to, const Figures& from);

// Threads that are worth their waiting for each other at each window, at most so many.
std::size_t fitting_threads(const Scenario& scenario, std::size_t most);

// The same for any number of threads. `traced`: a request of a front whose course is wanted; 0: none.
Figures run(const Scenario& scenario, std::size_t threads, std::uint64_t traced = 0);

}    // namespace shaletray::testbed
