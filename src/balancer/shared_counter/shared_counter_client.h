// The driver of the shared counter: one connection to each store on the reactor, and the ledger's time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "balancer/shared_counter/store_exchange.h"
#include "base/common/log.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray::shared_counter {

class Client {
public:
    Client(ExchangeSettings settings, Ledger& ledger, Engine& engine, Reactor& reactor);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void carry(plans::Notices& notices) { exchange_.carry(notices); }
    void start();
    const CounterStats& stats() const { return stats_; }

private:
    struct Connection : StreamOwner {
        Connection(Client& of, Session& s) : client(of), session(s) {}
        void on_connected() override;
        void on_input() override;
        void on_broken() override;

        Client& client;
        Session& session;
        std::unique_ptr<Stream> stream;
        bool told_up = false;
        LogGate gate{std::chrono::minutes(1)}, spoilt_gate{std::chrono::minutes(1)};
    };

    void step();
    void serve(Connection& connection);
    void lose(Connection& connection, const std::string& why);
    void arm();

    Engine& engine_;
    Ledger& ledger_;
    Reactor& reactor_;
    CounterStats stats_;
    Exchange exchange_;
    std::vector<std::unique_ptr<Connection>> connections_;
    Timers::Id timer_ = 0;
};

}    // namespace shaletray::shared_counter
