#include "gateway_fixture.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace shaletray::testbed {

using Json = nlohmann::json;

double number_from_environment(const char* name, double fallback, double min_value, double max_value) {
    const char* const text = std::getenv(name);
    if (text == nullptr || *text == '\0') return fallback;
    char* end = nullptr;
    const double value = std::strtod(text, &end);
    if (*end != '\0' || !(value >= min_value && value <= max_value))
        throw std::runtime_error(fmt::format("{} must be a number of {} to {}", name, min_value, max_value));
    return value;
}

int experiment_main(char** argv, double seconds,
                    const std::function<int(std::string, std::uint64_t, double)>& run) {
    try {
        signal(SIGPIPE, SIG_IGN);
        const auto seed = static_cast<std::uint64_t>(number_from_environment("SEED", 1, 0, 1e9));
        return run(std::filesystem::absolute(argv[0]).parent_path().string(), seed,
                   number_from_environment("SECONDS_PER_PHASE", seconds, 2, 600));
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}

void Expectations::expect_rules_kept(const nlohmann::json& broken_by_rule) {
    for (const auto& [rule, count] : broken_by_rule.items())
        expect(count == 0, fmt::format("{}: {}", rule, count.get<std::uint64_t>()));
}

int Expectations::print_report(Json& report_json) const {
    for (const std::string& what : violations_) fmt::print("BROKEN: {}\n", what);
    report_json["broken"] = violations_;
    fmt::print("{}\n", report_json.dump());
    return violations_.empty() ? 0 : 1;
}

GatewayFixture::GatewayFixture(FixtureSettings settings, StandInWorkers::RequestObserver on_request)
    : ExperimentHost(fmt::format("{}-{}", settings.name, settings.seed)), settings_(std::move(settings)) {
    workers_ = std::make_unique<StandInWorkers>(reactor_, settings_.worker_count,
                                                std::chrono::milliseconds(20), std::move(on_request));
    gateways_.resize(static_cast<std::size_t>(settings_.gateway_count));
    incarnations_.resize(gateways_.size());
}

GatewayFixture::~GatewayFixture() {
    stop_thread();
    load_clients_.clear();
}

void GatewayFixture::start_gateway(int gateway_index, const std::string& operator_file) {
    const int port = find_free_port();
    Json settings = {{"me", gateway_index},
                     {"replicasOfMe", settings_.gateway_count},
                     {"zone", 0},
                     {"zones", {"room-a"}},
                     {"kinds", {"std-2core"}},
                     {"membershipMode", "push"},
                     {"loadInfo", {{"via", "off"}}},
                     {"specifics", {{"mailPerS", 40}, {"mostUnits", settings_.max_request_units}}},
                     {"limits",
                      {{"sendCap", 3},
                       {"maxOpen", 5000},
                       {"mayCancel", true},
                       {"mayProbe", true},
                       {"mayTell", false},
                       {"retryAfter", true},
                       {"maxRetryAfter", 1000000},
                       {"dialTimeout", 250000},
                       {"connIdle", 15000000}}},
                     {"rules",
                      {{"answerSlack", 8000},
                       {"cold", 1000000},
                       {"drainGrace", 250000},
                       {"fall", 1500000},
                       {"fallMultiple", 4.0},
                       {"startCapacity", 0.5}}},
                     {"classes",
                      {{{"name", "claim-read"},
                        {"idempotency", "safe"},
                        {"slo", 750000},
                        {"hardLimit", 2000000},
                        {"gain", 2}}}}};
    for (const FixturePlan& p : settings_.plans) {
        Json plan = {{"name", p.name}, {"unitsPerS", p.rate}, {"peakUnits", p.burst}, {"pays", 1.0}};
        if (p.rate_limit > 0.0)
            plan.update({{"ceilingRate", p.rate_limit},
                         {"hardBurst", p.rate_limit_burst},
                         {"hardSlack", p.rate_limit_slack}});
        settings["tiersOfService"].push_back(plan);
    }
    const Json config = {{"name", fmt::format("n{}", gateway_index)},
                         {"listen", fmt::format("127.0.0.1:{}", port)},
                         {"discovery", workers_->discovery_address()},
                         {"seed", fmt::format("{:x}", settings_.seed + 17)},
                         {"limits", {{"memory_mb", 192}, {"sockets", 512}}},
                         {"known", Json::parse(workers_->host_list())},
                         {"settings", settings}};
    const auto path = directory_ / fmt::format("n{}.json", gateway_index);
    std::ofstream(path) << config;
    std::map<std::string, std::string> environment = gateway_environment(path.string());
    if (!operator_file.empty()) {
        const auto file = directory_ / fmt::format("n{}.cue", gateway_index);
        std::ofstream(file) << operator_file;
        environment["SHALETRAY_SETTINGS"] = file.string();
    }
    gateways_[static_cast<std::size_t>(gateway_index)] = std::make_unique<Process>(
        std::vector<std::string>{settings_.program_directory + "/shaletray"}, environment,
        (directory_ / fmt::format("n{}.{}.log", gateway_index, ++start_count_)).string());
    load_clients_[gateway_index] = nullptr;
    connect_load_client(gateway_index, fmt::format("127.0.0.1:{}", port),
                        ++incarnations_[static_cast<std::size_t>(gateway_index)]);
}

void GatewayFixture::connect_load_client(int gateway_index, const std::string& address, int incarnation) {
    if (incarnation != incarnations_[static_cast<std::size_t>(gateway_index)])
        return;    // it was started anew meanwhile
    auto caller = std::make_shared<HttpLoadClient>(reactor_, address);
    caller->send_request(
        "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
        [this, gateway_index, address, caller, incarnation](int status, Duration) {
            schedule_after(0.0, [caller] {});    // it may end here, and is still on the call stack
            if (status == 200 && incarnation == incarnations_[static_cast<std::size_t>(gateway_index)])
                load_clients_[gateway_index] = caller;
            else
                schedule_after(0.03, [this, gateway_index, address, incarnation] {
                    connect_load_client(gateway_index, address, incarnation);
                });
        });
}

bool GatewayFixture::all_ready() {
    int there = 0;
    for (const auto& [g, caller] : load_clients_) there += caller != nullptr;
    return there == settings_.gateway_count;
}

double GatewayFixture::gateway_cpu_seconds() const {
    double all = 0.0;
    for (const auto& g : gateways_) all += g ? g->cpu_seconds() : 0.0;
    return all;
}

}    // namespace shaletray::testbed
