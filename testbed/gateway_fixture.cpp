#include "gateway_fixture.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace shaletray::testbed {

using Json = nlohmann::json;

double environment_number(const char* name, double fallback, double least, double most) {
    const char* const text = std::getenv(name);
    if (text == nullptr || *text == '\0') return fallback;
    char* end = nullptr;
    const double value = std::strtod(text, &end);
    if (*end != '\0' || !(value >= least && value <= most))
        throw std::runtime_error(fmt::format("{} must be a number of {} to {}", name, least, most));
    return value;
}

int experiment_main(char** argv, double seconds,
                    const std::function<int(std::string, std::uint64_t, double)>& run) {
    try {
        signal(SIGPIPE, SIG_IGN);
        const auto seed = static_cast<std::uint64_t>(environment_number("SEED", 1, 0, 1e9));
        return run(std::filesystem::absolute(argv[0]).parent_path().string(), seed,
                   environment_number("SECONDS_PER_PHASE", seconds, 2, 600));
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}

int Bounds::report(Json& out) const {
    for (const std::string& what : broken_) fmt::print("BROKEN: {}\n", what);
    out["broken"] = broken_;
    fmt::print("{}\n", out.dump());
    return broken_.empty() ? 0 : 1;
}

Rig::Rig(RigSettings settings, Workers::Seen seen)
    : Ground(fmt::format("{}-{}", settings.name, settings.seed)), s_(std::move(settings)) {
    workers_ =
        std::make_unique<Workers>(reactor_, s_.workers, std::chrono::milliseconds(20), std::move(seen));
    gateways_.resize(static_cast<std::size_t>(s_.gateways));
    lives_.resize(gateways_.size());
}

Rig::~Rig() {
    stop_thread();
    callers_.clear();
}

void Rig::start_gateway(int g, const std::string& cue) {
    const int port = free_port();
    Json settings = {{"me", g},
                     {"replicasOfMe", s_.gateways},
                     {"zone", 0},
                     {"zones", {"room-a"}},
                     {"kinds", {"std-2core"}},
                     {"membershipMode", "push"},
                     {"loadInfo", {{"via", "off"}}},
                     {"specifics", {{"mailPerS", 40}, {"mostUnits", s_.most_units}}},
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
    for (const RigPlan& p : s_.plans) {
        Json plan = {{"name", p.name}, {"unitsPerS", p.rate}, {"peakUnits", p.burst}, {"pays", 1.0}};
        if (p.ceiling_rate > 0.0)
            plan.update({{"ceilingRate", p.ceiling_rate},
                         {"hardBurst", p.ceiling_burst},
                         {"hardSlack", p.ceiling_slack}});
        settings["tiersOfService"].push_back(plan);
    }
    const Json config = {{"name", fmt::format("n{}", g)},
                         {"listen", fmt::format("127.0.0.1:{}", port)},
                         {"discovery", workers_->discovery()},
                         {"seed", fmt::format("{:x}", s_.seed + 17)},
                         {"limits", {{"memory_mb", 192}, {"sockets", 512}}},
                         {"known", Json::parse(workers_->list())},
                         {"settings", settings}};
    const auto path = folder_ / fmt::format("n{}.json", g);
    std::ofstream(path) << config;
    std::map<std::string, std::string> environment = gateway_environment(path.string());
    if (!cue.empty()) {
        const auto file = folder_ / fmt::format("n{}.cue", g);
        std::ofstream(file) << cue;
        environment["SHALETRAY_SETTINGS"] = file.string();
    }
    gateways_[static_cast<std::size_t>(g)] =
        std::make_unique<Process>(std::vector<std::string>{s_.programs + "/shaletray"}, environment,
                                  (folder_ / fmt::format("n{}.{}.log", g, ++starts_)).string());
    callers_[g] = nullptr;
    try_caller(g, fmt::format("127.0.0.1:{}", port), ++lives_[static_cast<std::size_t>(g)]);
}

void Rig::try_caller(int g, const std::string& address, int life) {
    if (life != lives_[static_cast<std::size_t>(g)]) return;    // it was started anew meanwhile
    auto caller = std::make_shared<Caller>(reactor_, address);
    caller->ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
                [this, g, address, caller, life](int status, Duration) {
                    after(0.0, [caller] {});    // it may end here, and is still on the call stack
                    if (status == 200 && life == lives_[static_cast<std::size_t>(g)]) callers_[g] = caller;
                    else after(0.03, [this, g, address, life] { try_caller(g, address, life); });
                });
}

bool Rig::all_ready() {
    int there = 0;
    for (const auto& [g, caller] : callers_) there += caller != nullptr;
    return there == s_.gateways;
}

double Rig::cpu() const {
    double all = 0.0;
    for (const auto& g : gateways_) all += g ? g->cpu() : 0.0;
    return all;
}

}    // namespace shaletray::testbed
