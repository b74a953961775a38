// The program `gateway`: accepts clients and forwards their requests. SHALETRAY_BOOT or --settings names its
// settings file.
#include <Poco/Exception.h>

#include <cstdio>

#include "base/runtime/lifecycle.h"
#include "base/runtime/log_sink.h"
#include "gateway/gateway.h"

int main(int argc, char** argv) {
    using namespace shaletray;
    auto startup_result = runtime::parse_command_line(argc, argv, "gateway");
    if (const int* status = std::get_if<int>(&startup_result)) return *status;
    runtime::Startup startup = std::move(std::get<runtime::Startup>(startup_result));
    runtime::open_log(startup.settings.node_name);
    runtime::catch_signals();
    try {
        gateway::Gateway process(startup.settings);
        process.run(runtime::make_lifecycle_tick(
            startup,
            {[&] { process.stop(); }, [&](const auto& settings) { process.apply_settings(settings); },
             [&] { return process.counters_text(); }}));
        runtime::log_event(LogLevel::Info, "counters", {log_field("text", process.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "gateway: %s\n", error.displayText().c_str());
        return 1;
    }
}
