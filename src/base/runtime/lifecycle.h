// Process lifecycle of the gateway and the controller: signals and changes of the settings file.
#pragma once

#include <functional>
#include <string>

#include "base/runtime/command_line.h"

namespace shaletray::runtime {

// Callbacks on process events, called on the event loop's thread.
struct LifecycleHooks {
    std::function<void()> on_stop;
    std::function<void(const NodeSettings&)> on_settings_changed;
    std::function<std::string()> describe_counters;    // for the log
};

// Catches SIGTERM and SIGINT, which stop the process, and SIGHUP, which reloads its settings; ignores
// SIGPIPE. To be called once, before the loop.
void catch_signals();
bool is_stop_requested();
// Returns a function to be called once per iteration of the event loop: it handles signals, reads the
// settings file again every 2 s and logs the counters every 10 s. `startup` must outlive it.
std::function<void()> make_lifecycle_tick(Startup& startup, LifecycleHooks hooks);

}    // namespace shaletray::runtime
