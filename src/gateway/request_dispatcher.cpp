#include "gateway/request_dispatcher.h"

#include <algorithm>
#include <utility>

#include "gateway/pending_request.h"

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

// A request waits for quota units for at most this fraction of its latency target, so that a rejection is
// sent early.
constexpr double kMaxWaitFraction = 0.2;
constexpr Duration kMaxQuotaWait = 250ms;
// The wait is also limited to the client's time budget divided by this number.
constexpr int kTimeBudgetDivisor = 3;
// Retry-After where servers have no capacity: randomised, so that rejected clients don't retry together.
constexpr Duration kMinRetryDelay = 40ms;
constexpr Duration kRetryDelayJitter = 120ms;

Duration max_quota_wait(const configuration::Route& route, Duration time_budget) {
    const auto latency_target = static_cast<double>(class_settings_of(route).aim.count());
    const Duration latency_limit(static_cast<std::int64_t>(latency_target * kMaxWaitFraction));
    return std::min({kMaxQuotaWait, latency_limit, time_budget / kTimeBudgetDivisor});
}

}    // namespace

// ---- the engine's outcomes ----

void RequestDispatcher::PendingRequest::on_answer(Payload&& response) {
    ++dispatcher.statistics_.served;
    dispatcher.retire_request(*this).on_answer(std::move(response));
}

void RequestDispatcher::PendingRequest::on_rejected(Duration, RejectionReason reason) {
    if (dispatcher.send_to_new_owner(*this)) return;
    ++dispatcher.statistics_.rejected_capacity;
    dispatcher.admissions_.record(tenant_name, route_match().route->name,
                                  AdmissionOutcome::RejectedByCapacity);
    if (charged) dispatcher.balancer_->return_unit(tenant_name, dispatcher.reactor_.clock().now());
    const Duration delay = dispatcher.random_retry_delay();
    dispatcher.retire_request(*this).on_rejected(delay, reason);
}

void RequestDispatcher::PendingRequest::on_failed(FailureReason reason, Payload&& response) {
    ++dispatcher.statistics_.failed;
    dispatcher.retire_request(*this).on_failed(reason, std::move(response));
}

// ---- requests ----

RequestDispatcher::RequestDispatcher(const DispatcherSettings& settings, Reactor& reactor, Timers& timers,
                                     Counters& counters, http_mapping::UpstreamHosts& hosts,
                                     const ownership::OwnerMap& owners, quota::QuotaBalancer& balancer,
                                     std::function<void()> on_quota_due)
    : settings_(settings),
      reactor_(reactor),
      hosts_(hosts),
      owners_(owners),
      balancer_(&balancer),
      on_quota_due_(std::move(on_quota_due)),
      random_(settings.seed),
      key_sampler_(settings.seed),
      pipelines_(settings.pipelines, reactor, timers, counters, hosts, random_) {}

RequestDispatcher::~RequestDispatcher() {
    for (auto& [ticket, pending] : pending_) reactor_.cancel_timer(pending->wait_timer);
}

std::uint64_t RequestDispatcher::submit(DownstreamConnection& client, IncomingRequest&& incoming) {
    const std::uint64_t ticket = ++last_ticket_;
    auto request = std::make_unique<PendingRequest>(*this, ticket, client, std::move(incoming));
    PendingRequest& pending = *pending_.emplace(ticket, std::move(request)).first->second;
    const configuration::Tenant* const tenant = pending.route_match().tenant;
    if (tenant == nullptr || tenant->rate_per_s <= 0.0) {
        forward_request(pending);
    } else {
        pending.tenant_name = tenant->name;
        admit(pending);
    }
    return ticket;
}

// Forwards, queues or rejects a request by the quota of its tenant.
void RequestDispatcher::admit(PendingRequest& pending) {
    const Duration max_wait = max_quota_wait(*pending.route_match().route, pending.incoming.time_budget);
    Duration retry_after{0};
    quota::AdmissionDecision admission =
        balancer_->request_unit(pending.tenant_name, max_wait, pending.arrived_at, retry_after);
    if (admission == quota::AdmissionDecision::Queued && queued_count_ >= settings_.max_queued)
        admission = quota::AdmissionDecision::Rejected;
    switch (admission) {
        case quota::AdmissionDecision::Granted:
            pending.charged = true;
            forward_request(pending);
            break;
        case quota::AdmissionDecision::Rejected:
            reject_over_quota(pending, AdmissionOutcome::RejectedAtOnce, retry_after);
            break;
        case quota::AdmissionDecision::Queued: enqueue(pending, max_wait, retry_after); break;
    }
}

void RequestDispatcher::enqueue(PendingRequest& pending, Duration max_wait, Duration retry_after) {
    ++statistics_.queued;
    pending.queued = true;
    pending.retry_after = retry_after;
    queued_[pending.tenant_name].push_back(pending.ticket);
    ++queued_count_;
    balancer_->adjust_queued(pending.tenant_name, 1);
    const std::uint64_t ticket = pending.ticket;
    pending.wait_timer = reactor_.schedule_after(max_wait, [this, ticket] { on_wait_expired(ticket); });
    on_quota_due_();
}

