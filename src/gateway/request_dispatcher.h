// Dispatches requests: admits each by the quota of its tenant, then submits it to the engine of the service
// that the configuration routes it to.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/ownership/key_sampler.h"
#include "cluster/ownership/owner_map.h"
#include "cluster/quota/quota_balancer.h"
#include "data_plane/engine/engine.h"
#include "gateway/admission_statistics.h"
#include "gateway/http_mapping/request_mapper.h"
#include "gateway/http_mapping/upstream_hosts.h"
#include "gateway/service_pipelines.h"

namespace shaletray::gateway {

struct DispatcherSettings {
    std::uint64_t seed = 0;
    std::size_t max_queued = 2000;    // requests that wait for quota units
    PipelineSettings pipelines;
};

// Owns the pending requests. Runs on the reactor's thread. Objects passed by reference must outlive it.
// Calls the client of each submitted request exactly once, unless the request is cancelled before.
class RequestDispatcher final : public RequestHandler {
public:
    // `on_quota_due` is called when the quota balancer needs a tick before its next deadline.
    RequestDispatcher(const DispatcherSettings& settings, Reactor& reactor, Timers& timers,
                      Counters& counters, http_mapping::UpstreamHosts& hosts,
                      const ownership::OwnerMap& owners, quota::QuotaBalancer& balancer,
                      std::function<void()> on_quota_due);
    ~RequestDispatcher() override;

    std::uint64_t submit(DownstreamConnection& client, IncomingRequest&& incoming) override;
    void cancel(std::uint64_t ticket) override;

    // Takes effect for new requests; pending ones keep the configuration under which they arrived.
    void set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> configuration_index);
    // To be called when the endpoint lists of these services have changed.
    void on_servers_changed(const std::set<std::string>& services);
    // Sets the number of gateways that share the retry budget and the servers.
    void set_gateway_count(std::uint32_t count);
    // Replaces the balancer by one without units, and registers the queued requests there.
    void set_quota_balancer(quota::QuotaBalancer& balancer);
    // To be called when quota units have arrived for these tenants.
    void on_units_available(const std::vector<std::string>& tenants);
    // Returns samples of the shard keys of requests since the last call.
    std::vector<ownership::KeySamples> take_key_samples() { return key_sampler_.take(); }
    // Ends every pending request by a response to its client.
    void abandon_all();

    const ServicePipelines& pipelines() const { return pipelines_; }
    std::size_t pending_count() const { return pending_.size(); }
    struct Statistics {
        std::uint64_t granted = 0;
        std::uint64_t queued = 0;
        std::uint64_t rejected_quota = 0;
        std::uint64_t rejected_capacity = 0;
        std::uint64_t served = 0;
        std::uint64_t failed = 0;
        std::uint64_t without_owner = 0;        // rejected, since no server in service owns the shard key
        std::uint64_t sent_to_new_owner = 0;    // after the former owner had released the key
    };
    const Statistics& statistics() const { return statistics_; }
    const AdmissionStatistics& admissions() const { return admissions_; }

private:
    class PendingRequest;
    void admit(PendingRequest& pending);
    void enqueue(PendingRequest& pending, Duration max_wait, Duration retry_after);
    void on_wait_expired(std::uint64_t ticket);
    void remove_from_queue(PendingRequest& pending);
    bool retry_admission(PendingRequest& pending);
    void reject_over_quota(PendingRequest& pending, AdmissionOutcome outcome, Duration retry_after);
    void forward_request(PendingRequest& pending);
    void submit_to(ServicePipeline& pipeline, PendingRequest& pending, IncomingRequest&& incoming);
    // Returns the server that may execute requests with this key, or none where no server may at the moment.
    std::optional<HostId> owner_of(const std::string& service, ownership::Key key) const;
    bool send_to_new_owner(PendingRequest& pending);
    DownstreamConnection& retire_request(PendingRequest& pending);
    Duration random_retry_delay();

    DispatcherSettings settings_;
    Reactor& reactor_;
    const http_mapping::UpstreamHosts& hosts_;
    const ownership::OwnerMap& owners_;
    quota::QuotaBalancer* balancer_;
    std::function<void()> on_quota_due_;
    std::mt19937_64 random_;
    ownership::KeySampler key_sampler_;
    ServicePipelines pipelines_;
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>> pending_;    // by ticket
    // Tickets of the requests that wait for quota units, by tenant, oldest first.
    std::unordered_map<std::string, std::deque<std::uint64_t>> queued_;
    std::size_t queued_count_ = 0;
    std::uint64_t last_ticket_ = 0;
    bool is_abandoning_ = false;
    Statistics statistics_;
    AdmissionStatistics admissions_;
};

}    // namespace shaletray::gateway
