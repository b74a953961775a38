// An HTTP/1.1 server for control and admin calls. Each complete request is passed to a handler, which replies
// at once or later. The calls of one connection are handled one at a time, so pipelined requests are answered
// in order. All functions are for the reactor's thread; connection count, request sizes and buffered bytes
// are bounded by ApiServer::Limits.
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

// One complete request. The views are valid only during the call to the handler.
struct ApiCall {
    std::string_view method, target, body;
    Duration receive_time{};    // from its first bytes to its last
};
// The response to an ApiCall.
struct ApiReply {
    int status_code = 200;
    std::string body = {};
    std::string_view content_type = "application/json";
    std::string extra_headers = {};    // further header lines, each with its CRLF
};

class ApiServer;

// Reply handle of one call, kept until the reply is sent. It may outlive the connection and the server. Only
// for the reactor's thread.
class ApiCaller {
public:
    // True once the client has disconnected, or a reply was sent.
    bool is_abandoned() const { return connection_ == nullptr; }
    // Does nothing for an abandoned call.
    void send_reply(ApiReply reply);

private:
    friend class ApiServer;
    void* connection_ = nullptr;
    ApiServer* server_ = nullptr;
};

// Listens on a socket and owns its connections. Requests that exceed a limit get an error response, after
// which their connection is closed.
class ApiServer {
public:
    // Bounds that keep slow or hostile clients from exhausting memory and descriptors.
    struct Limits {
        std::size_t max_connections = 256;               // if reached, the longest idle connection is closed
        std::size_t max_head_size = 8 * 1024;            // bytes
        std::size_t max_body_size = 64 * 1024 * 1024;    // bytes, unless BodySizeLimit returns less
        // Bytes of all requests together that have not been passed to the handler yet.
        std::size_t max_pending_bytes = 96 * 1024 * 1024;
        Duration read_timeout = std::chrono::seconds(3);    // for a head, from its first byte on
        // Bytes per second: a body of n bytes has `read_timeout` and n / min_body_rate seconds to arrive.
        std::size_t min_body_rate = 64 * 1024;
        Duration idle_timeout = std::chrono::seconds(30);    // between two calls
    };
    // Maximum body size in bytes for a method and target; evaluated as soon as the head is parsed.
    using BodySizeLimit = std::function<std::size_t(std::string_view method, std::string_view target)>;
    // Receives each complete request with its reply handle.
    using CallHandler = std::function<void(const ApiCall&, std::shared_ptr<ApiCaller>)>;

    // Throws Poco::Exception if the address cannot be bound.
    static Poco::Net::ServerSocket listen(const std::string& address);
    // The caller reserves the file descriptors: `limits.max_connections` and one for the listener.
    ApiServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits, CallHandler handle_call,
              BodySizeLimit body_size_limit = {});
    ~ApiServer();
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    // The bound address, with the actual port.
    std::string address() const { return socket_.address().toString(); }
    // Accepts no new connections, closes idle ones, and closes the others after their next response.
    void start_shutdown();
    // Connections with a call in progress or a partly received request.
    std::size_t active_calls() const { return busy_connections_.size(); }
    // Totals since the start.
    struct Counters {
        std::uint64_t accepted = 0, calls = 0, rejected = 0;
        std::uint64_t abandoned = 0;     // the caller left before the reply
        std::uint64_t incomplete = 0;    // the caller left before its last byte had arrived
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
    void finish_response(Connection& connection);
    void on_all_sent(Connection& connection);
    void update_pending_bytes(Connection& connection);
    void close_connection(Connection& connection);
    void close_stale_connections();

    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Limits limits_;
    CallHandler handle_call_;
    BodySizeLimit body_size_limit_;
    ConnectionList busy_connections_, idle_connections_;    // oldest first
    std::size_t pending_bytes_ = 0;
    bool is_accepting_ = false, is_stopping_ = false;
    Timers::Id sweep_timer_ = 0, pause_timer_ = 0;
    LogRateLimiter log_limiter_;
    Counters counters_;
};

// A page served to GET requests, for operators and metrics collectors.
struct StatusPage {
    std::string path, content_type;
    std::function<std::string()> render;
};
// The page /metrics, in the Prometheus text format.
StatusPage metrics_page(std::function<std::string()> render);

// Serves GET /readiness with 200 or 503, for load balancers, and the pages; every other request is rejected.
std::unique_ptr<ApiServer> serve_readiness(Reactor& reactor, const std::string& address,
                                           std::function<bool()> is_ready,
                                           std::vector<StatusPage> pages = {});
// The same at a separate address, for operators. Returns null if the address is empty or cannot be bound: the
// process runs without this server then.
std::unique_ptr<ApiServer> serve_status(Reactor& reactor, const std::string& address,
                                        std::function<bool()> is_ready, std::vector<StatusPage> pages);

}    // namespace shaletray
