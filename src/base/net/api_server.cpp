#include "base/net/api_server.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

#include <vector>

#include "base/http/answer.h"
#include "base/http/rejection.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 512;
constexpr Duration kSweepInterval = 250ms;
constexpr Duration kAcceptPause = 20ms;    // before accepting again when descriptors have run out
constexpr Duration kLingerTimeout = 1s;    // for the peer to read the last response
constexpr int kMaxAcceptsPerEvent = 16;
constexpr std::size_t kAlwaysAllowedCallSize = 64 * 1024;    // bytes, even beyond max_pending_bytes
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;        // read ahead while a call has no reply yet

}    // namespace

struct ApiServer::Connection : StreamOwner {
    enum class State { Idle, Reading, Handling, Closing };
    explicit Connection(ApiServer& owner)
        : server(owner),
          parser(http::Parser::Kind::Request,
                 {owner.limits_.max_head_size, owner.limits_.max_body_size, 100}),
          stream(owner.reactor_, *this) {}
    void on_input() override { server.process_input(*this); }
    void on_all_sent() override { server.on_all_sent(*this); }
    void on_disconnected() override { server.close_connection(*this); }

    ApiServer& server;
    http::Parser parser;
    Stream stream;
    ConnectionList::iterator position;
    State state = State::Idle;
    TimePoint state_since{};    // when the current state began
    std::size_t pending_bytes = 0;
    std::size_t max_body_size = 0;    // bytes, for the current call
    bool head_complete = false, keep_alive = true, is_processing = false, is_closed = false;
    std::shared_ptr<ApiCaller> caller;
};

void ApiCaller::send_reply(ApiReply reply) {
    if (connection_ == nullptr) return;
    server_->send_reply(*static_cast<ApiServer::Connection*>(connection_), std::move(reply));
}

Poco::Net::ServerSocket ApiServer::listen(const std::string& address) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true, false);
    socket.listen(kBacklog);
    return socket;
}

ApiServer::ApiServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits, CallHandler handle_call,
                     BodySizeLimit body_size_limit)
    : reactor_(reactor),
      socket_(std::move(socket)),
      limits_(limits),
      handle_call_(std::move(handle_call)),
      body_size_limit_(std::move(body_size_limit)) {
    socket_.setBlocking(false);
    set_accepting(true);
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_stale_connections(); });
}

ApiServer::~ApiServer() {
    set_accepting(false);
    reactor_.cancel_timer(sweep_timer_);
    reactor_.cancel_timer(pause_timer_);
    for (ConnectionList* list : {&busy_connections_, &idle_connections_})
        while (!list->empty()) close_connection(*list->front());
    reactor_.destroy_retired();
}

void ApiServer::set_accepting(bool enabled) {
    if (enabled == is_accepting_) return;
    const Poco::NObserver<ApiServer, Poco::Net::ReadableNotification> observer(*this,
                                                                               &ApiServer::on_readable);
    if (enabled) reactor_.addEventHandler(socket_, observer);
    else reactor_.removeEventHandler(socket_, observer);
    is_accepting_ = enabled;
}

void ApiServer::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxAcceptsPerEvent && is_accepting_; ++i) {
        if (!accept_one()) break;
    }
    reactor_.update_poll_timeout();
}

void ApiServer::pause_accepting() {
    set_accepting(false);
    if (pause_timer_ != 0) return;
    pause_timer_ = reactor_.schedule_after(kAcceptPause, [this] {
        pause_timer_ = 0;
        if (!is_stopping_) set_accepting(true);
    });
}

// Returns false if no further connection can be accepted now.
bool ApiServer::accept_one() {
    if (busy_connections_.size() >=
        limits_.max_connections) {    // all have a call in progress: new ones wait in the backlog
        pause_accepting();
        return false;
    }
    try {
        const Poco::Net::StreamSocket accepted = socket_.acceptConnection();
        if (busy_connections_.size() + idle_connections_.size() >= limits_.max_connections)
            close_connection(*idle_connections_.front());
        auto new_connection = std::make_unique<Connection>(*this);
        new_connection->state_since = reactor_.clock().now();
        new_connection->stream.attach(accepted);
        Connection& connection = *new_connection;
        connection.position = idle_connections_.insert(idle_connections_.end(), std::move(new_connection));
        ++counters_.accepted;
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK)
            return false;    // none is waiting, or it was closed before it was accepted
        if (log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::AcceptFailed, {log_field("why", error.displayText())});
        if (!idle_connections_.empty()) close_connection(*idle_connections_.front());
        pause_accepting();
        return false;
    }
}

