// The log of the system's programs, by Boost.Log: each event is one line of key=value pairs on standard
// error, flushed at once. Events logged through base/common/log.h get the same form.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/common/log.h"

namespace shaletray::runtime {

// Opens the log; `node` is part of each line. To be called once, before other threads are started.
void open_log(const std::string& node);
// Writes an event regardless of the log level. Safe from any thread.
void write_event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields);
// Writes an event if the log level includes it. Names are lower case with underscores, as
// "settings_changed". Safe from any thread.
inline void log_event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields = {}) {
    if (level <= log_level()) write_event(level, name, fields);
}

}    // namespace shaletray::runtime
