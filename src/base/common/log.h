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
enum class LogForm { KeyValue, Json };

enum class Event {
    Listening,
    Failed,    // the program ends by it
    ReloadNothing,
    ReloadFailed,
    TermsChanged,
    DiscoveryMoved,
    ServerTakenOut,
    ServerBroughtBack,
    DrainBegun,
    DrainEnded,
    HandoverNone,
    HandoverUnread,
    HandedOver,
    TakenOver,
    DiscoveryBadLine,
    DiscoveryBadEntries,
    DiscoveryBroken,
    ServerSpoiltAnswer,
    ServerUnitsUntold,    // a good answer where units are settled afterwards tells none, or no such number
    SocketFailed,
    AcceptFailed,
    EngineFailed,
    CounterUp,
    CounterLost,
    CounterSpoiltRow,
    BookRead,
    BookTorn,
    BookDamaged,
    BookNotDurable,
    PlansChanged,
    PlansRefused,
    PlansRedeemedFull,
    UsageOff,
    UsageNotRecorded,
    ExportStarted,
    ExportTrouble,
    kCount
};
std::string_view name_of(Event event);

struct LogField {
    std::string_view name;
    std::string value;
};
template <class T>
LogField kv(std::string_view name, const T& value) {
    return {name, fmt::format("{}", value)};
}

// Both may be changed at any time, and hold for all lines from then on.
void set_log_level(LogLevel level);
LogLevel log_level();
// False, and nothing changed, where the name is none of error, warning, info, debug.
bool set_log_level(std::string_view name);
void set_log_form(LogForm form);

// A line without its time and level, in either form.
std::string log_line(LogForm form, Event event, std::initializer_list<LogField> fields);
// The same for an event of a program that has a list of its own.
std::string log_line(LogForm form, std::string_view event, std::initializer_list<LogField> fields);
// From now on lines go there, without time and level, and not to standard error; none: as before. To be set
// while only one thread runs; it is then called from any.
void set_log_sink(std::function<void(LogLevel, std::string_view line)> sink);
void write_log(LogLevel level, Event event, std::initializer_list<LogField> fields);

// Safe from any thread.
inline void log(LogLevel level, Event event, std::initializer_list<LogField> fields = {}) {
    if (level <= log_level()) write_log(level, event, fields);
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
