#include "base/common/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>

namespace shaletray {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"error", "warning", "info", "debug"};
constexpr std::array<std::string_view, static_cast<std::size_t>(Event::kCount)> kEvents = {
    "listening",           "failed",
    "reload.nothing",      "reload.failed",
    "terms.changed",       "discovery.moved",
    "server.taken_out",    "server.brought_back",
    "drain.begun",         "drain.ended",
    "handover.none",       "handover.unread",
    "handover.given",      "handover.taken",
    "discovery.bad_line",  "discovery.bad_entries",
    "discovery.broken",    "server.spoilt_answer",
    "server.units_untold", "socket.failed",
    "accept.failed",       "engine.failed",
    "counter.up",          "counter.lost",
    "counter.spoilt_row",  "book.read",
    "book.torn",           "book.damaged",
    "book.not_durable",    "plans.changed",
    "plans.refused",       "plans.redeemed_full",
    "usage.off",           "usage.not_recorded",
    "export.started",      "export.trouble"};

std::atomic<LogLevel> current_level{LogLevel::Info};
std::atomic<LogForm> current_form{LogForm::KeyValue};
std::function<void(LogLevel, std::string_view)> current_sink;

constexpr const char* kKeyValuePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

void set_pattern(spdlog::logger& logger, LogForm form) {
    logger.set_pattern(form == LogForm::Json ? kJsonPattern : kKeyValuePattern,
                       spdlog::pattern_time_type::utc);
}

spdlog::logger& logger() {
    static const std::shared_ptr<spdlog::logger> kLogger = [] {
        auto made =
            std::make_shared<spdlog::logger>("shaletray", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        made->set_level(spdlog::level::debug);    // what is below the level does not come here
        set_pattern(*made, current_form);
        return made;
    }();
    return *kLogger;
}

spdlog::level::level_enum level_of(LogLevel level) {
    switch (level) {
        case LogLevel::Error: return spdlog::level::err;
        case LogLevel::Warning: return spdlog::level::warn;
        case LogLevel::Info: return spdlog::level::info;
        case LogLevel::Debug: break;
    }
    return spdlog::level::debug;
}

// How many bytes of a character in UTF-8 begin here; 0: none does.
std::size_t character(std::string_view text) {
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const std::size_t n = byte(0) < 0x80 ? 1 : byte(0) >= 0xC2 && byte(0) < 0xE0 ? 2 : byte(0) < 0xF0 ? 3 : 4;
    if (byte(0) >= 0x80 && (byte(0) < 0xC2 || byte(0) > 0xF4)) return 0;
    if (text.size() < n) return 0;
    for (std::size_t i = 1; i < n; ++i)
        if ((byte(i) & 0xC0) != 0x80) return 0;
    return n;
}

// What others sent may stand in a value: it must neither end the line nor pass for fields of its own.
std::string quoted(std::string_view text) {
    std::string out = "\"";
    while (!text.empty()) {
        const char c = text[0];
        const std::size_t n = character(text);
        if (c == '"' || c == '\\') out += {'\\', c};
        else if (c == '\n') out += "\\n";
        else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) out += fmt::format("\\u{:04x}", c);
        else if (n == 0) out += "\\ufffd";
        else out += text.substr(0, n);
        text.remove_prefix(std::max<std::size_t>(1, n));
    }
    return out + '"';
}

bool plain(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7f && c != '"' && c != '=' && c != '\\';
    });
}

}    // namespace

std::string_view name_of(Event event) { return kEvents[static_cast<std::size_t>(event)]; }

void set_log_level(LogLevel level) { current_level = level; }
LogLevel log_level() { return current_level; }

bool set_log_level(std::string_view name) {
    for (std::size_t i = 0; i < kNames.size(); ++i) {
        if (kNames[i] != name) continue;
        current_level = static_cast<LogLevel>(i);
        return true;
    }
    return false;
}

void set_log_form(LogForm form) {
    current_form = form;
    set_pattern(logger(), form);
}

void set_log_sink(std::function<void(LogLevel, std::string_view line)> sink) {
    current_sink = std::move(sink);
}

std::string log_line(LogForm form, Event event, std::initializer_list<LogField> fields) {
    return log_line(form, name_of(event), fields);
}

std::string log_line(LogForm form, std::string_view event, std::initializer_list<LogField> fields) {
    const bool json = form == LogForm::Json;
    std::string out = json ? fmt::format("\"event\":\"{}\"", event) : fmt::format("event={}", event);
    for (const LogField& f : fields) {
        if (json) out += fmt::format(",\"{}\":{}", f.name, quoted(f.value));
        else out += fmt::format(" {}={}", f.name, plain(f.value) ? f.value : quoted(f.value));
    }
    return out;
}

void write_log(LogLevel level, Event event, std::initializer_list<LogField> fields) {
    const std::string line = log_line(current_form, event, fields);
    if (current_sink) current_sink(level, line);
    else logger().log(level_of(level), line);
}

bool LogGate::open() {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_) return false;
    next_ = now + every_;
    return true;
}

}    // namespace shaletray
