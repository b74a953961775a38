#include "soak/soak_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> kZones = {"north", "south", "west", "east", "middle"};
// Most tenants are small: the tenant of rank n sends 1/n^0.9 times the load of the first.
constexpr double kTenantSizeExponent = 0.9;
constexpr int kCallersPerGateway = 4, kMinCallersPerTenant = 3;
// The load for which servers are provided; each executes only a limited number of requests at a time.
constexpr double kRequestsPerServer = 60.0;
constexpr int kMinServersPerService = 4;
// They may not vote, and redirect the calls of operators and servers.
constexpr int kControllersWithoutDisk = 2;
constexpr std::size_t kBodySize = 200;    // bytes, of non-idempotent requests
// Long bodies, from those that a gateway can read ahead to those that fill all buffers on the way.
constexpr std::size_t kMinUploadSize = 70'000, kMaxUploadSize = 1'500'000;    // bytes
constexpr double kEarlyAnswerShare = 0.15;                                    // of uploads, by their servers
// One tenant sends far more than its quota while there are uploads: parts of the load and of what it sends.
constexpr double kGreedyWeight = 0.25, kGreedyQuotaShare = 0.4;
// Interval and first start of the series of events, in seconds, and the maximum number of events in a series.
constexpr double kSeriesInterval = 4.0, kFirstSeriesStart = 2.0;
constexpr int kMaxSeriesLength = 6;
// Seconds without new events at the end, within which a correct system serves all requests again.
constexpr double kQuietEndTime = 8.0;

double total_request_rate(const SoakOptions& options) {
    return (options.requests_per_gateway + options.uploads_per_gateway) * options.gateways;
}

void add_tenants(const SoakOptions& options, SystemPlan& plan) {
    const double total_rate = total_request_rate(options);
    double total_weight = 0.0;
    for (int t = 0; t < options.tenants; ++t) total_weight += std::pow(t + 1, -kTenantSizeExponent);
    for (int t = 0; t < options.tenants; ++t) {
        const double weight = std::pow(t + 1, -kTenantSizeExponent);
        const double quota = total_rate * weight / total_weight * options.quota_headroom;
        plan.tenants.push_back({fmt::format("tenant{}", t), fmt::format("key{}x{:x}", t, options.seed + 4711),
                                weight, quota, quota, 1});
    }
    if (options.uploads_per_gateway > 0.0) {
        const double weight = total_weight * kGreedyWeight / (1.0 - kGreedyWeight);
        const double quota = total_rate * kGreedyWeight * kGreedyQuotaShare;
        plan.tenants.push_back(
            {"greedy", fmt::format("keyg{:x}", options.seed + 4711), weight, quota, quota, 1});
    }
    plan.tenants.push_back({"operators", fmt::format("keyx{:x}", options.seed + 4711), 0.0, 1.0, 1.0, 1});
}

void add_callers(const SoakOptions& options, std::mt19937_64& random, SystemPlan& plan) {
    std::uniform_real_distribution<double> draw;
    const auto add_caller = [&](std::size_t tenant) {
        plan.callers.push_back({tenant, kZones[random() % kZones.size()], draw(random)});
    };
    std::vector<double> weights;
    for (std::size_t tenant = 0; tenant + 1 < plan.tenants.size(); ++tenant) {    // not the operators
        weights.push_back(plan.tenants[tenant].weight);
        for (int i = 0; i < kMinCallersPerTenant; ++i) add_caller(tenant);
    }
    std::discrete_distribution<std::size_t> by_weight(weights.begin(), weights.end());
    const std::size_t caller_count =
        static_cast<std::size_t>(options.gateways) * static_cast<std::size_t>(kCallersPerGateway);
    while (plan.callers.size() < caller_count) add_caller(by_weight(random));
}

}    // namespace

std::string describe(const SoakEvent& event) {
    switch (event.kind) {
        case SoakEvent::Kind::Stop: return "SIGTERM to " + event.node;
        case SoakEvent::Kind::Kill: return "SIGKILL to " + event.node;
        case SoakEvent::Kind::Reload: return "SIGHUP to " + event.node;
        case SoakEvent::Kind::Freeze: return fmt::format("{} frozen for {:.2f} s", event.node, event.pause);
        case SoakEvent::Kind::ReplaceServer: return "a server of " + event.service + " replaced";
    }
    return {};
}

