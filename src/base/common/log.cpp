#include "base/common/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>

namespace shaletray {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"error", "warning", "info", "debug"};
constexpr std::array<std::string_view, static_cast<std::size_t>(Event::kCount)> kEventNames = {
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
std::atomic<LogFormat> current_format{LogFormat::KeyValue};
std::function<void(LogLevel, std::string_view)> current_sink;

constexpr const char* kKeyValuePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

void set_pattern(spdlog::logger& logger, LogFormat log_format) {
    logger.set_pattern(log_format == LogFormat::Json ? kJsonPattern : kKeyValuePattern,
                       spdlog::pattern_time_type::utc);
}

spdlog::logger& logger() {
    static const std::shared_ptr<spdlog::logger> kInstance = [] {
        auto created =
            std::make_shared<spdlog::logger>("shaletray", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_level(spdlog::level::debug);    // filtered by log() already
        set_pattern(*created, current_format);
        return created;
    }();
    return *kInstance;
}

spdlog::level::level_enum to_spdlog_level(LogLevel level) {
    switch (level) {
        case LogLevel::Error: return spdlog::level::err;
        case LogLevel::Warning: return spdlog::level::warn;
        case LogLevel::Info: return spdlog::level::info;
        case LogLevel::Debug: break;
    }
    return spdlog::level::debug;
}

// Length in bytes of the UTF-8 character that begins here; 0 if the bytes are not valid.
std::size_t utf8_sequence_length(std::string_view text) {
    const auto byte_at = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    const std::size_t length = byte_at(0) < 0x80                         ? 1
                               : byte_at(0) >= 0xC2 && byte_at(0) < 0xE0 ? 2
                               : byte_at(0) < 0xF0                       ? 3
                                                                         : 4;
    if (byte_at(0) >= 0x80 && (byte_at(0) < 0xC2 || byte_at(0) > 0xF4)) return 0;
    if (text.size() < length) return 0;
    for (std::size_t index = 1; index < length; ++index)
        if ((byte_at(index) & 0xC0) != 0x80) return 0;
    return length;
}

// Values may contain input from peers: quoting keeps it from ending the line or adding fields.
std::string quote(std::string_view text) {
    std::string result = "\"";
    while (!text.empty()) {
        const char character = text[0];
        const std::size_t length = utf8_sequence_length(text);
        if (character == '"' || character == '\\') result += {'\\', character};
        else if (character == '\n') result += "\\n";
        else if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f)
            result += fmt::format("\\u{:04x}", character);
        else if (length == 0) result += "\\ufffd";
        else result += text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(1, length));
    }
    return result + '"';
}

bool needs_no_quotes(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character > 0x20 && character < 0x7f && character != '"' && character != '=' &&
               character != '\\';
    });
}

}    // namespace

std::string_view event_name(Event event) { return kEventNames[static_cast<std::size_t>(event)]; }

void set_log_level(LogLevel level) { current_level = level; }
LogLevel log_level() { return current_level; }

bool set_log_level(std::string_view name) {
    for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
        if (kLevelNames[index] != name) continue;
        current_level = static_cast<LogLevel>(index);
        return true;
    }
    return false;
}

void set_log_format(LogFormat format) {
    current_format = format;
    set_pattern(logger(), format);
}

void set_log_sink(std::function<void(LogLevel, std::string_view line)> sink) {
    current_sink = std::move(sink);
}

std::string format_log_line(LogFormat log_format, Event event, std::initializer_list<LogField> fields) {
    return format_log_line(log_format, event_name(event), fields);
}

std::string format_log_line(LogFormat log_format, std::string_view event,
                            std::initializer_list<LogField> fields) {
    const bool json = log_format == LogFormat::Json;
    std::string text = json ? fmt::format("\"event\":\"{}\"", event) : fmt::format("event={}", event);
    for (const LogField& field : fields) {
        if (json) text += fmt::format(",\"{}\":{}", field.name, quote(field.value));
        else
            text += fmt::format(" {}={}", field.name,
                                needs_no_quotes(field.value) ? field.value : quote(field.value));
    }
    return text;
}

void write_log(LogLevel level, Event event, std::initializer_list<LogField> fields) {
    const std::string line = format_log_line(current_format, event, fields);
    if (current_sink) current_sink(level, line);
    else logger().log(to_spdlog_level(level), line);
}

bool LogRateLimiter::try_acquire() {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_allowed_) return false;
    next_allowed_ = now + interval_;
    return true;
}

}    // namespace shaletray
