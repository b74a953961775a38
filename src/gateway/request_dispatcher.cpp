#include "gateway/request_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/common/log.h"

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

// A request waits for units for this part of its aim at most, so that a refusal still comes early.
constexpr double kMaxWaitFraction = 0.2;
constexpr Duration kMaxQuotaWait = 250ms;
// Advice where servers have no room: spread, so that those turned away do not come back together.
constexpr Duration kMinRetryDelay = 40ms, kRetryDelaySpread = 120ms;
constexpr Duration kDialTimeout = 1s;
constexpr Duration kServerIdleTimeout = 5s;    // kept connections, where servers state nothing
// Parts of the rule on repeats that are used: each pilot measures on its own windows.
constexpr double kRetryRatioFraction = 0.8, kRetrySlackFraction = 0.35;
// Work alone may take a good part of the aim: less is let out only where queues are what takes the time.
constexpr double kLatencyGoalFraction = 0.85;
constexpr double kLateAnswerValue = 0.3;    // an answer after the aim still earns a part
constexpr int kMaxOpenRequests = 2000;      // requests of one service

ServerPool::Limits pool_limits() {
    ServerPool::Limits limits;
    limits.dial_timeout = kDialTimeout;
    limits.idle_timeout = kServerIdleTimeout;
    return limits;
}

decision::ClassSettings class_settings_of(const configuration::Route& route) {
    decision::ClassSettings result;
    result.name = route.name;
    result.repeat = route.kind == configuration::RouteKind::Idempotent ? decision::Repeat::Safe
                                                                       : decision::Repeat::Unsafe;
    result.aim = route.target_latency > Duration(0) ? std::min(route.target_latency, route.timeout)
                                                    : route.timeout / 2;
    result.give_up = route.timeout;
    result.late_share = kLateAnswerValue;
    result.max_attempts = route.max_attempts;
    return result;
}

}    // namespace

struct RequestDispatcher::ServicePipeline {
    ServicePipeline(RequestDispatcher& dispatcher, std::string name,
                    const decision::Settings& engine_settings, std::uint64_t seed)
        : service(std::move(name)),
          settings(engine_settings),
          engine(engine_settings, seed, dispatcher.reactor_.clock(), dispatcher.timers_,
                 dispatcher.counters_),
          pool(engine, dispatcher.hosts_, dispatcher.codec_, dispatcher.connection_budget_,
               dispatcher.counters_, dispatcher.reactor_, pool_limits()) {
        engine.connect(pool, peer_messenger, host_lists);
        engine.set_response_policy({true, true});
    }
    struct NullPeerMessenger : PeerMessenger {
        void send_to_peer(PeerId, const std::vector<std::uint8_t>&) override {}
    } peer_messenger;
    struct NullHostListSource : HostListSource {
        void subscribe() override {}
    } host_lists;
    std::string service;
    decision::Settings settings;
    Engine engine;
    ServerPool pool;
    std::unordered_map<std::string, int> class_by_route;
};

// One request, between its client's connection and the engine.
class RequestDispatcher::PendingRequest final : public DownstreamConnection {
public:
    PendingRequest(RequestDispatcher& dispatcher, std::uint64_t ticket, DownstreamConnection& client,
                   IncomingRequest&& incoming)
        : dispatcher_(dispatcher),
          ticket(ticket),
          client(&client),
          context(incoming.context),
          incoming(std::move(incoming)) {}

    void on_answer(Payload&& answer) override {
        ++dispatcher_.statistics_.served;
        DownstreamConnection* const recipient = client;
        dispatcher_.retire_request(*this);
        recipient->on_answer(std::move(answer));
    }
    void on_rejected(Duration, RejectionReason reason) override {
        ++dispatcher_.statistics_.rejected_capacity;
        if (charged) dispatcher_.balancer_->return_unit(tenant(), dispatcher_.reactor_.clock().now());
        DownstreamConnection* const recipient = client;
        const Duration delay = dispatcher_.random_retry_delay();
        dispatcher_.retire_request(*this);
        recipient->on_rejected(delay, reason);
    }
    void on_failed(FailureReason reason, Payload&& answer) override {
        ++dispatcher_.statistics_.failed;
        DownstreamConnection* const recipient = client;
        dispatcher_.retire_request(*this);
        recipient->on_failed(reason, std::move(answer));
    }
    const http_mapping::RouteMatch& route_match() const {
        return *static_cast<const http_mapping::RouteMatch*>(context.get());
    }
    const std::string& tenant() const { return tenant_name; }

private:
    RequestDispatcher& dispatcher_;

public:
    std::uint64_t ticket;
    DownstreamConnection* client;
    std::shared_ptr<const void> context;
    IncomingRequest incoming;    // until it is sent on
    std::string tenant_name;
    ServicePipeline* pipeline = nullptr;
    RequestId request_id{};
    Timers::Id wait_timer = 0;
    Duration retry_after{0};
    TimePoint arrived_at{};
    bool charged = false, queued = false, answered = false;
};

