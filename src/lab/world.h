// The laboratory's world: fronts with customers that ask, gateways with the program's own engine, servers
// that work, queue, fall over and come back, and a network between them. In virtual time, from one seed.
// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "valehall/control.h"

namespace shaletray::lab {

using valehall::Duration;
using valehall::TimePoint;

struct ServerModel {
    int cores = 4, queue = 64;
    double work_ms = 20.0;          // median of a request's work
    double tail = 0.5;              // sigma of its logarithm
    double heavy = 0.0;             // part of the requests that take ten times as long
    double loss_when_full = 0.3;    // of its speed, with the queue full
    double cold_speed = 0.5;        // at its start, growing to 1
    Duration cold{2'000'000};
    bool cancel_stops = true;    // work that is called off ends, also where it runs
};

struct Fault {
    enum class Kind { Crash, Slow, Hang, Errors, Drain, RoomLost, LinkLoss };
    Kind kind{};
    Duration at{0}, lasts{0};
    int server = -1, room = -1;    // which; RoomLost: a room
    double by = 1.0;               // Slow: times slower; Errors, LinkLoss: part of the requests
};
const char* name_of(Fault::Kind kind);

struct Scenario {
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
    ServerModel model;
    std::vector<valehall::PlanSettings>
        plans;    // customers by number, one after the other; empty: one wide one
    std::vector<Fault> faults;

    // Throws std::invalid_argument with what is wrong, naming the field.
    void check() const;
};

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
        std::string first;    // the course of the first request that broke it
    };
    std::map<std::string, Rule> rules;
    std::vector<std::uint64_t> served_by_second, refused_by_second, failed_by_second;
    std::uint64_t digest = 0;    // of all of the above and each request's end, in their order
    bool kept() const;
};

// Threads that are worth their waiting for each other at each window, at most so many.
std::size_t fitting_threads(const Scenario& scenario, std::size_t most);

// The same for any number of threads.
Figures run(const Scenario& scenario, std::size_t threads);

}    // namespace shaletray::lab
