// Single calls over HTTP, and the way servers and operators call whoever serves control_plane.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/reactor.h"
#include "base/net/stream.h"

namespace shaletray::testbed {

struct CallAnswer {
    int status = 0;    // 0: none came in time
    std::string location, body;
};

class Calls {
public:
    using Done = std::function<void(const CallAnswer&)>;
    explicit Calls(Reactor& reactor);
    ~Calls();
    // One request on a connection of its own; a 307 is followed twice. `done` is called once, later.
    void ask(const std::string& address, const std::string& method, const std::string& path,
             const std::string& body, Duration patience, Done done);
    Reactor& reactor() { return reactor_; }

private:
    class Call;
    void begin(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, Duration patience, int redirects, Done done);
    void ended(Call& call, const CallAnswer& answer);

    Reactor& reactor_;
    std::list<std::unique_ptr<Call>> calls_;
};

// Calls one gateway after another, with a pause that grows, until one gives a clear answer.
class ControlCaller {
public:
    using Done = Calls::Done;
    ControlCaller(Calls& calls, std::vector<std::string> gateways, std::uint64_t seed);
    ~ControlCaller();
    ControlCaller(const ControlCaller&) = delete;
    ControlCaller& operator=(const ControlCaller&) = delete;

    // `body` is asked for anew at each try. Ends with a 2xx, a 400, 409, 412, 413 or 422, any other 4xx at
    // the third try, or with what came last after `most`. One call at a time: another one takes its place.
    void call(const std::string& method, const std::string& path, std::function<std::string()> body,
              Duration most, Done done);
    void stop();
    void gateways(std::vector<std::string> now) { gateways_ = std::move(now); }
    // Asked first from now on, until it fails once. Empty: nobody.
    void prefer(std::string address) { preferred_ = std::move(address); }

private:
    void attempt();
    void answered(const CallAnswer& answer);

    Calls& calls_;
    std::vector<std::string> gateways_;
    std::mt19937_64 random_;
    std::string preferred_, method_, path_, asked_;
    std::function<std::string()> body_;
    Done done_;
    TimePoint end_{};
    Duration pause_{0};
    int denials_ = 0;
    std::size_t next_ = 0;
    std::shared_ptr<int> current_;    // what an answer has to belong to
    Timers::Id timer_ = 0;
};

}    // namespace shaletray::testbed
