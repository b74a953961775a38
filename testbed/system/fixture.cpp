#include "system/fixture.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <stdexcept>

#include "system/fixture_constants.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

std::atomic<bool> stop_requested{false};

}    // namespace

void install_signal_handlers() {
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGINT, SIGTERM}) std::signal(number, [](int) { stop_requested = true; });
}

SystemFixture::SystemFixture(SystemPlan plan)
    : ExperimentHost(fmt::format("{}-{}", plan.name, plan.seed)),
      plan_(std::move(plan)),
      address_prefix_(10 + getpid() % 200) {
    std::vector<GatewaySelector::GatewayEndpoint> endpoints;
    for (const MachinePlan& machine_plan : plan_.machines) {
        const Machine& machine = place_machine(machine_plan);
        if (machine_plan.has_gateway) endpoints.push_back(endpoint_of(machine));
    }
    if (control_addresses().empty()) throw std::runtime_error("no machine has a controller");
    std::vector<std::string> zones;
    for (const Machine& machine : machines_)
        if (machine.plan.has_gateway &&
            std::find(zones.begin(), zones.end(), machine.plan.zone) == zones.end())
            zones.push_back(machine.plan.zone);
    control_client_ = std::make_unique<ControlClient>(calls_, control_addresses(), plan_.seed + 1);
    gateway_selector_ = std::make_unique<GatewaySelector>(calls_, std::move(endpoints));
    clients_ = std::make_unique<Clients>(reactor_, scoreboard_, *gateway_selector_,
                                         Clients::Settings{plan_.routes, plan_.tenants, zones, plan_.callers,
                                                           plan_.new_connection_fraction, plan_.seed + 2});
    scoreboard_.set_execution_observer(
        [this](const std::string& tenant) { executions_by_tenant_[tenant].push_back(clock_.now()); });
    start_thread();
}

SystemFixture::~SystemFixture() {
    stop_all();
    stop_thread();
    clients_.reset();
    servers_.clear();
    gateway_selector_.reset();
    operators_.reset();
    control_client_.reset();
}

// ---- servers ----

std::size_t SystemFixture::add_server(const std::string& service) {
    const auto service_plan =
        std::find_if(plan_.services.begin(), plan_.services.end(),
                     [&](const ServicePlan& candidate) { return candidate.name == service; });
    if (service_plan == plan_.services.end())
        throw std::runtime_error(service + ": there is no such service");
    return run_on_reactor([&] {
        const std::size_t number = servers_.size();
        ServerPlan plan;
        plan.service = service;
        plan.address = fmt::format("127.{}.{}.{}:{}", address_prefix_, 100 + number / kAddressesPerOctet,
                                   1 + number % kAddressesPerOctet, kServerPort);
        plan.zone = machines_[number % machines_.size()].plan.zone;
        plan.concurrency_limit = service_plan->concurrency_limit;
        plan.max_connections = service_plan->max_connections;
        plan.mean_service_time = service_plan->mean_service_time;
        plan.seed = plan_.seed * 1000 + number;
        plan.speed = 0.8 + 0.1 * static_cast<double>(number % 5);
        plan.control_addresses = control_addresses();
        plan.early_answer_share = service_plan->early_answer_share;
        if (service_plan->is_sharded) plan.shard_checker = &shard_checker_;
        servers_.push_back(std::make_unique<ApplicationServer>(reactor_, calls_, scoreboard_, plan));
        return number;
    });
}

void SystemFixture::crash_server(std::size_t number) {
    run_task_on_reactor([&] { servers_.at(number)->crash_now(); });
}

void SystemFixture::drain_server(std::size_t number) {
    run_task_on_reactor([&] { servers_.at(number)->start_drain(); });
}

void SystemFixture::set_server_frozen(std::size_t number, bool frozen) {
    run_task_on_reactor([&] { servers_.at(number)->set_frozen(frozen); });
}

