// The log: one event a line on standard error, by spdlog; nothing per request. Events have names that do not
// change (docs/operate/logging.md lists them), and fields; a line is key=value, or JSON where that is set.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace shaletray {

enum class LogLevel { Error, Warning, Info, Debug };
enum class LogFormat { KeyValue, Json };

enum class Event {
    Listening,
    Failed,    // the program ends by it
    ReloadUnchanged,
    ReloadFailed,
    PlanTermsChanged,
    DiscoveryAddressChanged,
    ServerEjected,
    ServerReinstated,
    DrainStarted,
    DrainEnded,
    HandoverUnavailable,
    HandoverMalformed,
    HandoverExported,
    HandoverImported,
    DiscoveryMalformedLine,
    DiscoveryMalformedEntries,
    DiscoveryConnectionLost,
    ServerMalformedAnswer,
    ServerUnitsUnreported,    // a good answer where units are settled afterwards tells none, or no such
                              // number
    SocketFailed,
    AcceptFailed,
    EngineFailed,
    SharedCounterConnected,
    SharedCounterDisconnected,
    SharedCounterMalformedRow,
    PlanTableLoaded,
    PlanTableTruncated,
    PlanTableDamaged,
    PlanTableNotDurable,
    PlansChanged,
    PlanChangeRejected,
    RedemptionTableFull,
    UsageLogDisabled,
    UsageRecordsLost,
    ExportStarted,
    ExportFailed,
    kCount
};
std::string_view event_name(Event event);

struct LogField {
    std::string_view name;
    std::string value;
};
template <class T>
LogField log_field(std::string_view name, const T& value) {
    return {name, fmt::format("{}", value)};
}

// Both may be changed at any time, and hold for all lines from then on.
void set_log_level(LogLevel level);
LogLevel log_level();
// False, and nothing changed, where the name is none of error, warning, info, debug.
bool set_log_level(std::string_view name);
void set_log_format(LogFormat format);

// A line without its time and level, in either form.
std::string format_log_line(LogFormat log_format, Event event, std::initializer_list<LogField> fields);
// The same for an event of a program that has a list of its own.
std::string format_log_line(LogFormat log_format, std::string_view event,
                            std::initializer_list<LogField> fields);
// From now on lines go there, without time and level, and not to standard error; none: as before. To be set
// while only one thread runs; it is then called from any.
void set_log_sink(std::function<void(LogLevel, std::string_view line)> sink);
void write_log(LogLevel level, Event event, std::initializer_list<LogField> fields);

// Safe from any thread.
inline void log(LogLevel level, Event event, std::initializer_list<LogField> fields = {}) {
    if (level <= log_level()) write_log(level, event, fields);
}

// Lets a message through at most once in a while, so that a stream of bad input cannot fill the log.
class LogRateLimiter {
public:
    explicit LogRateLimiter(std::chrono::milliseconds interval = std::chrono::milliseconds(1000))
        : interval_(interval) {}
    bool try_acquire();

private:
    std::chrono::milliseconds interval_;
    std::chrono::steady_clock::time_point next_allowed_{};
};

}    // namespace shaletray
