#include "gateway/service_pipelines.h"

#include <algorithm>

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kServerIdleTimeout = 5s;    // for servers that state no idle timeout
// Fractions of the retry budget that are used; the margin is needed since the windows of the gateways differ.
constexpr double kRetryRatioFraction = 0.8;
constexpr double kRetrySlackFraction = 0.35;
// Load is shed only where queueing takes the time; execution alone may take much of the latency target.
constexpr double kLatencyGoalFraction = 0.85;
constexpr double kLateResponseValue = 0.3;    // a response after the latency target still has some value
constexpr int kMaxOpenRequests = 2000;        // to one service
constexpr Duration kMaxRetryAfter = 1s;
constexpr double kMinInFlight = 2.0;    // requests at a service's servers that are always allowed

ServerPool::Limits pool_limits() {
    ServerPool::Limits limits;
    limits.dial_timeout = kConnectTimeout;
    limits.idle_timeout = kServerIdleTimeout;
    return limits;
}

}    // namespace

decision::ClassSettings class_settings_of(const configuration::Route& route) {
    const bool idempotent = route.kind == configuration::RouteKind::Idempotent;
    const bool has_target = route.target_latency > Duration(0);
    decision::ClassSettings result;
    result.name = route.name;
    result.repeat = idempotent ? decision::Repeat::Safe : decision::Repeat::Unsafe;
    result.aim = has_target ? std::min(route.target_latency, route.timeout) : route.timeout / 2;
    result.give_up = route.timeout;
    result.late_share = kLateResponseValue;
    result.max_attempts = route.max_attempts;
    return result;
}

// NOLINTNEXTLINE(readability-function-size): nine parameters, to be grouped
ServicePipeline::ServicePipeline(std::string name, const decision::Settings& engine_settings,
                                 std::uint64_t seed, Reactor& reactor, Timers& timers, Counters& counters,
                                 http_mapping::UpstreamHosts& hosts, http_mapping::UpstreamCodec& codec,
                                 ConnectionBudget& connection_budget)
    : service(std::move(name)),
      settings(engine_settings),
      engine(engine_settings, seed, reactor.clock(), timers, counters),
      pool(engine, hosts, codec, connection_budget, counters, reactor, pool_limits()) {
    engine.connect(pool, peer_messenger, host_lists);
    engine.set_response_policy({true, true});
}

ServicePipelines::ServicePipelines(const PipelineSettings& settings, Reactor& reactor, Timers& timers,
                                   Counters& counters, http_mapping::UpstreamHosts& hosts,
                                   std::mt19937_64& random)
    : settings_(settings),
      reactor_(reactor),
      timers_(timers),
      counters_(counters),
      hosts_(hosts),
      random_(random),
      codec_(
          [this](HostId host) { return target_of(host); },
          [this](HostId host, http_mapping::MisdirectionReason reason) { count_misdirection(host, reason); }),
      connection_budget_(settings.max_server_connections) {}

std::optional<http_mapping::UpstreamCodec::Target> ServicePipelines::target_of(HostId host) const {
    const std::string* const id = hosts_.id_of(host);
    if (id == nullptr) return std::nullopt;
    const auto health_check = health_checks_.find(*hosts_.service_of(host));
    return http_mapping::UpstreamCodec::Target{
        *id, health_check == health_checks_.end() ? "/" : health_check->second};
}

void ServicePipelines::count_misdirection(HostId host, http_mapping::MisdirectionReason reason) {
    const std::string* const service = hosts_.service_of(host);
    if (service == nullptr) return;
    MisdirectionCounts& counts = misdirections_by_service_[*service];
    ++(reason == http_mapping::MisdirectionReason::OtherInstance ? counts.other_instance
                                                                 : counts.key_not_held);
}

decision::Settings ServicePipelines::initial_engine_settings() const {
    decision::Settings settings;
    settings.gateways = static_cast<int>(std::max<std::uint32_t>(1, gateway_count_));
    settings.zone = settings_.zone;
    settings.may_cancel = true;
    settings.may_probe = true;
    settings.max_retry_after = kMaxRetryAfter;
    settings.max_open = kMaxOpenRequests;
    settings.retry_start = 0.0;    // an earlier incarnation may have used up its budget
    settings.retry_refunds = true;
    settings.classes.emplace_back();
    return settings;
}

