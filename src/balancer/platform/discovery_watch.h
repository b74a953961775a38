// Watches discovery's list of servers, and starts anew where the watch breaks.
#pragma once

#include <memory>

#include "balancer/platform/messages.h"
#include "base/common/log.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

class DiscoveryWatch : public ListSource, private StreamOwner {
public:
    // `heard` is called after each change.
    DiscoveryWatch(Engine& engine, HostDirectory& hosts, const Config& config, Counters& counters,
                   Reactor& reactor, std::function<void()> heard);
    ~DiscoveryWatch() override;

    void start();
    void subscribe() override { connect(); }
    // Goes on at another address, at once. What was heard stays until that one speaks.
    void move_to(const std::string& address);
    // Takes in what has come, so that it counts before anything is sent in this turn.
    void read_now();

private:
    void on_input() override;
    void on_broken() override { broken("it ended"); }
    void connect();
    void take_lines();
    void take(std::string_view line);
    void broken(std::string_view why);
    void check_silence();

    Engine& engine_;
    HostDirectory& hosts_;
    const Config& config_;
    std::string address_;
    Counters& counters_;
    Reactor& reactor_;
    std::function<void()> heard_;
    std::unique_ptr<Stream> stream_;
    http::Parser parser_;
    std::size_t scanned_ = 0;    // of the line that has begun
    std::int64_t revision_ = 0;
    Duration backoff_{0};
    TimePoint last_heard_{};
    Timers::Id retry_timer_ = 0, silence_timer_ = 0;
    LogGate gate_;
};

}    // namespace shaletray
