// What both programs do around their loop: signals, and the settings file that may change without one.
#pragma once

#include <functional>
#include <string>

#include "base/runtime/command_line.h"

namespace shaletray::runtime {

struct Loop {
    std::function<void()> stop;
    std::function<void(const NodeSettings&)> settings_changed;
    std::function<std::string()> counters;
};
// SIGTERM and SIGINT stop, SIGHUP looks at the settings file, SIGPIPE is ignored. Once, before the loop.
void catch_signals();
bool stop_was_asked();
// Once a turn: acts on signals, looks at the settings file every 2 s, tells the counters every 10 s.
std::function<void()> look_after(Start& start, Loop loop);

}    // namespace shaletray::runtime