std::vector<std::size_t> SystemFixture::live_servers_of(const std::string& service) {
    return run_on_reactor([&] {
        std::vector<std::size_t> numbers;
        for (std::size_t i = 0; i < servers_.size(); ++i)
            if (servers_[i]->plan().service == service && !servers_[i]->is_ended()) numbers.push_back(i);
        return numbers;
    });
}

std::string SystemFixture::server_id(std::size_t number) {
    return run_on_reactor([&] { return servers_.at(number)->id(); });
}

bool SystemFixture::wait_servers_registered(double timeout_seconds) {
    for (double t = 0.0; t < timeout_seconds; t += kPollInterval) {
        if (run_on_reactor([this] {
                return std::all_of(servers_.begin(), servers_.end(),
                                   [](const auto& s) { return s->is_registered() || s->is_ended(); });
            }))
            return true;
        run_for(kPollInterval);
    }
    return false;
}

// ---- clients ----

void SystemFixture::start_load(double load_factor) {
    run_task_on_reactor([&] {
        clients_->reset_statistics();
        clients_->start_load(load_factor);
    });
}

void SystemFixture::stop_load(double timeout_seconds) {
    run_task_on_reactor([&] { clients_->stop_load(); });
    for (double t = 0.0;
         t < timeout_seconds && run_on_reactor([this] { return clients_->open_requests(); }) > 0;
         t += kPollInterval)
        run_for(kPollInterval);
}

ClientStatistics SystemFixture::client_statistics() {
    return run_on_reactor([this] { return clients_->statistics(); });
}

std::map<std::string, std::vector<TimePoint>> SystemFixture::executions_by_tenant() {
    return run_on_reactor([this] { return executions_by_tenant_; });
}

Scoreboard::Violations SystemFixture::violations() {
    return run_on_reactor([this] { return scoreboard_.count_violations(); });
}

SystemFixture::ShardStatistics SystemFixture::shard_statistics() {
    return run_on_reactor([this] {
        return ShardStatistics{shard_checker_.begun(), shard_checker_.refusals(),
                               shard_checker_.double_owners()};
    });
}

Json SystemFixture::make_report() {
    const ClientStatistics statistics = client_statistics();
    const auto route_report = [](const ClientStatistics::RouteCounters& counters) {
        return Json{{"due", counters.due},
                    {"served", counters.served},
                    {"in_aim", counters.within_target},
                    {"refused", counters.rejected},
                    {"failed", counters.failed},
                    {"tries", counters.attempts},
                    {"p50_ms", latency_quantile(counters.latency_ms, 0.5)},
                    {"p90_ms", latency_quantile(counters.latency_ms, 0.9)},
                    {"p99_ms", latency_quantile(counters.latency_ms, 0.99)}};
    };
    Json report = route_report(statistics.totals());
    for (std::size_t i = 0; i < statistics.by_route.size(); ++i)
        report["routes"][plan_.routes[i].name] = route_report(statistics.by_route[i]);
    report["connections"] = statistics.connections_opened;
    report["rules"] = to_json(violations());
    report["run_twice"] = report["rules"]["run_twice"];
    run_task_on_reactor([&] {
        report["runs"] = scoreboard_.execution_count();
        report["repeats"] = scoreboard_.repeat_count();
    });
    for (const auto& [name, node] : nodes_) {
        const ResourceUsage usage = resource_usage(name);
        report["nodes"][name] = {
            {"starts", node.start_count}, {"cpu_s", usage.cpu_seconds}, {"peak_mb", usage.peak_mb}};
    }
    return report;
}

void SystemFixture::run_for(double seconds) {
    const TimePoint until = clock_.now() + from_secs(seconds);
    while (true) {
        if (stop_requested) throw std::runtime_error("stopped by SIGINT or SIGTERM");
        const double remaining = secs(until - clock_.now());
        if (remaining <= 0.0) return;
        sleep_for(std::min(remaining, kPollInterval));
    }
}

}    // namespace shaletray::testbed
