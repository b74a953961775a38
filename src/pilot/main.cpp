// The program `pilot`: takes clients. Its settings file is named by SHALETRAY_BOOT or --settings.
#include <Poco/Exception.h>

#include <csignal>
#include <cstdio>

#include "pilot/pilot.h"
#include "station/command_line.h"
#include "station/log_sink.h"

namespace {

using namespace std::chrono_literals;
using namespace shaletray;

volatile std::sig_atomic_t stop_asked = 0, look_asked = 0;
void on_signal(int number) { (number == SIGHUP ? look_asked : stop_asked) = 1; }

constexpr auto kLookEvery = 2s;    // the settings file may change without a signal
constexpr auto kTellEvery = 10s;

}    // namespace

int main(int argc, char** argv) {
    auto begun = station::begin(argc, argv, "pilot");
    if (const int* status = std::get_if<int>(&begun)) return *status;
    station::Start start = std::move(std::get<station::Start>(begun));
    station::open_log(start.settings.node_name);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        pilot::Pilot pilot(start.settings);
        auto next_look = std::chrono::steady_clock::now() + kLookEvery, next_tell = next_look + kTellEvery;
        pilot.run([&] {
            if (stop_asked != 0) pilot.stop();
            const auto now = std::chrono::steady_clock::now();
            if (look_asked == 0 && now < next_look) return;
            look_asked = 0;
            next_look = now + kLookEvery;
            if (now >= next_tell) {
                next_tell = now + kTellEvery;
                station::event(LogLevel::Debug, "counters", {kv("text", pilot.counters_text())});
            }
            if (auto changed = station::reread(start)) pilot.settings_changed(*changed);
        });
        station::event(LogLevel::Info, "counters", {kv("text", pilot.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "pilot: %s\n", error.displayText().c_str());
        return 1;
    }
}
