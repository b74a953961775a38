// A scenario on real sockets: emulated servers, a discovery for each gateway, a network between gateways that
// delays and loses, a counter where one is asked for, clients of the scenario's fronts, and gateways as
// processes of the program under test. The same servers and clients as in virtual time, so that model and
// reality can be held against each other.
#pragma once

#include <functional>
#include <string>

#include "simulator/world.h"

namespace shaletray::testbed {

struct LiveSettings {
    std::string programs;    // the folder of the program under test
    std::string folder;      // for its files and logs; empty: one of its own, which is removed
    // Once a second while it runs, on the reactor's thread: seconds since the start, and what came by then.
    std::function<void(double, const RunStatistics&)> progress{};
};

struct LiveFigures {
    RunStatistics figures;
    double cpu_s = 0.0;        // of the gateways
    std::uint64_t late = 0;    // turns of this program that were later than kLate: the machine was too slow
    bool ran_late() const;
};

// Takes the scenario's own time and some seconds more. Throws std::invalid_argument for what cannot be had on
// sockets (more than kMostLive gateways, servers or requests), std::runtime_error where a gateway does not
// come up.
constexpr int kMostLiveGateways = 16, kMostLiveServers = 400;
constexpr double kMostLiveRate = 5000.0;
LiveFigures run_live(const Scenario& scenario, const LiveSettings& settings);

// What the program under test is configured with; the same figures as gateway_settings() has.
std::string settings_json(const Scenario& s, int me);
// A whole configuration, JSON, of a gateway alone before these servers. Nobody speaks for discovery: what is
// known at the start stays.
std::string lone_config(const Scenario& s, const std::vector<std::string>& servers, const std::string& listen,
                        std::size_t sockets, double memory_mb);

}    // namespace shaletray::testbed