void ApiServer::process_input(Connection& connection) {
    http::Buffer& input = connection.stream.input_buffer();
    if (connection.state == Connection::State::Closing) return input.consume(input.size());
    if (connection.state == Connection::State::Handling) {
        update_pending_bytes(connection);
        if (input.size() > kMaxPipelinedBytes) connection.stream.set_reading(false);
        return;
    }
    // A handler may reply before it returns: the next call is handled by this loop, without recursion.
    connection.is_processing = true;
    while (!connection.is_closed && handle_next_call(connection)) {
    }
    connection.is_processing = false;
    if (!connection.is_closed) update_pending_bytes(connection);
}

// Returns true if the call was replied to at once, so that the next one may be handled.
bool ApiServer::handle_next_call(Connection& connection) {
    http::Buffer& input = connection.stream.input_buffer();
    if (input.empty()) return false;
    if (connection.state == Connection::State::Idle) {
        connection.state = Connection::State::Reading;
        connection.state_since = reactor_.clock().now();
        busy_connections_.splice(busy_connections_.end(), idle_connections_, connection.position);
    }
    const http::ParseStatus status = connection.parser.parse(input);
    if (status == http::ParseStatus::Malformed) {
        const ImmediateRejection rejection = rejection_for(connection.parser.error());
        reject_call(connection, rejection.status_code, rejection.reason);
        return false;
    }
    if (connection.parser.head_complete() && !connection.head_complete) {
        connection.head_complete = true;
        connection.max_body_size = body_size_limit_ ? body_size_limit_(connection.parser.method(input),
                                                                       connection.parser.target(input))
                                                    : limits_.max_body_size;
        if (connection.parser.content_length().value_or(0) <= connection.max_body_size &&
            status == http::ParseStatus::Incomplete && connection.parser.expects_continue() &&
            !connection.stream.write_bytes(std::string(kContinueResponse))) {
            close_connection(connection);
            return false;
        }
    }
    if (connection.parser.head_complete() &&
        std::max<std::uint64_t>(connection.parser.content_length().value_or(0),
                                connection.parser.body(input).size()) > connection.max_body_size) {
        reject_call(connection, 413, "the body is too large");
        return false;
    }
    if (status == http::ParseStatus::Incomplete) {
        update_pending_bytes(connection);
        if (pending_bytes_ > limits_.max_pending_bytes && input.size() > kAlwaysAllowedCallSize)
            reject_call(connection, 503, "too much is under way");
        return false;
    }
    ++counters_.calls;
    connection.state = Connection::State::Handling;
    connection.keep_alive = connection.parser.keep_alive();
    connection.caller = std::make_shared<ApiCaller>();
    connection.caller->connection_ = &connection;
    connection.caller->server_ = this;
    const std::shared_ptr<ApiCaller> caller = connection.caller;
    const Duration receive_time = reactor_.clock().now() - connection.state_since;
    handle_call_({connection.parser.method(input), connection.parser.target(input),
                  connection.parser.body(input), receive_time},
                 caller);
    if (connection.is_closed) return false;
    input.consume(connection.parser.message_size());
    connection.parser.reset();
    connection.head_complete = false;
    if (connection.caller != nullptr) return false;    // the reply follows later
    finish_response(connection);
    return connection.state == Connection::State::Idle;
}

// Replies to a request that cannot be handled, and closes its connection after that.
void ApiServer::reject_call(Connection& connection, int status, std::string_view reason) {
    ++counters_.rejected;
    connection.keep_alive = false;
    connection.stream.input_buffer().consume(connection.stream.input_buffer().size());
    update_pending_bytes(connection);
    write_reply(connection, {status, std::string(reason) + "\n", "text/plain; charset=utf-8",
                             status == 503 ? "Retry-After: 0.2\r\n" : std::string()});
    if (!connection.is_closed) finish_response(connection);
}

void ApiServer::send_reply(Connection& connection, ApiReply reply) {
    connection.caller->connection_ = nullptr;
    connection.caller.reset();
    write_reply(connection, reply);
    if (connection.is_closed || connection.is_processing) return;    // process_input handles the next call
    finish_response(connection);
    if (connection.state != Connection::State::Idle) return;
    process_input(connection);
    if (!connection.is_closed) connection.stream.set_reading(true);
    reactor_.update_poll_timeout();
}

void ApiServer::write_reply(Connection& connection, const ApiReply& reply) {
    connection.keep_alive = connection.keep_alive && !is_stopping_;
    std::string headers = reply.extra_headers;
    if (!reply.body.empty()) headers.append("Content-Type: ").append(reply.content_type).append("\r\n");
    if (!connection.stream.write_bytes(
            write_answer(reply.status_code, headers, reply.body, connection.keep_alive)))
        close_connection(connection);
}

