#include "core/log.h"

#include <array>
#include <cstdio>

namespace shaletray {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"error", "warning", "info", "debug"};
LogLevel current_level = LogLevel::Info;

}    // namespace

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

void write_log(LogLevel level, std::string_view text) {
    fmt::print(stderr, "shaletray {}: {}\n", kNames[static_cast<std::size_t>(level)], text);
}

bool LogGate::open() {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_) return false;
    next_ = now + every_;
    return true;
}

}    // namespace shaletray
