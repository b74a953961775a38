// The log of the system's programs, by Boost.Log: each event is one line of key=value pairs on standard
// error, written at once. What the shared parts log by core/log.h comes out in the same form.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/common/log.h"

namespace shaletray::runtime {

// Once, before any other thread runs. `node` stands in each line.
void open_log(const std::string& node);
// Names are lower case with underscores, "lamp_settled". Nothing is formatted below the level. Any thread.
void write_event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields);
inline void log_event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields = {}) {
    if (level <= log_level()) write_event(level, name, fields);
}

}    // namespace shaletray::runtime
