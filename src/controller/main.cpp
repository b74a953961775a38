// The program `controller`, which stores the configuration and the registry of servers. Its settings file is
// given by SHALETRAY_BOOT or --settings.
#include <Poco/Exception.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "base/runtime/lifecycle.h"
#include "base/runtime/log_sink.h"
#include "controller/controller.h"

namespace {

using namespace std::chrono_literals;
using namespace shaletray;

// Name of the store below the data directory. It must not change: existing stores are found by it.
constexpr const char* kStoreFolder = "/lamp";
constexpr auto kReopenInterval = 100ms;    // also bounds the delay of a stop request meanwhile

// The first voters are the controllers that the settings of the cluster's first start list as seeds.
bool is_founder(const runtime::NodeSettings& settings) {
    return settings.bootstrap && std::find(settings.seed_addresses.begin(), settings.seed_addresses.end(),
                                           settings.control_address) != settings.seed_addresses.end();
}

// Retries while the disk is unusable, as it may recover. Returns null if a stop was requested meanwhile.
std::unique_ptr<consensus::StateStore> open_store(const runtime::NodeSettings& settings) {
    if (settings.data_directory.empty()) return consensus::StateStore::in_memory(is_founder(settings));
    while (!runtime::is_stop_requested()) {
        auto store = boost::leaf::try_handle_all(
            [&]() {
                return consensus::StateStore::open(settings.data_directory + kStoreFolder,
                                                   is_founder(settings));
            },
            [&](const consensus::StorageError& error) {
                static LogRateLimiter log_limiter(1s);
                if (log_limiter.try_acquire())
                    runtime::log_event(LogLevel::Warning, "storage_error",
                                       {log_field("reason", error.reason)});
                return std::unique_ptr<consensus::StateStore>();
            },
            [] { return std::unique_ptr<consensus::StateStore>(); });
        if (store) return store;
        std::this_thread::sleep_for(kReopenInterval);
    }
    return nullptr;
}

}    // namespace

int main(int argc, char** argv) {
    auto startup_result = runtime::parse_command_line(argc, argv, "controller");
    if (const int* status = std::get_if<int>(&startup_result)) return *status;
    runtime::Startup startup = std::move(std::get<runtime::Startup>(startup_result));
    runtime::open_log(startup.settings.node_name);
    runtime::catch_signals();
    std::unique_ptr<consensus::StateStore> store = open_store(startup.settings);
    if (!store) return 0;
    try {
        controller::Controller node(startup.settings, std::move(store));
        node.run(runtime::make_lifecycle_tick(
            startup, {[&] { node.stop(); }, [&](const auto& settings) { node.reload_settings(settings); },
                      [&] { return node.counters_text(); }}));
        runtime::log_event(LogLevel::Info, "counters", {log_field("text", node.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "controller: %s\n", error.displayText().c_str());
        return 1;
    }
}
