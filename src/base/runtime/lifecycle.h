// What both programs do around their loop: signals, and the settings file that may change without one.
#pragma once

#include <functional>
#include <string>

#include "base/runtime/command_line.h"

namespace shaletray::runtime {

struct LifecycleHooks {
    std::function<void()> on_stop;
    std::function<void(const NodeSettings&)> on_settings_changed;
    std::function<std::string()> describe_counters;
};
// SIGTERM and SIGINT stop, SIGHUP looks at the settings file, SIGPIPE is ignored. Once, before the loop.
void catch_signals();
bool is_stop_requested();
// Once a turn: acts on signals, looks at the settings file every 2 s, tells the counters every 10 s.
std::function<void()> make_lifecycle_tick(Startup& startup, LifecycleHooks hooks);

}    // namespace shaletray::runtime