void RequestDispatcher::on_wait_expired(std::uint64_t ticket) {
    const auto found = pending_.find(ticket);
    if (found == pending_.end() || !found->second->queued) return;
    PendingRequest& expired = *found->second;
    expired.wait_timer = 0;
    if (retry_admission(expired)) return;
    remove_from_queue(expired);
    reject_over_quota(expired, AdmissionOutcome::RejectedAfterWait, expired.retry_after);
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

// Forwards a queued request if a quota unit is available now; otherwise it stays queued.
bool RequestDispatcher::retry_admission(PendingRequest& pending) {
    const TimePoint now = reactor_.clock().now();
    balancer_->adjust_queued(pending.tenant_name, -1);
    const quota::AdmissionDecision admission =
        balancer_->request_unit(pending.tenant_name, Duration(0), now, pending.retry_after);
    balancer_->adjust_queued(pending.tenant_name, 1);
    if (admission != quota::AdmissionDecision::Granted) return false;
    remove_from_queue(pending);
    pending.charged = true;
    const Duration waited = now - pending.arrived_at;
    pending.incoming.time_budget = std::max(Duration(0), pending.incoming.time_budget - waited);
    forward_request(pending);
    return true;
}

void RequestDispatcher::reject_over_quota(PendingRequest& pending, AdmissionOutcome outcome,
                                          Duration retry_after) {
    ++statistics_.rejected_quota;
    admissions_.record(pending.tenant_name, pending.route_match().route->name, outcome);
    retire_request(pending).on_rejected(retry_after, RejectionReason::Quota);
}

void RequestDispatcher::forward_request(PendingRequest& pending) {
    if (pending.charged) ++statistics_.granted;
    const configuration::Route& route = *pending.route_match().route;
    admissions_.record(pending.tenant_name, route.name, AdmissionOutcome::Granted);
    ServicePipeline& pipeline =
        pipelines_.pipeline_for(configuration::ConfigurationIndex::pick_service(route, random_()));
    const auto class_entry = pipeline.class_by_route.find(route.name);
    if (class_entry == pipeline.class_by_route.end()) {
        // A new configuration moved the route to another service while the request was queued.
        pending.on_rejected(Duration(0), RejectionReason::Capacity);
        return;
    }
    IncomingRequest incoming = std::move(pending.incoming);
    incoming.class_index = class_entry->second;
    const std::optional<ownership::Key> shard_key = pending.route_match().shard_key;
    if (shard_key && pipelines_.is_sharded(pipeline.service)) {
        key_sampler_.record(pipeline.service, *shard_key);
        const std::optional<HostId> owner = owner_of(pipeline.service, *shard_key);
        if (!owner) {
            ++statistics_.without_owner;
            return pending.on_rejected(Duration(0), RejectionReason::Capacity);
        }
        pending.owner = incoming.only_host = *owner;
        if (!incoming.payload.upload) pending.copy = incoming;
    }
    submit_to(pipeline, pending, std::move(incoming));
}

void RequestDispatcher::submit_to(ServicePipeline& pipeline, PendingRequest& pending,
                                  IncomingRequest&& incoming) {
    pending.pipeline = &pipeline;
    const std::uint64_t ticket = pending.ticket;
    const RequestId request_id = pipeline.engine.submit(pending, std::move(incoming));
    // The engine may already have responded, in which case `pending` is invalid.
    if (const auto found = pending_.find(ticket); found != pending_.end())
        found->second->request_id = request_id;
}

// Until a row is settled, only its previous owner may still hold the key.
std::optional<HostId> RequestDispatcher::owner_of(const std::string& service, ownership::Key key) const {
    const ownership::Assignment* const row = owners_.find(service, key);
    if (row == nullptr) return std::nullopt;
    return hosts_.serving_host(row->settled ? row->owner : row->previous_owner);
}

// Sends a rejected request, which was not executed, to the server that owns its key now, if that differs from
// the one that rejected it. Done once a request, so that it costs its service at most one more attempt.
bool RequestDispatcher::send_to_new_owner(PendingRequest& pending) {
    if (!pending.copy || is_abandoning_) return false;
    IncomingRequest incoming = std::move(*pending.copy);
    pending.copy.reset();
    const std::optional<HostId> owner = owner_of(pending.pipeline->service, *pending.route_match().shard_key);
    const Duration elapsed = reactor_.clock().now() - pending.arrived_at;
    if (!owner || *owner == pending.owner || elapsed >= incoming.time_budget) return false;
    ++statistics_.sent_to_new_owner;
    pending.owner = incoming.only_host = *owner;
    incoming.time_budget -= elapsed;
    submit_to(*pending.pipeline, pending, std::move(incoming));
    return true;
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

// Removes the request's entry and returns its client, which the caller must call if the request was not
// cancelled. The request is destroyed later, since this may run inside one of its methods.
DownstreamConnection& RequestDispatcher::retire_request(PendingRequest& pending) {
    struct RetiredRequest : RetiredObject {
        explicit RetiredRequest(std::unique_ptr<PendingRequest> retired) : request(std::move(retired)) {}
        std::unique_ptr<PendingRequest> request;
    };
    DownstreamConnection& client = pending.client;
    reactor_.cancel_timer(pending.wait_timer);
    const auto found = pending_.find(pending.ticket);
    if (found == pending_.end()) return client;
    reactor_.destroy_later(std::make_unique<RetiredRequest>(std::move(found->second)));
    pending_.erase(found);
    return client;
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
        reject_over_quota(*found->second, AdmissionOutcome::RejectedAfterWait, found->second->retry_after);
    }
    is_abandoning_ = true;    // rejected requests are not sent to new owners now
    pipelines_.abandon_all_requests();
    is_abandoning_ = false;
}

Duration RequestDispatcher::random_retry_delay() {
    const auto jitter = static_cast<std::uint64_t>(kRetryDelayJitter.count());
    return kMinRetryDelay + Duration(static_cast<std::int64_t>(random_() % jitter));
}

// ---- configuration ----

void RequestDispatcher::set_configuration(
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index) {
    pipelines_.set_configuration(std::move(configuration_index));
}

void RequestDispatcher::on_servers_changed(const std::set<std::string>& services) {
    pipelines_.on_servers_changed(services);
}

void RequestDispatcher::set_gateway_count(std::uint32_t count) { pipelines_.set_gateway_count(count); }

}    // namespace shaletray::gateway
