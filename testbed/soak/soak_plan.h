// The plan of a soak run, drawn from its seed: the system's machines, tenants and callers, and the signals
// and restarts of its processes. Pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "system/fixture.h"

namespace shaletray::testbed {

// The command line options.
struct SoakOptions {
    std::uint64_t seed = 1;
    double seconds = 30.0;    // of load
    int gateways = 24;
    int controllers = 3;    // on the first machines, with disks
    int tenants = 24;
    double requests_per_gateway = 3.0;    // a second
    double quota_headroom = 1.6;          // a tenant's rate, divided by what its callers send
    double quota_slack = 20.0;            // units; see bounds.quota_slack
    double uploads_per_gateway = 0.0;     // requests with long bodies, a second
    double memory_mb = 260.0;             // limits.memory_mb of the system's programs
    bool quiet = false;                   // no signals, restarts or configuration changes
    std::string log_level = "info";       // of the system's programs
};

// A fault or restart of one of the system's processes, or a server replacement. Events may overlap.
struct SoakEvent {
    enum class Kind {
        Stop,      // SIGTERM, and a restart after the process has ended
        Kill,      // SIGKILL, and a restart
        Reload,    // SIGHUP, with rewritten settings
        Freeze,    // SIGSTOP, and SIGCONT after `pause`
        ReplaceServer,
    };
    Kind kind = Kind::Stop;
    double at = 0.0;        // seconds since the start of the load
    std::string node;       // target of process events
    std::string service;    // target of ReplaceServer
    double pause = 0.0;     // seconds until the restart, or until SIGCONT
};

// One line with the event and its target.
std::string describe(const SoakEvent& event);
// A system in five zones. Tenants differ in size; each has callers at some gateways, and by default a quota
// above their load. The last tenant sends nothing: the operators' changes alter its quota.
SystemPlan make_soak_system(const SoakOptions& options, const std::string& program_directory);
// Overlapping series of events, sorted by time. Empty for a quiet run.
std::vector<SoakEvent> draw_soak_events(const SoakOptions& options, const std::vector<std::string>& nodes,
                                        const SystemPlan& plan);

}    // namespace shaletray::testbed
