// Structured logging: one event a line on standard error, through spdlog; nothing per request. An event has a
// stable name (docs/operate/logging.md lists them) and fields; a line is key=value text or JSON. All
// functions are safe from any thread unless stated otherwise.
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

// Events of the data plane and the balancer; event_name gives the name in the log.
enum class Event {
    Listening,
    Failed,    // fatal: the program exits
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
    ServerUnitsUnreported,    // a successful response lacks usable units, though units are settled afterwards
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

// One field of a line, its value as text.
struct LogField {
    std::string_view name;
    std::string value;
};
template <class T>
LogField log_field(std::string_view name, const T& value) {
    return {name, fmt::format("{}", value)};
}

// Level and format may be changed at any time and apply to all later lines.
void set_log_level(LogLevel level);
LogLevel log_level();
// Returns false and changes nothing unless the name is error, warning, info or debug.
bool set_log_level(std::string_view name);
void set_log_format(LogFormat format);

// A line without time and level, in either format.
std::string format_log_line(LogFormat log_format, Event event, std::initializer_list<LogField> fields);
// The same for programs that define their own events.
std::string format_log_line(LogFormat log_format, std::string_view event,
                            std::initializer_list<LogField> fields);
// Redirects lines, without time and level, from standard error to `sink`; an empty one restores the default.
// Set it while only one thread runs; it is then called from any thread.
void set_log_sink(std::function<void(LogLevel, std::string_view line)> sink);
// Writes a line whatever the level; use log().
void write_log(LogLevel level, Event event, std::initializer_list<LogField> fields);

// Writes a line if the level is enabled. Safe from any thread.
inline void log(LogLevel level, Event event, std::initializer_list<LogField> fields = {}) {
    if (level <= log_level()) write_log(level, event, fields);
}

// Allows one message per interval, so that a stream of bad input cannot fill the log. Not thread-safe.
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
