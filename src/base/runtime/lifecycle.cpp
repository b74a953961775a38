#include "base/runtime/lifecycle.h"

#include <csignal>

#include "base/runtime/log_sink.h"

namespace shaletray::runtime {
namespace {

using namespace std::chrono_literals;

// Set by the signal handler, which may do nothing else.
volatile std::sig_atomic_t stop_requested = 0, reload_requested = 0;

void on_signal(int signal_number) { (signal_number == SIGHUP ? reload_requested : stop_requested) = 1; }

constexpr auto kReloadInterval = 2s;
constexpr auto kCountersInterval = 10s;

}    // namespace

void catch_signals() {
    for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) std::signal(signal_number, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool is_stop_requested() { return stop_requested != 0; }

std::function<void()> make_lifecycle_tick(Startup& startup, LifecycleHooks hooks) {
    const auto started_at = std::chrono::steady_clock::now();
    return [&startup, hooks = std::move(hooks), next_reload = started_at + kReloadInterval,
            next_counters_log = started_at + kCountersInterval]() mutable {
        if (stop_requested != 0) hooks.on_stop();
        const auto now = std::chrono::steady_clock::now();
        if (now >= next_counters_log) {
            next_counters_log = now + kCountersInterval;
            log_event(LogLevel::Debug, "counters", {log_field("text", hooks.describe_counters())});
        }
        if (reload_requested == 0 && now < next_reload) return;
        reload_requested = 0;
        next_reload = now + kReloadInterval;
        if (const auto changed = reload_settings(startup)) hooks.on_settings_changed(*changed);
    };
}

}    // namespace shaletray::runtime
