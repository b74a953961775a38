// What both programs do besides their work: react to signals and to changes of the settings file.
#pragma once

#include <functional>
#include <string>

#include "base/runtime/command_line.h"

namespace shaletray::runtime {

// What a program does on events of its process. Called by the loop's thread.
struct LifecycleHooks {
    std::function<void()> on_stop;
    std::function<void(const NodeSettings&)> on_settings_changed;
    std::function<std::string()> describe_counters;    // for the log
};

// Catches SIGTERM and SIGINT, which stop the process, and SIGHUP, which reloads its settings; ignores
// SIGPIPE. To be called once, before the loop.
void catch_signals();
bool is_stop_requested();
// A function to be called once in each turn of the loop: it reacts to signals, reads the settings file every
// 2 s and logs the counters every 10 s. `startup` has to outlive it.
std::function<void()> make_lifecycle_tick(Startup& startup, LifecycleHooks hooks);

}    // namespace shaletray::runtime
