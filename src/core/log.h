// A small logger: one line a message on standard error, nothing per request.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <string_view>
#include <utility>

namespace shaletray {

enum class LogLevel { Error, Warning, Info, Debug };

void set_log_level(LogLevel level);
LogLevel log_level();
// False, and nothing changed, where the name is none of error, warning, info, debug.
bool set_log_level(std::string_view name);
void write_log(LogLevel level, std::string_view text);

template <class... Args>
void log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
    if (level <= log_level()) write_log(level, fmt::format(format, std::forward<Args>(args)...));
}

// Lets a message through at most once in a while, so that a stream of bad input cannot fill the log.
class LogGate {
public:
    explicit LogGate(std::chrono::milliseconds every = std::chrono::milliseconds(1000)) : every_(every) {}
    bool open();

private:
    std::chrono::milliseconds every_;
    std::chrono::steady_clock::time_point next_{};
};

}    // namespace shaletray
