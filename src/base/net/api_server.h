// Calls over HTTP/1.1: each whole request goes to a taker, which answers it at once or at any later time. A
// connection's calls are taken one after the other, so those that were sent ahead are answered in order.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/common/log.h"
#include "base/http/message.h"
#include "base/net/stream.h"

namespace shaletray {

struct ApiCall {    // its views hold while it is taken
    std::string_view method, target, body;
};
struct ApiReply {
    int status_code = 200;
    std::string body = {};
    std::string_view content_type = "application/json";
    std::string extra_headers = {};    // further ones, each with its line's end
};

class ApiServer;

// Who waits for an answer. Kept by whoever is to answer; only for the reactor's thread.
class ApiCaller {
public:
    bool is_abandoned() const { return connection_ == nullptr; }    // or answered already
    void send_reply(ApiReply reply);                                // nothing, where the caller is gone

private:
    friend class ApiServer;
    void* connection_ = nullptr;
    ApiServer* server_ = nullptr;
};

class ApiServer {
public:
    struct Limits {
        std::size_t max_connections = 256;       // connections; the one that is idle longest makes room
        std::size_t max_head_size = 8 * 1024;    // bytes
        std::size_t max_body_size = 64 * 1024 * 1024;    // bytes, unless `body_of` says less
        std::size_t max_pending_bytes =
            96 * 1024 * 1024;    // bytes of all calls together that were not taken yet
        Duration read_timeout = std::chrono::seconds(3);    // for a head, from its first byte on
        std::size_t min_body_rate = 64 * 1024;    // bytes a second that a body has to bring, after `patience`
        Duration idle_timeout = std::chrono::seconds(30);    // between two calls
    };
    // What a call's body may be, by its method and target; asked as soon as its head is there.
    using BodySizeLimit = std::function<std::size_t(std::string_view method, std::string_view target)>;
    using CallHandler = std::function<void(const ApiCall&, std::shared_ptr<ApiCaller>)>;

    // Throws Poco::Exception where the address cannot be listened on.
    static Poco::Net::ServerSocket listen(const std::string& address);
    // The descriptors are the caller's to keep back: `limits.most` and one.
    ApiServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits, CallHandler handle_call,
              BodySizeLimit body_size_limit = {});
    ~ApiServer();
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    std::string address() const { return socket_.address().toString(); }
    // Answers end their connections from now on, idle ones are closed, and no new ones are accepted.
    void start_shutdown();
    std::size_t active_calls() const {
        return busy_connections_.size();
    }    // connections with a call or a part of one
    struct Counters {
        std::uint64_t accepted = 0, calls = 0, rejected = 0, abandoned = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    friend class ApiCaller;
    struct Connection;
    using ConnectionList = std::list<std::unique_ptr<Connection>>;

    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept_one();
    void set_accepting(bool enabled);
    void pause_accepting();
    void process_input(Connection& connection);
    bool handle_next_call(Connection& connection);
    void reject_call(Connection& connection, int status, std::string_view reason);
    void send_reply(Connection& connection, ApiReply reply);
    void write_reply(Connection& connection, const ApiReply& reply);
    void release_pending_bytes(Connection& connection);
    void on_all_sent(Connection& connection);
    void reserve_pending_bytes(Connection& connection);
    void close_connection(Connection& connection);
    void close_stale_connections();

    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Limits limits_;
    CallHandler handle_call_;
    BodySizeLimit body_size_limit_;
    ConnectionList busy_connections_, idle_connections_;    // the longest standing first
    std::size_t pending_bytes_ = 0;
    bool is_accepting_ = false, is_stopping_ = false;
    Timers::Id sweep_timer_ = 0, pause_timer_ = 0;
    LogRateLimiter log_limiter_;
    Counters counters_;
};

// Answers GET /readiness, and nothing else, by 200 or 503.
std::unique_ptr<ApiServer> serve_readiness(Reactor& reactor, const std::string& address,
                                           std::function<bool()> is_ready);

}    // namespace shaletray
