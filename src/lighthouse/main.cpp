// The program `lighthouse`: keeps the configuration and the list of servers. Its settings file is named by
// SHALETRAY_BOOT or --settings.
#include <Poco/Exception.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "lighthouse/lighthouse.h"
#include "station/log_sink.h"
#include "station/loop.h"

namespace {

using namespace std::chrono_literals;
using namespace shaletray;

// A founder is one of those that the first start of the whole system names.
bool is_founder(const station::NodeSettings& s) {
    return s.bootstrap && std::find(s.seeds.begin(), s.seeds.end(), s.control) != s.seeds.end();
}

// A disk in trouble may be well again: the program waits for it.
std::unique_ptr<lamp::Store> open_store(const station::NodeSettings& s) {
    if (s.data_directory.empty()) return lamp::Store::in_memory(is_founder(s));
    while (!station::stop_was_asked()) {
        auto store = boost::leaf::try_handle_all(
            [&]() { return lamp::Store::open(s.data_directory + "/lamp", is_founder(s)); },
            [&](const lamp::DiskTrouble& trouble) {
                static LogGate gate(1s);
                if (gate.open()) station::event(LogLevel::Warning, "disk_trouble", {kv("why", trouble.why)});
                return std::unique_ptr<lamp::Store>();
            },
            [] { return std::unique_ptr<lamp::Store>(); });
        if (store) return store;
        std::this_thread::sleep_for(100ms);
    }
    return nullptr;
}

}    // namespace

int main(int argc, char** argv) {
    auto begun = station::begin(argc, argv, "lighthouse");
    if (const int* status = std::get_if<int>(&begun)) return *status;
    station::Start start = std::move(std::get<station::Start>(begun));
    station::open_log(start.settings.node_name);
    station::catch_signals();
    std::unique_ptr<lamp::Store> store = open_store(start.settings);
    if (!store) return 0;
    try {
        lighthouse::Lighthouse lighthouse(start.settings, std::move(store));
        lighthouse.run(station::look_after(
            start,
            {[&] { lighthouse.stop(); }, [&](const auto& settings) { lighthouse.settings_changed(settings); },
             [&] { return lighthouse.counters_text(); }}));
        station::event(LogLevel::Info, "counters", {kv("text", lighthouse.counters_text())});
        return 0;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "lighthouse: %s\n", error.displayText().c_str());
        return 1;
    }
}
