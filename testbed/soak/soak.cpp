// Soak: the entire system as real processes on loopback, under load from callers that keep their connections,
// while signals, restarts and configuration changes come in series and overlap. Exits with 1 if a tenant is
// starved, a rule is violated or a process ends by itself; the last line is JSON.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "gateway_fixture.h"
#include "soak/disk_probe.h"
#include "soak/soak_checks.h"
#include "soak/soak_plan.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

constexpr double kStartTimeout = 60.0;          // seconds, for hundreds of processes
constexpr double kBucketFillTime = 5.0;         // seconds in which the token buckets of new gateways fill
constexpr double kEventCheckInterval = 0.05;    // seconds between two checks for due events
// Seconds until a process is killed; longer than the grace period of 6 s.
constexpr double kStopTimeout = 8.0;
constexpr int kOperators = 2;
constexpr double kMinServedShare = 0.5;    // of what the quotas permit
constexpr double kMinRouteShare = 0.25;    // relative to the served share of all requests
constexpr double kMaxSyncTime = 1.0;       // seconds; below bounds.contact, after which quorums are lost

// Executes the events, and restarts the processes that they ended.
class EventExecutor {
public:
    EventExecutor(SystemFixture& fixture, std::vector<SoakEvent> events)
        : fixture_(fixture), events_(std::move(events)) {}

    // Executes all events that are due `now` seconds after the start of the load. Call it periodically.
    void advance_to(double now) {
        while (next_event_ < events_.size() && events_[next_event_].at <= now)
            begin_event(events_[next_event_++], now);
        for (auto it = pending_.begin(); it != pending_.end();) {
            it = finish_event(it->first, it->second, now) ? pending_.erase(it) : std::next(it);
        }
    }
    bool is_idle() const { return pending_.empty() && next_event_ == events_.size(); }
    std::size_t executed_events() const { return executed_events_; }

private:
    struct Pending {
        SoakEvent::Kind kind;
        double resume_at = 0.0;    // earliest time of the restart or SIGCONT
        double kill_at = 0.0;      // a process that still runs after SIGTERM is killed then
    };

    void begin_event(const SoakEvent& event, double now) {
        fmt::print("{:6.2f} s: {}\n", now, describe(event));
        if (event.kind == SoakEvent::Kind::ReplaceServer) return replace_server(event.service);
        if (pending_.contains(event.node)) {
            // The node is stopping or frozen: a second SIGTERM is sent, any other event is skipped.
            if (event.kind == SoakEvent::Kind::Stop) fixture_.signal_stop(event.node);
            return;
        }
        ++executed_events_;
        switch (event.kind) {
            case SoakEvent::Kind::Stop: fixture_.signal_stop(event.node); break;
            case SoakEvent::Kind::Kill: fixture_.kill_node(event.node); break;
            case SoakEvent::Kind::Freeze: fixture_.freeze_node(event.node); break;
            default: return fixture_.reload_settings(event.node);
        }
        pending_[event.node] = {event.kind, now + event.pause, now + kStopTimeout};
    }
    // Returns false if the event is still in progress.
    bool finish_event(const std::string& node, const Pending& pending, double now) {
        if (now < pending.resume_at) return false;
        if (pending.kind == SoakEvent::Kind::Freeze) {
            fixture_.unfreeze_node(node);
            return true;
        }
        if (fixture_.is_running(node)) {
            if (now < pending.kill_at) return false;
            fixture_.kill_node(node);
        }
        fixture_.start_node(node);
        return true;
    }
    void replace_server(const std::string& service) {
        const std::vector<std::size_t> servers = fixture_.live_servers_of(service);
        if (servers.empty()) return;
        ++executed_events_;
        fixture_.add_server(service);
        fixture_.drain_server(servers.front());
    }

    SystemFixture& fixture_;
    std::vector<SoakEvent> events_;
    std::size_t next_event_ = 0, executed_events_ = 0;
    std::map<std::string, Pending> pending_;    // by node
};

