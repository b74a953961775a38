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
    std::vector<GatewaySelector::GatewayEndpoint> gates;
    for (const MachinePlan& of : plan_.machines) {
        const Machine& machine = place_machine(of);
        if (of.has_gateway) gates.push_back(endpoint_of(machine));
    }
    if (control_addresses().empty()) throw std::runtime_error("no machine has a lighthouse");
    std::vector<std::string> zones;
    for (const Machine& machine : machines_)
        if (machine.plan.has_gateway &&
            std::find(zones.begin(), zones.end(), machine.plan.zone) == zones.end())
            zones.push_back(machine.plan.zone);
    control_client_ = std::make_unique<ControlClient>(calls_, control_addresses(), plan_.seed + 1);
    gateway_selector_ = std::make_unique<GatewaySelector>(calls_, std::move(gates));
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
    const auto of = std::find_if(plan_.services.begin(), plan_.services.end(),
                                 [&](const ServicePlan& s) { return s.name == service; });
    if (of == plan_.services.end()) throw std::runtime_error(service + ": there is no such service");
    return run_on_reactor([&] {
        const std::size_t number = servers_.size();
        ServerPlan plan;
        plan.service = service;
        plan.address = fmt::format("127.{}.{}.{}:{}", address_prefix_, 100 + number / kAddressesPerOctet,
                                   1 + number % kAddressesPerOctet, kServerPort);
        plan.zone = machines_[number % machines_.size()].plan.zone;
        plan.concurrency_limit = of->concurrency_limit;
        plan.max_connections = of->max_connections;
        plan.mean_service_time = of->mean_service_time;
        plan.seed = plan_.seed * 1000 + number;
        plan.speed = 0.8 + 0.1 * static_cast<double>(number % 5);
        plan.control_addresses = control_addresses();
        if (of->is_sharded) plan.shard_judge = &shard_judge_;
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

Board::Breaches SystemFixture::violations() {
    return run_on_reactor([this] { return scoreboard_.breaches(); });
}

SystemFixture::ShardStatistics SystemFixture::shard_statistics() {
    return run_on_reactor([this] {
        return ShardStatistics{shard_judge_.begun(), shard_judge_.refusals(), shard_judge_.double_owners()};
    });
}

Json SystemFixture::make_report() {
    const ClientStatistics f = client_statistics();
    const auto part = [](const ClientStatistics::RouteCounters& r) {
        return Json{{"due", r.due},
                    {"served", r.served},
                    {"in_aim", r.within_target},
                    {"refused", r.rejected},
                    {"failed", r.failed},
                    {"tries", r.attempts},
                    {"p50_ms", latency_quantile(r.latency_ms, 0.5)},
                    {"p90_ms", latency_quantile(r.latency_ms, 0.9)},
                    {"p99_ms", latency_quantile(r.latency_ms, 0.99)}};
    };
    Json out = part(f.totals());
    for (std::size_t i = 0; i < f.by_route.size(); ++i)
        out["routes"][plan_.routes[i].name] = part(f.by_route[i]);
    out["connections"] = f.connections_opened;
    out["rules"] = to_json(violations());
    out["run_twice"] = out["rules"]["run_twice"];
    run_task_on_reactor([&] {
        out["runs"] = scoreboard_.runs();
        out["repeats"] = scoreboard_.repeats();
    });
    for (const auto& [name, of] : nodes_) {
        const ResourceUsage u = resource_usage(name);
        out["nodes"][name] = {{"starts", of.start_count}, {"cpu_s", u.cpu_seconds}, {"peak_mb", u.peak_mb}};
    }
    return out;
}

void SystemFixture::run_for(double seconds) {
    const TimePoint until = clock_.now() + from_secs(seconds);
    while (true) {
        if (stop_requested) throw std::runtime_error("asked to end");
        const double left = secs(until - clock_.now());
        if (left <= 0.0) return;
        sleep_for(std::min(left, kPollInterval));
    }
}

}    // namespace shaletray::testbed
