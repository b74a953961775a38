// The program `lighthouse`: keeps the configuration and the list of servers. Its settings file is named by
// SHALETRAY_BOOT or --settings.
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

// A founder is one of those that the first start of the whole system names.
bool is_founder(const runtime::NodeSettings& s) {
    return s.bootstrap && std::find(s.seeds.begin(), s.seeds.end(), s.control) != s.seeds.end();
}

// A disk in trouble may be well again: the program waits for it.
std::unique_ptr<consensus::Store> open_store(const runtime::NodeSettings& s) {
    if (s.data_directory.empty()) return consensus::Store::in_memory(is_founder(s));
    while (!runtime::stop_was_asked()) {
        auto store = boost::leaf::try_handle_all(
            [&]() { return consensus::Store::open(s.data_directory + "/lamp", is_founder(s)); },
            [&](const consensus::DiskTrouble& trouble) {
                static LogGate gate(1s);
                if (gate.open()) runtime::event(LogLevel::Warning, "disk_trouble", {kv("why", trouble.why)});
                return std::unique_ptr<consensus::Store>();
            },
            [] { return std::unique_ptr<consensus::Store>(); });
        if (store) return store;
        std::this_thread::sleep_for(100ms);
    }
    return nullptr;
}

}    // namespace

int main(int argc, char** argv) {
    auto begun = runtime::begin(argc, argv, "controller");
    if (const int* status = std::get_if<int>(&begun)) return *status;
    runtime::Start start = std::move(std::get<runtime::Start>(begun));
    runtime::open_log(start.settings.node_name);
    runtime::catch_signals();
    std::unique_ptr<consensus::Store> store = open_store(start.settings);
    if (!store) return 0;
    try {
        controller::Lighthouse lighthouse(start.settings, std::move(store));
        lighthouse.run(runtime::look_after(
            start,
            {[&] { lighthouse.stop(); }, [&](const auto& settings) { lighthouse.settings_changed(settings); },
             [&] { return lighthouse.counters_text(); }}));
        runtime::event(LogLevel::Info, "counters", {kv("text", lighthouse.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "lighthouse: %s\n", error.displayText().c_str());
        return 1;
    }
}
