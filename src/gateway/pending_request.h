// A request in progress, between its client's connection and the engine. Internal to RequestDispatcher.
#pragma once

#include "gateway/request_dispatcher.h"

namespace shaletray::gateway {

// Removes its own entry from the dispatcher, then forwards the engine's result to the client.
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

    void on_answer(Payload&& response) override;
    void on_rejected(Duration retry_after, RejectionReason reason) override;
    void on_failed(FailureReason reason, Payload&& response) override;

    const http_mapping::RouteMatch& route_match() const {
        return *static_cast<const http_mapping::RouteMatch*>(context.get());
    }

    RequestDispatcher& dispatcher;
    const std::uint64_t ticket;
    DownstreamConnection& client;
    std::shared_ptr<const void> context;    // the RouteMatch; outlives `incoming`
    IncomingRequest incoming;               // moved from when it is forwarded
    std::string tenant_name;                // empty where no quota applies
    ServicePipeline* pipeline = nullptr;    // set when it is forwarded
    RequestId request_id{};                 // assigned by the pipeline's engine
    // For a request with a shard key: the server that it was sent to, and a copy to send to the new owner if
    // that server has released the key. The copy is reset once it was used; a streamed request has none.
    HostId owner{};
    std::optional<IncomingRequest> copy;
    Timers::Id wait_timer = 0;    // set while queued
    Duration retry_after{0};      // sent to the client if its wait expires
    TimePoint arrived_at{};
    bool charged = false;    // a quota unit was taken
    bool queued = false;     // waits for a quota unit
};

}    // namespace shaletray::gateway