ServicePipeline& ServicePipelines::pipeline_for(const std::string& service) {
    if (const auto found = pipelines_.find(service); found != pipelines_.end()) return *found->second;
    auto pipeline = std::make_unique<ServicePipeline>(service, initial_engine_settings(), random_(), reactor_,
                                                      timers_, counters_, hosts_, codec_, connection_budget_);
    ServicePipeline& created = *pipelines_.emplace(service, std::move(pipeline)).first->second;
    configure(created);
    created.engine.on_host_list(hosts_.host_list(service));
    return created;
}

// Sets one class of requests for each route to the service.
void ServicePipelines::set_classes(ServicePipeline& pipeline) const {
    decision::Settings& settings = pipeline.settings;
    settings.classes.clear();
    settings.send_cap = 1;
    if (const auto found = routes_by_service_.find(pipeline.service); found != routes_by_service_.end()) {
        for (const configuration::Route* route : found->second) {
            settings.classes.push_back(class_settings_of(*route));
            settings.send_cap = std::max(settings.send_cap, route->max_attempts);
        }
    }
    if (settings.classes.empty()) settings.classes.emplace_back();    // no route leads to the service now
}

// Sets a service's classes and limits from the configuration, its servers and the number of gateways.
void ServicePipelines::configure(ServicePipeline& pipeline) {
    decision::Settings& settings = pipeline.settings;
    const std::vector<decision::ClassSettings> previous_classes = settings.classes;
    const decision::RequestLimits previous_limits = settings;
    set_classes(pipeline);
    const double slack_share = kRetrySlackFraction * settings_.retry_slack / gateway_count_;
    settings.retry_share = kRetryRatioFraction * settings_.retry_ratio;
    settings.retry_burst = std::max(1.0, slack_share);
    settings.retry_refill_per_s = slack_share / std::chrono::duration<double>(settings_.retry_window).count();
    settings.latency_goal = kLatencyGoalFraction;
    settings.least_out = std::max(kMinInFlight, hosts_.mean_capacity(pipeline.service));
    settings.sharing = static_cast<int>(gateway_count_);
    const bool unchanged = previous_classes == settings.classes &&
                           previous_limits == static_cast<const decision::RequestLimits&>(settings);
    if (unchanged && !pipeline.class_by_route.empty()) return;
    const std::vector<int> class_indices = pipeline.engine.apply_settings(settings);
    pipeline.class_by_route.clear();
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        pipeline.class_by_route[settings.classes[i].name] = class_indices[i];
}

void ServicePipelines::set_configuration(
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index) {
    configuration_index_ = std::move(configuration_index);
    health_checks_.clear();
    sharded_services_ = configuration::sharded_services(configuration_index_->config());
    for (const configuration::Service& service : configuration_index_->config().services)
        health_checks_[service.name] = service.health_check;
    routes_by_service_.clear();
    for (const configuration::Route& route : configuration_index_->config().routes) {
        for (const configuration::WeightedService& target : route.targets) {
            std::vector<const configuration::Route*>& service_routes = routes_by_service_[target.service];
            if (service_routes.empty() || service_routes.back() != &route) service_routes.push_back(&route);
        }
    }
    for (const auto& [service, routes] : routes_by_service_) pipeline_for(service);
    // A service without routes keeps its engine and the engine's statistics, since its routes may return. An
    // idle engine costs its memory and a tick each 100 ms.
    for (auto& [service, pipeline] : pipelines_) configure(*pipeline);
}

void ServicePipelines::on_servers_changed(const std::set<std::string>& services) {
    for (const std::string& service : services) {
        const auto found = pipelines_.find(service);
        if (found == pipelines_.end()) continue;
        ServicePipeline& pipeline = *found->second;
        configure(pipeline);
        pipeline.engine.on_host_list(hosts_.host_list(service));
        pipeline.pool.on_host_list_changed();
    }
}

void ServicePipelines::set_gateway_count(std::uint32_t count) {
    count = std::max<std::uint32_t>(1, count);
    if (count == gateway_count_) return;
    gateway_count_ = count;
    for (auto& [service, pipeline] : pipelines_) configure(*pipeline);
}

void ServicePipelines::abandon_all_requests() {
    for (auto& [service, pipeline] : pipelines_) pipeline->engine.abandon_all_requests();
}

}    // namespace shaletray::gateway