int report_failure(SystemFixture& fixture, const std::string& reason) {
    fmt::print("{}\n{}\n", reason, Json{{"error", reason}}.dump());
    fixture.stop_all();
    return 2;
}

// Returns an empty text once the system is ready for load, otherwise what failed.
std::string start_system(SystemFixture& fixture, const SystemPlan& plan) {
    fixture.start_all();
    for (const ServicePlan& service : plan.services)
        for (int i = 0; i < service.server_count; ++i) fixture.add_server(service.name);
    const SystemFixture::CommandResult result =
        fixture.replace_configuration(fixture.make_configuration(1), kStartTimeout);
    if (result.status_code != 200) return fmt::format("configuration r1 got status {}", result.status_code);
    if (!fixture.wait_servers_registered(kStartTimeout)) return "not every server is registered";
    if (!fixture.wait_ready(kStartTimeout)) return "not every gateway is ready";
    fixture.run_for(kBucketFillTime);
    return {};
}

void print_tenants(const std::vector<TenantResult>& results) {
    fmt::print("{:<10}{:>10}{:>8}{:>8}{:>10}{:>8}{:>8}\n", "tenant", "quota/s", "due", "served", "rejected",
               "failed", "share");
    for (const TenantResult& result : results)
        fmt::print("{:<10}{:>10.2f}{:>8}{:>8}{:>10}{:>8}{:>8.2f}\n", result.name, result.quota, result.due,
                   result.served, result.rejected, result.failed, result.served_share());
}

void run_load(SystemFixture& fixture, const SoakOptions& options, EventExecutor& executor) {
    const SystemClock clock;
    const TimePoint start = clock.now();
    if (!options.quiet) fixture.start_operators(kOperators);
    fixture.start_load();
    double now = 0.0;
    while (now < options.seconds || !executor.is_idle()) {
        executor.advance_to(now);
        fixture.run_for(kEventCheckInterval);
        now = secs(clock.now() - start);
    }
    fixture.stop_load();
    if (!options.quiet) fixture.stop_operators();
}

