// The program `pilot`: takes clients. Its settings file is named by SHALETRAY_BOOT or --settings.
#include <Poco/Exception.h>

#include <cstdio>

#include "base/runtime/lifecycle.h"
#include "base/runtime/log_sink.h"
#include "gateway/gateway.h"

int main(int argc, char** argv) {
    using namespace shaletray;
    auto begun = runtime::begin(argc, argv, "gateway");
    if (const int* status = std::get_if<int>(&begun)) return *status;
    runtime::Start start = std::move(std::get<runtime::Start>(begun));
    runtime::open_log(start.settings.node_name);
    runtime::catch_signals();
    try {
        gateway::Pilot pilot(start.settings);
        pilot.run(runtime::look_after(
            start, {[&] { pilot.stop(); }, [&](const auto& settings) { pilot.settings_changed(settings); },
                    [&] { return pilot.counters_text(); }}));
        runtime::event(LogLevel::Info, "counters", {kv("text", pilot.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "pilot: %s\n", error.displayText().c_str());
        return 1;
    }
}
