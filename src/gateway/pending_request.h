// A request under way, between its client's connection and the engine. Internal to RequestDispatcher.
#pragma once

#include "gateway/request_dispatcher.h"

namespace shaletray::gateway {

// Passes the engine's outcome on to the client, and ends its own entry in the dispatcher before.
class RequestDispatcher::PendingRequest final : public DownstreamConnection {
public:
    PendingRequest(RequestDispatcher& owner, std::uint64_t new_ticket, DownstreamConnection& connection,
                   IncomingRequest&& request)
        : dispatcher(owner),
          ticket(new_ticket),
          client(connection),
          context(request.context),
          incoming(std::move(request)),
          arrived_at(owner.reactor_.clock().now()) {}

    void on_answer(Payload&& answer) override;
    void on_rejected(Duration retry_after, RejectionReason reason) override;
    void on_failed(FailureReason reason, Payload&& answer) override;

    const http_mapping::RouteMatch& route_match() const {
        return *static_cast<const http_mapping::RouteMatch*>(context.get());
    }

    RequestDispatcher& dispatcher;
    const std::uint64_t ticket;
    DownstreamConnection& client;
    std::shared_ptr<const void> context;    // the RouteMatch; outlives `incoming`
    IncomingRequest incoming;               // until it is forwarded
    std::string tenant_name;                // empty where no quota applies
    ServicePipeline* pipeline = nullptr;    // once it is forwarded
    RequestId request_id{};                 // of the pipeline's engine
    // Of a request with a shard key: the server that it was sent to, and the request itself, for the case
    // that the server has let the key go. Reset once it was sent again, and where it cannot be.
    HostId owner{};
    std::optional<IncomingRequest> copy;
    Timers::Id wait_timer = 0;    // while it is queued
    Duration retry_after{0};      // the advice for when its wait expires
    TimePoint arrived_at{};
    bool charged = false;    // a unit of quota was taken
    bool queued = false;     // it waits for a unit
};

}    // namespace shaletray::gateway