RequestDispatcher::RequestDispatcher(DispatcherSettings settings, Reactor& reactor, Timers& timers,
                                     Counters& counters, http_mapping::UpstreamHosts& hosts,
                                     quota::QuotaBalancer& balancer, std::function<void()> on_quota_due)
    : settings_(settings),
      reactor_(reactor),
      timers_(timers),
      counters_(counters),
      hosts_(hosts),
      balancer_(&balancer),
      on_quota_due_(std::move(on_quota_due)),
      codec_([this](HostId host) -> std::optional<http_mapping::UpstreamCodec::Target> {
          const std::string* const id = hosts_.id_of(host);
          if (id == nullptr) return std::nullopt;
          const auto health_check = health_checks_.find(*hosts_.service_of(host));
          return http_mapping::UpstreamCodec::Target{
              *id, health_check == health_checks_.end() ? "/" : health_check->second};
      }),
      connection_budget_(settings.max_server_connections),
      random_(settings.seed) {}

RequestDispatcher::~RequestDispatcher() {
    for (auto& [ticket, pending] : pending_) reactor_.cancel_timer(pending->wait_timer);
}

// ---- requests ----

std::uint64_t RequestDispatcher::submit(DownstreamConnection& client, IncomingRequest&& incoming) {
    const std::uint64_t ticket = ++last_ticket_;
    const TimePoint now = reactor_.clock().now();
    PendingRequest& pending =
        *pending_
             .emplace(ticket, std::make_unique<PendingRequest>(*this, ticket, client, std::move(incoming)))
             .first->second;
    pending.arrived_at = now;
    const http_mapping::RouteMatch& route_match = pending.route_match();
    if (route_match.tenant == nullptr || route_match.tenant->rate_per_s <= 0.0) {
        forward_request(pending);
        return ticket;
    }
    pending.tenant_name = route_match.tenant->name;
    const Duration latency_target = class_settings_of(*route_match.route).aim;
    const Duration max_wait = std::min(
        {kMaxQuotaWait,
         Duration(static_cast<std::int64_t>(static_cast<double>(latency_target.count()) * kMaxWaitFraction)),
         pending.incoming.time_budget / 3});
    Duration retry_after{0};
    quota::AdmissionDecision admission =
        balancer_->request_unit(pending.tenant_name, max_wait, now, retry_after);
    if (admission == quota::AdmissionDecision::Queued && queued_count_ >= settings_.max_queued)
        admission = quota::AdmissionDecision::Rejected;
    switch (admission) {
        case quota::AdmissionDecision::Granted:
            pending.charged = true;
            forward_request(pending);
            break;
        case quota::AdmissionDecision::Rejected: reject_over_quota(pending, retry_after); break;
        case quota::AdmissionDecision::Queued:
            ++statistics_.queued;
            pending.queued = true;
            pending.retry_after = retry_after;
            queued_[pending.tenant_name].push_back(ticket);
            ++queued_count_;
            balancer_->adjust_queued(pending.tenant_name, 1);
            pending.wait_timer = reactor_.schedule_after(max_wait, [this, ticket] {
                const auto found = pending_.find(ticket);
                if (found == pending_.end() || !found->second->queued) return;
                PendingRequest& expired = *found->second;
                expired.wait_timer = 0;
                if (retry_admission(expired)) return;
                remove_from_queue(expired);
                reject_over_quota(expired, expired.retry_after);
            });
            on_quota_due_();
            break;
    }
    return ticket;
}

void RequestDispatcher::remove_from_queue(PendingRequest& pending) {
    pending.queued = false;
    reactor_.cancel_timer(pending.wait_timer);
    const auto found = queued_.find(pending.tenant_name);
    std::erase(found->second, pending.ticket);
    if (found->second.empty()) queued_.erase(found);
    --queued_count_;
    balancer_->adjust_queued(pending.tenant_name, -1);
}

