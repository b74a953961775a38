// Client of the shared counter: connects to each store, drives its session, and updates the quota state table
// as time passes. Only for the reactor's thread.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/shared_counter/store_exchange.h"
#include "base/common/log.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray::shared_counter {

// All references must outlive it.
class SharedCounterClient {
public:
    SharedCounterClient(StoreExchangeSettings settings, QuotaStateTable& quota_state_table, Engine& engine,
                        Reactor& reactor);
    ~SharedCounterClient();
    SharedCounterClient(const SharedCounterClient&) = delete;
    SharedCounterClient& operator=(const SharedCounterClient&) = delete;

    // Sets further fields to exchange with the stores. Call it before start().
    void set_field_exchange(plans::FieldExchange& field_exchange) {
        exchange_.set_field_exchange(field_exchange);
    }
    void start();
    const SharedCounterStatistics& statistics() const { return statistics_; }

private:
    struct Connection : StreamOwner {
        Connection(SharedCounterClient& owner, StoreSession& store_session)
            : client(owner), session(store_session) {}
        void on_connected() override;
        void on_input() override;
        void on_disconnected() override;

        SharedCounterClient& client;
        StoreSession& session;
        std::unique_ptr<Stream> stream;
        bool connect_logged = false;
        LogRateLimiter log_limiter{std::chrono::minutes(1)}, malformed_log_limiter{std::chrono::minutes(1)};
    };

    void run_exchange();
    void process_session(Connection& connection);
    void on_connection_lost(Connection& connection, const std::string& reason);
    void schedule_next();

    Engine& engine_;
    QuotaStateTable& quota_state_table_;
    Reactor& reactor_;
    SharedCounterStatistics statistics_;
    StoreExchange exchange_;
    std::vector<std::unique_ptr<Connection>> connections_;
    Timers::Id timer_ = 0;
};

}    // namespace shaletray::shared_counter