SystemPlan make_soak_system(const SoakOptions& options, const std::string& program_directory) {
    SystemPlan plan;
    plan.name = "soak";
    plan.program_directory = program_directory;
    plan.seed = options.seed;
    plan.new_connection_fraction = 0.0;
    plan.log_level = options.log_level;
    plan.extra_settings["limits.memory_mb"] = fmt::format("{}", options.memory_mb);
    plan.extra_settings["bounds.quota_slack"] = fmt::format("{}", options.quota_slack);
    for (int m = 0; m < options.gateways; ++m) {
        const bool has_disk = m < options.controllers;
        const bool has_controller = m < options.controllers + kControllersWithoutDisk;
        plan.machines.push_back(
            {kZones[static_cast<std::size_t>(m) % kZones.size()], true, has_controller, has_disk});
    }
    const double total_rate = options.requests_per_gateway * options.gateways;
    const int server_count =
        std::max(kMinServersPerService, static_cast<int>(std::ceil(total_rate / 2.0 / kRequestsPerServer)));
    // "ledgers" is sharded. This guards against the incident "keys without an owner": the system granted no
    // shard keys, so the servers of a sharded service rejected every request with 421 from the first second
    // (65,286 requests, while no other server rejected one), also those of routes that a configuration change
    // had moved to or added for this service.
    plan.services = {{"lookups", server_count, 6, 1900, 40ms},
                     {"trades", server_count, 6, 1900, 60ms},
                     {"ledgers", server_count, 6, 1900, 40ms, true}};
    plan.routes = {make_route("read", "lookups", true, total_rate * 0.35, 500ms, 1200ms, 0),
                   make_route("consult", "ledgers", true, total_rate * 0.15, 500ms, 1200ms, 0),
                   make_route("book", "ledgers", false, total_rate * 0.1, 500ms, 1200ms, kBodySize),
                   make_route("trade", "trades", false, total_rate * 0.25, 600ms, 1500ms, kBodySize),
                   make_route("save", "trades", false, total_rate * 0.15, 300ms, 800ms, kBodySize)};
    if (options.uploads_per_gateway > 0.0) {
        const double rate = options.uploads_per_gateway * options.gateways;
        plan.services.push_back({"archives", kMinServersPerService, 6, 1900, 60ms, false, kEarlyAnswerShare});
        RoutePlan upload = make_route("upload", "archives", false, rate, 1000ms, 2500ms, kMinUploadSize);
        upload.max_body_size = kMaxUploadSize;
        plan.routes.push_back(upload);
    }
    std::mt19937_64 random(options.seed);
    add_tenants(options, plan);
    add_callers(options, random, plan);
    return plan;
}

std::vector<SoakEvent> draw_soak_events(const SoakOptions& options, const std::vector<std::string>& nodes,
                                        const SystemPlan& plan) {
    std::vector<SoakEvent> events;
    if (options.quiet) return events;
    std::mt19937_64 random(options.seed ^ 0x50a4);
    std::uniform_real_distribution<double> draw;
    for (double start = kFirstSeriesStart; start < options.seconds - kQuietEndTime;
         start += kSeriesInterval) {
        const auto kind = static_cast<SoakEvent::Kind>(random() % 5);
        const auto length = 1 + random() % kMaxSeriesLength;
        // Sometimes all events coincide; otherwise the gaps are so short that successive events overlap.
        const double gap = random() % 3 == 0 ? 0.0 : 0.2 + draw(random);
        for (std::size_t i = 0; i < length; ++i) {
            SoakEvent event;
            event.kind = kind;
            event.at = start + gap * static_cast<double>(i);
            event.node = nodes[random() % nodes.size()];
            event.service = plan.services[random() % plan.services.size()].name;
            event.pause = 0.2 + 2.0 * draw(random);
            events.push_back(event);
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
    return events;
}

}    // namespace shaletray::testbed