// Sends it on where there is a unit for it now; else it goes on waiting.
bool RequestDispatcher::retry_admission(PendingRequest& pending) {
    const TimePoint now = reactor_.clock().now();
    balancer_->adjust_queued(pending.tenant_name, -1);
    const quota::AdmissionDecision admission =
        balancer_->request_unit(pending.tenant_name, Duration(0), now, pending.retry_after);
    balancer_->adjust_queued(pending.tenant_name, 1);
    if (admission != quota::AdmissionDecision::Granted) return false;
    remove_from_queue(pending);
    pending.charged = true;
    pending.incoming.time_budget =
        std::max(Duration(0), pending.incoming.time_budget - (now - pending.arrived_at));
    forward_request(pending);
    return true;
}

void RequestDispatcher::reject_over_quota(PendingRequest& pending, Duration retry_after) {
    ++statistics_.rejected_quota;
    DownstreamConnection* const recipient = pending.client;
    retire_request(pending);
    recipient->on_rejected(retry_after, RejectionReason::Quota);
}

void RequestDispatcher::forward_request(PendingRequest& pending) {
    if (pending.charged) ++statistics_.granted;
    const http_mapping::RouteMatch& route_match = pending.route_match();
    ServicePipeline& pipeline =
        pipeline_for(configuration::ConfigurationIndex::pick_service(*route_match.route, random_()));
    const auto class_entry = pipeline.class_by_route.find(route_match.route->name);
    if (class_entry ==
        pipeline.class_by_route.end()) {    // the chart has moved the route on while this one waited
        pending.on_rejected(Duration(0), RejectionReason::Capacity);
        return;
    }
    IncomingRequest incoming = std::move(pending.incoming);
    incoming.class_index = class_entry->second;
    pending.pipeline = &pipeline;
    const std::uint64_t ticket = pending.ticket;
    const RequestId request_id = pipeline.engine.submit(pending, std::move(incoming));
    // It may have been answered by now.
    if (const auto found = pending_.find(ticket); found != pending_.end())
        found->second->request_id = request_id;
}

void RequestDispatcher::cancel(std::uint64_t ticket) {
    const auto found = pending_.find(ticket);
    if (found == pending_.end()) return;
    PendingRequest& pending = *found->second;
    if (pending.queued) {
        remove_from_queue(pending);
    } else if (pending.pipeline != nullptr) {
        pending.pipeline->engine.cancel(pending.request_id);
    }
    retire_request(pending);
}

// The front is still owed its call: it is made after this.
void RequestDispatcher::retire_request(PendingRequest& pending) {
    reactor_.cancel_timer(pending.wait_timer);
    const auto found = pending_.find(pending.ticket);
    if (found == pending_.end()) return;
    struct RetiredRequest : RetiredObject {
        explicit RetiredRequest(std::unique_ptr<PendingRequest> retired) : request(std::move(retired)) {}
        std::unique_ptr<PendingRequest> request;
    };
    reactor_.destroy_later(std::make_unique<RetiredRequest>(std::move(found->second)));
    pending_.erase(found);
}

void RequestDispatcher::on_units_available(const std::vector<std::string>& tenants) {
    for (const std::string& tenant : tenants) {
        for (;;) {
            const auto found = queued_.find(tenant);
            if (found == queued_.end()) break;
            if (!retry_admission(*pending_.at(found->second.front()))) break;
        }
    }
}

void RequestDispatcher::set_quota_balancer(quota::QuotaBalancer& balancer) {
    balancer_ = &balancer;
    for (const auto& [tenant, queue] : queued_)
        balancer_->adjust_queued(tenant, static_cast<int>(queue.size()));
}

void RequestDispatcher::abandon_all() {
    std::vector<std::uint64_t> queued_tickets;
    for (const auto& [ticket, pending] : pending_) {
        if (pending->queued) queued_tickets.push_back(ticket);
    }
    for (const std::uint64_t ticket : queued_tickets) {
        const auto found = pending_.find(ticket);
        if (found == pending_.end()) continue;
        remove_from_queue(*found->second);
        reject_over_quota(*found->second, found->second->retry_after);
    }
    for (auto& [service, pipeline] : pipelines_) pipeline->engine.abandon_all_requests();
}

Duration RequestDispatcher::random_retry_delay() {
    return kMinRetryDelay + Duration(static_cast<std::int64_t>(
                                random_() % static_cast<std::uint64_t>(kRetryDelaySpread.count())));
}

// ---- services ----

