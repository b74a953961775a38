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
constexpr Duration kSweepEvery = 250ms;
constexpr Duration kAcceptPause = 20ms;          // out of descriptors: the backlog waits
constexpr Duration kLinger = 1s;                 // for the last answer to be read
constexpr int kMostAtOnce = 16;                  // new connections in one go
constexpr std::size_t kSmall = 64 * 1024;        // bytes that a call may always bring
constexpr std::size_t kMostAhead = 64 * 1024;    // bytes that are read behind a call that is not answered yet

}    // namespace

struct CallServer::Connection : StreamOwner {
    enum class State { Idle, Reading, Taken, Ending };
    explicit Connection(CallServer& of)
        : server(of),
          parser(http::Parser::Kind::Request, {of.limits_.head, of.limits_.body, 100}),
          stream(of.reactor_, *this) {}
    void on_input() override { server.serve(*this); }
    void on_sent() override { server.sent(*this); }
    void on_broken() override { server.close(*this); }

    CallServer& server;
    http::Parser parser;
    Stream stream;
    List::iterator place;
    State state = State::Idle;
    TimePoint since{};    // when the state began
    std::size_t held = 0;
    std::size_t most = 0;    // of this call's body
    bool head_seen = false, keeps = true, serving = false, closed = false;
    std::shared_ptr<Caller> caller;
};

void Caller::answer(Reply reply) {
    if (connection_ == nullptr) return;
    server_->answer(*static_cast<CallServer::Connection*>(connection_), std::move(reply));
}

Poco::Net::ServerSocket CallServer::listen(const std::string& address) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true, false);
    socket.listen(kBacklog);
    return socket;
}

CallServer::CallServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits, Taker take,
                       BodyOf body_of)
    : reactor_(reactor),
      socket_(std::move(socket)),
      limits_(limits),
      take_(std::move(take)),
      body_of_(std::move(body_of)) {
    socket_.setBlocking(false);
    accept_on(true);
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

CallServer::~CallServer() {
    accept_on(false);
    reactor_.cancel(sweep_timer_);
    reactor_.cancel(pause_timer_);
    for (List* list : {&busy_, &idle_})
        while (!list->empty()) close(*list->front());
    reactor_.reap();
}

void CallServer::accept_on(bool wanted) {
    if (wanted == accepting_) return;
    const Poco::NObserver<CallServer, Poco::Net::ReadableNotification> observer(*this,
                                                                                &CallServer::on_readable);
    if (wanted) reactor_.addEventHandler(socket_, observer);
    else reactor_.removeEventHandler(socket_, observer);
    accepting_ = wanted;
}

void CallServer::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMostAtOnce && accepting_; ++i) {
        if (!accept()) break;
    }
    reactor_.reckon_timeout();
}

void CallServer::pause_accepting() {
    accept_on(false);
    if (pause_timer_ != 0) return;
    pause_timer_ = reactor_.after(kAcceptPause, [this] {
        pause_timer_ = 0;
        if (!stopping_) accept_on(true);
    });
}

// False where there was nothing more to accept.
bool CallServer::accept() {
    if (busy_.size() >= limits_.most) {    // all have a call under way: who comes waits
        pause_accepting();
        return false;
    }
    try {
        const Poco::Net::StreamSocket taken = socket_.acceptConnection();
        if (busy_.size() + idle_.size() >= limits_.most) close(*idle_.front());
        auto c = std::make_unique<Connection>(*this);
        c->since = reactor_.clock().now();
        c->stream.adopt(taken);
        Connection& connection = *c;
        connection.place = idle_.insert(idle_.end(), std::move(c));
        ++counts_.accepted;
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK) return false;    // none waits, or it left before that
        if (gate_.open()) log(LogLevel::Warning, Event::AcceptFailed, {kv("why", error.displayText())});
        if (!idle_.empty()) close(*idle_.front());
        pause_accepting();
        return false;
    }
}

void CallServer::serve(Connection& c) {
    http::Buffer& in = c.stream.input();
    if (c.state == Connection::State::Ending) return in.consume(in.size());
    if (c.state == Connection::State::Taken) {
        hold(c);
        if (in.size() > kMostAhead) c.stream.read_on(false);
        return;
    }
    // A call may be answered while it is taken: the next one is looked at here, and not within that.
    c.serving = true;
    while (!c.closed && take_next(c)) {
    }
    c.serving = false;
    if (!c.closed) hold(c);
}

