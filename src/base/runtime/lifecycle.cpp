#include "base/runtime/lifecycle.h"

#include <csignal>

#include "base/runtime/log_sink.h"

namespace shaletray::runtime {
namespace {

using namespace std::chrono_literals;

volatile std::sig_atomic_t stop_asked = 0, look_asked = 0;
void on_signal(int number) { (number == SIGHUP ? look_asked : stop_asked) = 1; }

constexpr auto kLookEvery = 2s, kTellEvery = 10s;

}    // namespace

void catch_signals() {
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stop_was_asked() { return stop_asked != 0; }

std::function<void()> look_after(Start& start, Loop loop) {
    const auto begun = std::chrono::steady_clock::now();
    return [&start, loop = std::move(loop), next_look = begun + kLookEvery,
            next_tell = begun + kTellEvery]() mutable {
        if (stop_asked != 0) loop.stop();
        const auto now = std::chrono::steady_clock::now();
        if (now >= next_tell) {
            next_tell = now + kTellEvery;
            event(LogLevel::Debug, "counters", {kv("text", loop.counters())});
        }
        if (look_asked == 0 && now < next_look) return;
        look_asked = 0;
        next_look = now + kLookEvery;
        if (const auto changed = reread(start)) loop.settings_changed(*changed);
    };
}

}    // namespace shaletray::runtime
