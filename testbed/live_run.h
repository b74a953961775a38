// Runs a scenario of the simulator on real sockets: gateways as processes of the program under test, emulated
// servers, a discovery service for each gateway, a network between gateways with delay and loss, a shared
// counter if the scenario has one, and clients. Servers and clients are those of the simulator, so that its
// results can be compared with real ones.
#pragma once

#include <functional>
#include <string>

#include "simulator/world.h"

namespace shaletray::testbed {

// Where and how to run.
struct LiveSettings {
    std::string programs;    // directory of the program under test
    std::string folder;      // for its files and logs; empty: a temporary one, which is removed
    // Called once a second on the reactor's thread, with the seconds since the start and the results so far.
    std::function<void(double, const RunStatistics&)> progress{};
};

// The results of a run.
struct LiveFigures {
    RunStatistics figures;
    double cpu_s = 0.0;        // of the gateways
    std::uint64_t late = 0;    // timer ticks of this program that were too late: the machine was too slow
    // Whether so many were late that the results cannot be trusted.
    bool ran_late() const;
};

// The largest scenario that can run on sockets; the rate in requests per second.
constexpr int kMostLiveGateways = 16, kMostLiveServers = 400;
constexpr double kMostLiveRate = 5000.0;
// Takes the scenario's own time and some seconds more. Throws std::invalid_argument for scenarios that cannot
// run on sockets or exceed the limits above, and std::runtime_error if a gateway does not start.
LiveFigures run_live(const Scenario& scenario, const LiveSettings& settings);

// The configuration of the program under test, with the values of the simulator's gateway_settings().
std::string settings_json(const Scenario& s, int me);
// A complete JSON configuration of a single gateway before these servers. There is no discovery service: the
// initial server list stays.
std::string lone_config(const Scenario& s, const std::vector<std::string>& servers, const std::string& listen,
                        std::size_t sockets, double memory_mb);

}    // namespace shaletray::testbed
