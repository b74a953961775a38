// Watches the discovery service's list of servers over a long-lived HTTP response, and reconnects with
// backoff. Only for the reactor's thread.
#pragma once

#include <memory>

#include "balancer/platform/messages.h"
#include "base/common/log.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// Passes each change to the host directory and the engine. All references outlive it.
class DiscoveryWatch : public HostListSource, private StreamOwner {
public:
    // `on_change` is called after each change of the list.
    DiscoveryWatch(Engine& engine, HostDirectory& hosts, const GatewayConfig& config, Counters& counters,
                   Reactor& reactor, std::function<void()> on_change);
    ~DiscoveryWatch() override;

    // Applies the configuration's own list, and connects unless the decision module requests lists itself.
    void start();
    void subscribe() override { connect(); }
    // Reconnects to another address at once. The present list stays until the new one arrives.
    void set_address(const std::string& address);
    // Processes what has arrived, so that it applies before anything is sent in this event loop iteration.
    void read_available();

private:
    void on_input() override;
    void on_disconnected() override { on_connection_lost("closed by discovery"); }
    void connect();
    void process_lines();
    void process_line(std::string_view line);
    void on_connection_lost(std::string_view reason);
    void check_timeout();

    Engine& engine_;
    HostDirectory& hosts_;
    const GatewayConfig& config_;
    std::string address_;
    Counters& counters_;
    Reactor& reactor_;
    std::function<void()> on_change_;
    std::unique_ptr<Stream> stream_;
    http::Parser parser_;
    std::size_t scanned_bytes_ = 0;    // of the incomplete line
    std::int64_t revision_ = 0;
    Duration backoff_{0};
    TimePoint last_received_at_{};
    Timers::Id retry_timer_ = 0, timeout_timer_ = 0;
    LogRateLimiter log_limiter_;
};

}    // namespace shaletray