// True where another call may be waiting behind one that was answered at once.
bool CallServer::take_next(Connection& c) {
    http::Buffer& in = c.stream.input();
    if (in.empty()) return false;
    if (c.state == Connection::State::Idle) {
        c.state = Connection::State::Reading;
        c.since = reactor_.clock().now();
        busy_.splice(busy_.end(), idle_, c.place);
    }
    const http::Status status = c.parser.parse(in);
    if (status == http::Status::Bad) {
        const Rejection rejection = rejection_of(c.parser.fault());
        refuse(c, rejection.status, rejection.reason);
        return false;
    }
    if (c.parser.head_done() && !c.head_seen) {
        c.head_seen = true;
        c.most = body_of_ ? body_of_(c.parser.method(in), c.parser.target(in)) : limits_.body;
        if (c.parser.length().value_or(0) <= c.most && status == http::Status::More &&
            c.parser.expects_continue() && !c.stream.send(std::string(kContinue))) {
            close(c);
            return false;
        }
    }
    if (c.parser.head_done() &&
        std::max<std::uint64_t>(c.parser.length().value_or(0), c.parser.body(in).size()) > c.most) {
        refuse(c, 413, "the body is too large");
        return false;
    }
    if (status == http::Status::More) {
        hold(c);
        if (held_ > limits_.held && in.size() > kSmall) refuse(c, 503, "too much is under way");
        return false;
    }
    ++counts_.calls;
    c.state = Connection::State::Taken;
    c.keeps = c.parser.keep_alive();
    c.caller = std::make_shared<Caller>();
    c.caller->connection_ = &c;
    c.caller->server_ = this;
    const std::shared_ptr<Caller> caller = c.caller;
    take_({c.parser.method(in), c.parser.target(in), c.parser.body(in)}, caller);
    if (c.closed) return false;
    in.consume(c.parser.size());
    c.parser.reset();
    c.head_seen = false;
    if (c.caller != nullptr) return false;    // answered later
    settle(c);
    return c.state == Connection::State::Idle;
}

// What cannot be taken is answered, and ends its connection.
void CallServer::refuse(Connection& c, int status, std::string_view why) {
    ++counts_.refused;
    c.keeps = false;
    c.stream.input().consume(c.stream.input().size());
    hold(c);
    write(c, {status, std::string(why) + "\n", "text/plain; charset=utf-8",
              status == 503 ? "Retry-After: 0.2\r\n" : std::string()});
    if (!c.closed) settle(c);
}

void CallServer::answer(Connection& c, Reply reply) {
    c.caller->connection_ = nullptr;
    c.caller.reset();
    write(c, reply);
    if (c.closed || c.serving) return;    // take_next goes on itself
    settle(c);
    if (c.state != Connection::State::Idle) return;
    serve(c);
    if (!c.closed) c.stream.read_on(true);
    reactor_.reckon_timeout();
}

void CallServer::write(Connection& c, const Reply& reply) {
    c.keeps = c.keeps && !stopping_;
    std::string headers = reply.headers;
    if (!reply.body.empty()) headers.append("Content-Type: ").append(reply.type).append("\r\n");
    if (!c.stream.send(write_answer(reply.status, headers, reply.body, c.keeps))) close(c);
}

// After an answer: waits for the next call, or for the other side to have read the last answer.
void CallServer::settle(Connection& c) {
    c.since = reactor_.clock().now();
    if (c.keeps) {
        c.state = Connection::State::Idle;
        idle_.splice(idle_.end(), busy_, c.place);
        return;
    }
    c.state = Connection::State::Ending;
    c.stream.read_on(true);
    if (c.stream.sent_all()) sent(c);
}

// Closing over bytes that were not read resets a connection, and its caller may lose the answer.
void CallServer::sent(Connection& c) {
    if (c.state == Connection::State::Ending) c.stream.end_sending();
}

void CallServer::hold(Connection& c) {
    held_ = held_ - c.held + c.stream.input().size();
    c.held = c.stream.input().size();
}

void CallServer::close(Connection& c) {
    if (std::exchange(c.closed, true)) return;
    if (c.caller != nullptr) {
        c.caller->connection_ = nullptr;
        ++counts_.gone;
    }
    held_ -= c.held;
    c.stream.close();
    struct Gone : Retired {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Connection> of) : connection(std::move(of)) {}
        std::unique_ptr<Connection> connection;
    };
    List& list = c.state == Connection::State::Idle ? idle_ : busy_;
    const List::iterator place = c.place;
    reactor_.retire(std::make_unique<Gone>(std::move(*place)));
    list.erase(place);
}

void CallServer::sweep() {
    using State = Connection::State;
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> old;
    for (const auto& c : idle_)
        if (now - c->since > limits_.idle) old.push_back(c.get());
    for (const auto& c : busy_) {
        const auto brought = std::chrono::duration<double>(static_cast<double>(c->stream.input().size()) /
                                                           static_cast<double>(limits_.pace));
        const Duration patience =
            limits_.patience +
            (c->head_seen ? std::chrono::duration_cast<Duration>(brought) + limits_.patience : Duration(0));
        if (c->state == State::Reading && now - c->since > patience) old.push_back(c.get());
        if (c->state == State::Ending && now - c->since > kLinger + (c->stream.sent_all() ? 0s : 10s))
            old.push_back(c.get());
    }
    for (Connection* c : old) {
        if (c->state == State::Reading) refuse(*c, 408, "it took too long");
        else close(*c);
    }
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

void CallServer::stop() {
    stopping_ = true;
    accept_on(false);
    while (!idle_.empty()) close(*idle_.front());
}

std::unique_ptr<CallServer> serve_readiness(Reactor& reactor, const std::string& address,
                                            std::function<bool()> ready) {
    CallServer::Limits limits;
    limits.most = 16;
    limits.body = limits.held = 4 * 1024;
    return std::make_unique<CallServer>(
        reactor, CallServer::listen(address), limits,
        [ready = std::move(ready)](const Call& call, const std::shared_ptr<Caller>& caller) {
            if (call.target.substr(0, call.target.find('?')) != "/readiness") caller->answer({404});
            else if (call.method != "GET") caller->answer({405, {}, {}, "Allow: GET\r\n"});
            else caller->answer({ready() ? 200 : 503});
        });
}

}    // namespace shaletray
