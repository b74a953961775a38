// The program `pilot`: takes clients. Its settings file is named by SHALETRAY_BOOT or --settings.
#include <Poco/Exception.h>

#include <cstdio>

#include "pilot/pilot.h"
#include "station/log_sink.h"
#include "station/loop.h"

int main(int argc, char** argv) {
    using namespace shaletray;
    auto begun = station::begin(argc, argv, "pilot");
    if (const int* status = std::get_if<int>(&begun)) return *status;
    station::Start start = std::move(std::get<station::Start>(begun));
    station::open_log(start.settings.node_name);
    station::catch_signals();
    try {
        pilot::Pilot pilot(start.settings);
        pilot.run(station::look_after(
            start, {[&] { pilot.stop(); }, [&](const auto& settings) { pilot.settings_changed(settings); },
                    [&] { return pilot.counters_text(); }}));
        station::event(LogLevel::Info, "counters", {kv("text", pilot.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "pilot: %s\n", error.displayText().c_str());
        return 1;
    }
}
