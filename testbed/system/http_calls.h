// HTTP calls of the testbed, and the retrying client with which servers and operators call the control API.
// Everything runs on the reactor's thread.
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

// The parts of a response that the testbed needs.
struct HttpReply {
    int status_code = 0;    // 0: none arrived in time
    std::string location, body;
};

// Destruction ends all calls without callbacks.
class HttpCalls {
public:
    using ReplyCallback = std::function<void(const HttpReply&)>;
    explicit HttpCalls(Reactor& reactor);
    ~HttpCalls();
    // Sends one request on its own connection; up to two redirects (307) are followed. `on_reply` is called
    // once, after this returns.
    void send_request(const std::string& address, const std::string& method, const std::string& path,
                      const std::string& body, Duration timeout, ReplyCallback on_reply);
    Reactor& reactor() { return reactor_; }

private:
    class Call;
    void start_call(const std::string& address, const std::string& method, const std::string& path,
                    const std::string& body, Duration timeout, int redirects, ReplyCallback on_reply);
    void on_call_ended(Call& call, const HttpReply& reply);

    Reactor& reactor_;
    std::list<std::unique_ptr<Call>> active_calls_;
};

// Calls one gateway after another, with growing backoff, until one gives a definite response.
class ControlClient {
public:
    using ReplyCallback = HttpCalls::ReplyCallback;
    ControlClient(HttpCalls& calls, std::vector<std::string> gateways, std::uint64_t seed);
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    // `make_body` is called for each attempt. The call ends with a 2xx, 400, 409, 412, 413 or 422, with any
    // other 4xx at the third attempt, or with the last response after `timeout`. One call at a time: a new
    // call replaces the one in progress.
    void start_call(const std::string& method, const std::string& path,
                    std::function<std::string()> make_body, Duration timeout, ReplyCallback on_done);
    void cancel_call();
    void set_gateways(std::vector<std::string> addresses) { gateways_ = std::move(addresses); }
    // The address that is tried first until it fails once. Empty: none.
    void set_preferred(std::string address) { preferred_ = std::move(address); }

private:
    void start_attempt();
    void on_reply(const HttpReply& reply);

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
    std::shared_ptr<int> current_call_;    // replies to earlier calls are ignored
    Timers::Id retry_timer_ = 0;
};

}    // namespace shaletray::testbed
