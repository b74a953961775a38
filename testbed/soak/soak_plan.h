// What a soak run plays, drawn from its seed: the system's machines, tenants and callers, and the signals and
// restarts that strike them. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "system/fixture.h"

namespace shaletray::testbed {

// The command line.
struct SoakOptions {
    std::uint64_t seed = 1;
    double seconds = 30.0;    // of load
    int gateways = 24;
    int controllers = 3;    // on the first machines, with disks
    int tenants = 24;
    double requests_per_gateway = 3.0;    // a second
    double quota_headroom = 1.6;          // a tenant's rate, divided by what its callers send
    double quota_slack = 20.0;            // units; see bounds.quota_slack
    bool quiet = false;                   // no signals, restarts and changes
    std::string log_level = "info";       // of the system's programs
};

// Something that happens to the system's processes or to servers. Several overlap.
struct SoakEvent {
    enum class Kind {
        Stop,      // SIGTERM, and a new start once it has ended
        Kill,      // SIGKILL, and a new start
        Reload,    // SIGHUP, with settings written anew
        Freeze,    // SIGSTOP, and SIGCONT after `pause`
        ReplaceServer,
    };
    Kind kind = Kind::Stop;
    double at = 0.0;        // seconds since the start of the load
    std::string node;       // of processes
    std::string service;    // of ReplaceServer
    double pause = 0.0;     // seconds until the new start, or until SIGCONT
};

// One line: what happens to what.
std::string describe(const SoakEvent& event);
// Five zones. Tenants differ in size; each has callers at some gateways, and a quota above what they send.
// The last tenant sends nothing: the operators' changes alter its quota.
SystemPlan make_soak_system(const SoakOptions& options, const std::string& program_directory);
// Series of events that overlap, sorted by time. Empty for a quiet run.
std::vector<SoakEvent> draw_soak_events(const SoakOptions& options, const std::vector<std::string>& nodes,
                                        const SystemPlan& plan);

}    // namespace shaletray::testbed
