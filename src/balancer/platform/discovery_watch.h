// Watches discovery's list of servers, and starts anew where the watch breaks.
#pragma once

#include <memory>

#include "balancer/platform/messages.h"
#include "base/common/log.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

class DiscoveryWatch : public HostListSource, private StreamOwner {
public:
    // `heard` is called after each change.
    DiscoveryWatch(Engine& engine, HostDirectory& hosts, const GatewayConfig& config, Counters& counters,
                   Reactor& reactor, std::function<void()> on_change);
    ~DiscoveryWatch() override;

    void start();
    void subscribe() override { connect(); }
    // Goes on at another address, at once. What was heard stays until that one speaks.
    void set_address(const std::string& address);
    // Takes in what has come, so that it counts before anything is sent in this turn.
    void read_available();

private:
    void on_input() override;
    void on_disconnected() override { on_connection_lost("it ended"); }
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
    std::size_t scanned_bytes_ = 0;    // of the line that has begun
    std::int64_t revision_ = 0;
    Duration backoff_{0};
    TimePoint last_received_at_{};
    Timers::Id retry_timer_ = 0, timeout_timer_ = 0;
    LogRateLimiter log_limiter_;
};

}    // namespace shaletray
