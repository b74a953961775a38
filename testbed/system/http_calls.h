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

struct HttpReply {
    int status_code = 0;    // 0: none came in time
    std::string location, body;
};

class HttpCalls {
public:
    using ReplyCallback = std::function<void(const HttpReply&)>;
    explicit HttpCalls(Reactor& reactor);
    ~HttpCalls();
    // One request on a connection of its own; a 307 is followed twice. `done` is called once, later.
    void send_request(const std::string& address, const std::string& method, const std::string& path,
                      const std::string& body, Duration timeout, ReplyCallback on_reply);
    Reactor& reactor() { return reactor_; }

private:
    class Call;
    void start_call(const std::string& address, const std::string& method, const std::string& path,
                    const std::string& body, Duration timeout, int redirects, ReplyCallback on_reply);
    void on_call_ended(Call& call, const HttpReply& answer);

    Reactor& reactor_;
    std::list<std::unique_ptr<Call>> active_calls_;
};

// Calls one gateway after another, with a pause that grows, until one gives a clear answer.
class ControlClient {
public:
    using ReplyCallback = HttpCalls::ReplyCallback;
    ControlClient(HttpCalls& calls, std::vector<std::string> gateways, std::uint64_t seed);
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    // `body` is asked for anew at each try. Ends with a 2xx, a 400, 409, 412, 413 or 422, any other 4xx at
    // the third try, or with what came last after `most`. One call at a time: another one takes its place.
    void start_call(const std::string& method, const std::string& path,
                    std::function<std::string()> make_body, Duration timeout, ReplyCallback on_done);
    void cancel_call();
    void set_gateways(std::vector<std::string> addresses) { gateways_ = std::move(addresses); }
    // Asked first from now on, until it fails once. Empty: nobody.
    void set_preferred(std::string address) { preferred_ = std::move(address); }

private:
    void start_attempt();
    void on_reply(const HttpReply& answer);

    HttpCalls& calls_;
    std::vector<std::string> gateways_;
    std::mt19937_64 random_;
    std::string preferred_, method_, path_, attempted_address_;
    std::function<std::string()> make_body_;
    ReplyCallback on_done_;
    TimePoint deadline_{};
    Duration retry_delay_{0};
    int denial_count_ = 0;
    std::size_t next_gateway_ = 0;
    std::shared_ptr<int> current_call_;    // what an answer has to belong to
    Timers::Id retry_timer_ = 0;
};

}    // namespace shaletray::testbed