RequestDispatcher::ServicePipeline& RequestDispatcher::pipeline_for(const std::string& service) {
    if (const auto found = pipelines_.find(service); found != pipelines_.end()) return *found->second;
    decision::Settings engine_settings;
    engine_settings.gateways = static_cast<int>(std::max<std::uint32_t>(1, gateway_count_));
    engine_settings.zone = settings_.zone;
    engine_settings.may_cancel = true;
    engine_settings.may_probe = true;
    engine_settings.max_retry_after = 1s;
    engine_settings.max_open = kMaxOpenRequests;
    engine_settings.retry_start = 0.0;    // what an earlier life had may be spent
    engine_settings.retry_refunds = true;
    engine_settings.classes.emplace_back();
    ServicePipeline& created =
        *pipelines_
             .emplace(service, std::make_unique<ServicePipeline>(*this, service, engine_settings, random_()))
             .first->second;
    configure_pipeline(created);
    created.engine.on_host_list(hosts_.host_list(service));
    return created;
}

// Classes and limits of a service, by the chart in force and the number of pilots.
void RequestDispatcher::configure_pipeline(ServicePipeline& pipeline) {
    decision::Settings& engine_settings = pipeline.settings;
    const std::vector<decision::ClassSettings> previous_classes = engine_settings.classes;
    const decision::RequestLimits previous_limits = engine_settings;
    engine_settings.classes.clear();
    engine_settings.send_cap = 1;
    if (const auto found = routes_by_service_.find(pipeline.service); found != routes_by_service_.end()) {
        for (const configuration::Route* route : found->second) {
            engine_settings.classes.push_back(class_settings_of(*route));
            engine_settings.send_cap = std::max(engine_settings.send_cap, route->max_attempts);
        }
    }
    if (engine_settings.classes.empty()) engine_settings.classes.emplace_back();    // nothing goes there now
    const double slack_share = kRetrySlackFraction * settings_.retry_slack / gateway_count_;
    engine_settings.retry_share = kRetryRatioFraction * settings_.retry_ratio;
    engine_settings.retry_burst = std::max(1.0, slack_share);
    engine_settings.retry_refill_per_s =
        slack_share / std::chrono::duration<double>(settings_.retry_window).count();
    engine_settings.latency_goal = kLatencyGoalFraction;
    engine_settings.least_out =
        std::max(2.0, hosts_.mean_capacity(pipeline.service));    // what surely finds a place
    engine_settings.sharing = static_cast<int>(gateway_count_);
    const bool unchanged = previous_classes == engine_settings.classes &&
                           previous_limits == static_cast<const decision::RequestLimits&>(engine_settings);
    if (unchanged && !pipeline.class_by_route.empty()) return;
    const std::vector<int> class_indices = pipeline.engine.apply_settings(engine_settings);
    pipeline.class_by_route.clear();
    for (std::size_t i = 0; i < engine_settings.classes.size(); ++i)
        pipeline.class_by_route[engine_settings.classes[i].name] = class_indices[i];
}

void RequestDispatcher::set_configuration(
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index) {
    configuration_index_ = std::move(configuration_index);
    health_checks_.clear();
    for (const configuration::Service& service : configuration_index_->config().services)
        health_checks_[service.name] = service.health_check;
    routes_by_service_.clear();
    for (const configuration::Route& route : configuration_index_->config().routes) {
        for (const configuration::WeightedService& share : route.targets) {
            std::vector<const configuration::Route*>& service_routes = routes_by_service_[share.service];
            if (service_routes.empty() || service_routes.back() != &route) service_routes.push_back(&route);
        }
    }
    for (const auto& [service, routes] : routes_by_service_) pipeline_for(service);
    // A service that nothing leads to any more keeps its engine, with what it learned: it may come back. At
    // rest it costs its memory and a tick each 100 ms.
    for (auto& [service, pipeline] : pipelines_) configure_pipeline(*pipeline);
}

void RequestDispatcher::on_servers_changed(const std::set<std::string>& services) {
    for (const std::string& service : services) {
        const auto found = pipelines_.find(service);
        if (found == pipelines_.end()) continue;
        configure_pipeline(*found->second);
        found->second->engine.on_host_list(hosts_.host_list(service));
        found->second->pool.on_host_list_changed();
    }
}

void RequestDispatcher::set_gateway_count(std::uint32_t count) {
    count = std::max<std::uint32_t>(1, count);
    if (count == gateway_count_) return;
    gateway_count_ = count;
    for (auto& [service, pipeline] : pipelines_) configure_pipeline(*pipeline);
}

}    // namespace shaletray::gateway