int run_soak(const SoakOptions& options, const std::string& program_directory) {
    install_signal_handlers();
    const SystemPlan plan = make_soak_system(options, program_directory);
    SystemFixture fixture(plan);
    const DiskProbe disk_probe(fixture.directory() / "probe");
    fmt::print("seed {}: {} gateways, {} controllers, {} tenants, {:.0f} s\n", options.seed, options.gateways,
               options.controllers, options.tenants, options.seconds);
    std::fflush(stdout);
    if (const std::string failure = start_system(fixture, plan); !failure.empty())
        return report_failure(fixture, failure);
    EventExecutor executor(fixture, draw_soak_events(options, fixture.node_names(), plan));
    run_load(fixture, options, executor);

    const ClientStatistics statistics = fixture.client_statistics();
    const std::vector<TenantResult> results = results_by_tenant(plan, statistics);
    const std::vector<TenantResult> starved = starved_tenants(results);
    const ClientStatistics::RouteCounters all = statistics.totals();
    const Json metrics = sum_metrics(fixture.status_pages("gateway", "/metrics"));
    std::string worst_tenant;
    const double excess = worst_quota_excess(plan, options, fixture.executions_by_tenant(), worst_tenant);
    const std::vector<std::string> ended = fixture.unexpectedly_ended();
    const SystemFixture::CommandResult read = fixture.read_configuration();
    print_tenants(results);

    Expectations expectations;
    const double longest_sync = disk_probe.longest_sync();
    expectations.expect(
        longest_sync <= kMaxSyncTime,
        fmt::format("a sync of the disk took {:.1f} s: the results are not conclusive", longest_sync));
    const double share = all.due == 0 ? 0.0 : static_cast<double>(all.served) / static_cast<double>(all.due);
    expectations.expect(share >= kMinServedShare * std::min(1.0, options.quota_headroom),
                        fmt::format("{:.3f} of all requests were served", share));
    for (const TenantResult& tenant : starved)
        expectations.expect(
            false, fmt::format("{} is starved: {} of {} served", tenant.name, tenant.served, tenant.due));
    expectations.expect(excess <= 0.0,
                        fmt::format("{} ran {:.1f} requests more than its quota", worst_tenant, excess));
    for (const std::string& node : ended) expectations.expect(false, node + " ended by itself");
    expectations.expect(read.status_code == 200,
                        fmt::format("reading the configuration got status {}", read.status_code));
    const SystemFixture::ShardStatistics shards = fixture.shard_statistics();
    expectations.expect(
        shards.double_owners == 0,
        fmt::format("{} requests began on a key that two servers held", shards.double_owners));
    // Sums of totals only: a gateway that submits a message twice has more submissions than heads.
    const double heads_read = metric_total(metrics, "gateway_request_heads_read_total");
    const double submitted = metric_total(metrics, "gateway_requests_submitted_total");
    expectations.expect(submitted <= heads_read,
                        fmt::format("{} requests were submitted, and {} heads read", submitted, heads_read));
    const std::string underserved_route = worst_route(plan, statistics, kMinRouteShare);
    expectations.expect(underserved_route.empty(), underserved_route);
    expectations.expect_rules_kept(to_json(fixture.violations()));
    Json report = {{"seed", options.seed},           {"due", all.due},
                   {"served", all.served},           {"rejected", all.rejected},
                   {"failed", all.failed},           {"share", share},
                   {"starved", starved.size()},      {"quota_excess", excess},
                   {"longest_sync_s", longest_sync}, {"events", executor.executed_events()},
                   {"attempts", Json::object()},     {"gateways", metrics},
                   {"shards_begun", shards.begun},   {"shards_refused", shards.refused}};
    for (const auto& [status, count] : statistics.attempts_by_status)
        report["attempts"][std::to_string(status)] = count;
    fixture.stop_all();
    return expectations.print_report(report);
}

}    // namespace
}    // namespace shaletray::testbed

int main(int argc, char** argv) {
    using namespace shaletray::testbed;
    SoakOptions options;
    CLI::App app(
        "Runs the entire system as processes on loopback, and checks the responses that its callers "
        "received.");
    app.add_option("--seed", options.seed, "seed of all random draws");
    app.add_option("--seconds", options.seconds, "duration of the load")->check(CLI::Range(5.0, 3600.0));
    app.add_option("--gateways", options.gateways, "machines with a gateway")->check(CLI::Range(1, 400));
    app.add_option("--controllers", options.controllers,
                   "machines with a controller and a disk; two more have a controller alone")
        ->check(CLI::Range(1, 9));
    app.add_option("--tenants", options.tenants, "tenants with callers")->check(CLI::Range(1, 1000));
    app.add_option("--rate", options.requests_per_gateway, "requests a second for each gateway")
        ->check(CLI::Range(0.01, 100.0));
    app.add_option("--headroom", options.quota_headroom, "quota divided by what the callers send")
        ->check(CLI::Range(0.1, 100.0));
    app.add_option("--quota-slack", options.quota_slack, "units on top of each quota")
        ->check(CLI::Range(0.0, 1000.0));
    app.add_option("--uploads", options.uploads_per_gateway,
                   "requests with bodies of 70 KB to 1.5 MB, a second for each gateway, beside a tenant past "
                   "its quota")
        ->check(CLI::Range(0.0, 20.0));
    app.add_option("--memory-mb", options.memory_mb, "limits.memory_mb of the system's programs")
        ->check(CLI::Range(1.0, 4096.0));
    app.add_option("--log-level", options.log_level, "log level of the system's programs")
        ->check(CLI::IsMember({"error", "warning", "info", "debug"}));
    app.add_flag("--quiet", options.quiet, "no signals, restarts and changes");
    CLI11_PARSE(app, argc, argv);
    try {
        return run_soak(options, std::filesystem::absolute(argv[0]).parent_path().string());
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