// Called after a response: waits for the next call, or for the peer to read the last response.
void ApiServer::finish_response(Connection& connection) {
    connection.state_since = reactor_.clock().now();
    if (connection.keep_alive) {
        connection.state = Connection::State::Idle;
        idle_connections_.splice(idle_connections_.end(), busy_connections_, connection.position);
        return;
    }
    connection.state = Connection::State::Closing;
    connection.stream.set_reading(true);
    if (connection.stream.all_sent()) on_all_sent(connection);
}

// Closing a socket with unread input resets the connection, and the peer may lose the response.
void ApiServer::on_all_sent(Connection& connection) {
    if (connection.state == Connection::State::Closing) connection.stream.shutdown_sending();
}

void ApiServer::update_pending_bytes(Connection& connection) {
    pending_bytes_ = pending_bytes_ - connection.pending_bytes + connection.stream.input_buffer().size();
    connection.pending_bytes = connection.stream.input_buffer().size();
}

void ApiServer::close_connection(Connection& connection) {
    if (std::exchange(connection.is_closed, true)) return;
    if (connection.state == Connection::State::Reading) ++counters_.incomplete;
    if (connection.caller != nullptr) {
        connection.caller->connection_ = nullptr;
        ++counters_.abandoned;
    }
    pending_bytes_ -= connection.pending_bytes;
    connection.stream.close();
    struct RetiredConnection : RetiredObject {    // the connection may be on the call stack
        explicit RetiredConnection(std::unique_ptr<Connection> retired) : connection(std::move(retired)) {}
        std::unique_ptr<Connection> connection;
    };
    ConnectionList& list =
        connection.state == Connection::State::Idle ? idle_connections_ : busy_connections_;
    const ConnectionList::iterator position = connection.position;
    reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*position)));
    list.erase(position);
}

void ApiServer::close_stale_connections() {
    using State = Connection::State;
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> stale;
    for (const auto& connection : idle_connections_)
        if (now - connection->state_since > limits_.idle_timeout) stale.push_back(connection.get());
    for (const auto& connection : busy_connections_) {
        const auto body_seconds =
            std::chrono::duration<double>(static_cast<double>(connection->stream.input_buffer().size()) /
                                          static_cast<double>(limits_.min_body_rate));
        const Duration allowed_time =
            limits_.read_timeout +
            (connection->head_complete
                 ? std::chrono::duration_cast<Duration>(body_seconds) + limits_.read_timeout
                 : Duration(0));
        if (connection->state == State::Reading && now - connection->state_since > allowed_time)
            stale.push_back(connection.get());
        if (connection->state == State::Closing &&
            now - connection->state_since > kLingerTimeout + (connection->stream.all_sent() ? 0s : 10s))
            stale.push_back(connection.get());
    }
    for (Connection* connection : stale) {
        if (connection->state == State::Reading) reject_call(*connection, 408, "it took too long");
        else close_connection(*connection);
    }
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_stale_connections(); });
}

void ApiServer::start_shutdown() {
    is_stopping_ = true;
    set_accepting(false);
    while (!idle_connections_.empty()) close_connection(*idle_connections_.front());
}

StatusPage metrics_page(std::function<std::string()> render) {
    return {"/metrics", "text/plain; version=0.0.4", std::move(render)};
}

std::unique_ptr<ApiServer> serve_readiness(Reactor& reactor, const std::string& address,
                                           std::function<bool()> is_ready, std::vector<StatusPage> pages) {
    ApiServer::Limits limits;
    limits.max_connections = 16;
    limits.max_body_size = limits.max_pending_bytes = 4 * 1024;
    const auto page_handler = [is_ready = std::move(is_ready), pages = std::move(pages)](
                                  const ApiCall& call, const std::shared_ptr<ApiCaller>& caller) {
        const std::string_view path = call.target.substr(0, call.target.find('?'));
        const auto page = std::find_if(pages.begin(), pages.end(),
                                       [&](const StatusPage& candidate) { return candidate.path == path; });
        if (path != "/readiness" && page == pages.end()) caller->send_reply({404});
        else if (call.method != "GET") caller->send_reply({405, {}, {}, "Allow: GET\r\n"});
        else if (page != pages.end()) caller->send_reply({200, page->render(), page->content_type});
        else caller->send_reply({is_ready() ? 200 : 503});
    };
    return std::make_unique<ApiServer>(reactor, ApiServer::listen(address), limits, page_handler);
}

std::unique_ptr<ApiServer> serve_status(Reactor& reactor, const std::string& address,
                                        std::function<bool()> is_ready, std::vector<StatusPage> pages) {
    if (address.empty()) return nullptr;
    try {
        return serve_readiness(reactor, address, std::move(is_ready), std::move(pages));
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

}    // namespace shaletray
